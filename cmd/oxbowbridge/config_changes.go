package main

import "reflect"

// configField is one field in two versions of the configuration.
type configField struct {
	name     string // in the file
	old      any
	new      any
	followed bool // without a restart
}

// changed tells whether the versions differ.
func (f configField) changed() bool { return !reflect.DeepEqual(f.old, f.new) }

// changedFields names the fields that differ in another version of the configuration:
// those that are followed without a restart, or those that wait for the next start.
func (c *config) changedFields(to *config, followed bool) []string {
	names := []string{}
	for _, f := range c.comparedWith(to) {
		if f.name == "settings" && c.settingsFromStore {
			continue // the file's are not in force
		}
		if f.followed == followed && f.changed() {
			names = append(names, f.name)
		}
	}
	return names
}

// comparedWith has the fields in the order in which the log names them.
func (c *config) comparedWith(to *config) []configField {
	// A change from an engine to upstreams, or back, waits for the next start.
	sameRunner := (c.EngineAddress == "") == (to.EngineAddress == "")
	return []configField{
		{"engine", c.EngineAddress, to.EngineAddress, sameRunner},
		{"records", c.RecordsAddress, to.RecordsAddress, true},
		{"lookup", c.RegistryAddress, to.RegistryAddress, true},
		{"stop_ms", c.DrainTimeoutMS, to.DrainTimeoutMS, true},
		{"ajp.upstreams", c.AJP.UpstreamAddresses, to.AJP.UpstreamAddresses, sameRunner},
		{"ajp.upstream_secret", c.AJP.UpstreamSecret, to.AJP.UpstreamSecret, sameRunner},
		{"name", c.Name, to.Name, false},
		{"listen", c.ListenAddress, to.ListenAddress, false},
		{"limits", c.Limits, to.Limits, false},
		{"settings", c.Settings, to.Settings, false},
		{"ajp.listen", c.AJP.ListenAddress, to.AJP.ListenAddress, false},
		{"ajp.secret", c.AJP.Secret, to.AJP.Secret, false},
		{"store", c.Store, to.Store, false},
	}
}
