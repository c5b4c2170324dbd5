// Package sitesettings is the settings object of a site: a JSON object that the service's
// configuration file and its store hold, and that a CREATE of the simulator's protocol
// carries (package simproto). It checks the object and converts it to the settings of
// package admission.
//
// The object has words of its own for the terms of package admission. In this package they
// appear in terms.go and in the JSON tags of [Settings] alone. Packages that read a Settings
// before [Settings.Admission] converts it (cmd/oxbowbridge, and transport/ajp for the names
// of gauges) compare its words themselves.
package sitesettings
