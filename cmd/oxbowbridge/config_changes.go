package main

import "reflect"

// configField holds the old and the new value of a configuration field.
type configField struct {
	name       string // its path in the file
	old        any
	new        any
	reloadable bool // a change takes effect without a restart
}

// changed reports whether the values differ.
func (f configField) changed() bool { return !reflect.DeepEqual(f.old, f.new) }

// changedFields returns the names of the fields that differ in an updated configuration: those
// that take effect without a restart, and those that take effect at the next start. Neither
// list is nil.
func (c *config) changedFields(updated *config) (applied, afterRestart []string) {
	applied = []string{}
	afterRestart = []string{}
	for _, f := range c.compareFields(updated) {
		if f.name == "settings" && c.settingsFromStore {
			continue // the settings of the file are not in effect
		}
		switch {
		case !f.changed():
		case f.reloadable:
			applied = append(applied, f.name)
		default:
			afterRestart = append(afterRestart, f.name)
		}
	}
	return applied, afterRestart
}

// compareFields returns the fields in the order in which the log lists them. It leaves out seed,
// which may be different at each start.
func (c *config) compareFields(updated *config) []configField {
	// A change from an engine to upstreams, or back, takes effect at the next start.
	sameRunner := (c.EngineAddress == "") == (updated.EngineAddress == "")
	return []configField{
		{"engine", c.EngineAddress, updated.EngineAddress, sameRunner},
		{"records", c.RecordsAddress, updated.RecordsAddress, true},
		{"lookup", c.RegistryAddress, updated.RegistryAddress, true},
		{"stop_ms", c.DrainTimeoutMS, updated.DrainTimeoutMS, true},
		{"ajp.upstreams", c.AJP.UpstreamAddresses, updated.AJP.UpstreamAddresses, sameRunner},
		{"ajp.upstream_secret", c.AJP.UpstreamSecret, updated.AJP.UpstreamSecret, sameRunner},
		{"name", c.Name, updated.Name, false},
		{"listen", c.ListenAddress, updated.ListenAddress, false},
		{"limits", c.Limits, updated.Limits, false},
		{"settings", c.Settings, updated.Settings, false},
		{"ajp.listen", c.AJP.ListenAddress, updated.AJP.ListenAddress, false},
		{"ajp.secret", c.AJP.Secret, updated.AJP.Secret, false},
		{"store", c.Store, updated.Store, false},
		{"work", c.Maintenance, updated.Maintenance, false},
	}
}
