// Package sitesettings reads the settings of a site: a JSON object in the configuration file
// of the service, in its store, and in the CREATE message of the simulator protocol (package
// simproto). The package validates the object and converts it to the settings of package
// admission.
//
// The keys and enum values of the object differ from the names in package admission. In this
// package they are only in terms.go and in the JSON tags of [Settings]. Packages that read a
// Settings before [Settings.AdmissionSettings] converts it (cmd/oxbowbridge, and transport/ajp for
// gauge names) compare the enum values themselves.
package sitesettings
