package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"

	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance/agent"
	"oxbowbridge/internal/proxy/dispatch"
	"oxbowbridge/internal/simproto"
)

// config is the file that BALANCER_CONFIG names.
type config struct {
	Name            string `json:"name"`
	ListenAddress   string `json:"listen"`
	EngineAddress   string `json:"engine"`
	RegistryAddress string `json:"lookup"`
	RecordsAddress  string `json:"records"`
	Seed            string `json:"seed"`
	DrainTimeoutMS  int64  `json:"stop_ms"`
	Limits          struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings          simproto.Settings `json:"settings"`
	AJP               *ajpConfig        `json:"ajp"`   // absent on the platform
	Store             *store.Config     `json:"store"` // absent on the platform
	Maintenance       *agent.Config     `json:"work"`  // absent on the platform
	settingsFromStore bool              // the settings in force are those of the store
}

// ajpConfig sets up callers and upstreams that speak AJP13.
type ajpConfig struct {
	ListenAddress     string   `json:"listen"`
	Secret            string   `json:"secret"`
	UpstreamAddresses []string `json:"upstreams"` // they do the work, in place of an engine
	UpstreamSecret    string   `json:"upstream_secret"`
}

// fault is an error in one field of the configuration.
func fieldError(field, format string, args ...any) error {
	return fmt.Errorf("%s: %w", field, fmt.Errorf(format, args...))
}

var errMissing = errors.New("missing")

// readConfig reads the file; the environment's name and address go before its.
func readConfig(env func(string) string) (*config, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return nil, fieldError("BALANCER_CONFIG", "%w", errMissing)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fieldError("BALANCER_CONFIG", "%w", err)
	}
	return parseConfig(text, env)
}

func parseConfig(text []byte, env func(string) string) (*config, error) {
	var c config
	if err := simproto.DecodeJSON(text, &c); err != nil {
		return nil, err
	}
	if v := env("BALANCER_NAME"); v != "" {
		c.Name = v
	}
	if v := env("BALANCER_LISTEN"); v != "" {
		c.ListenAddress = v
	}
	return &c, c.validate()
}

// changes names the fields that another file has changed: those that are followed
// while the program runs, or those that wait for its next start.
func (c *config) changedFields(to *config, followed bool) []string {
	swapped := (c.EngineAddress == "") != (to.EngineAddress == "") // the engine for upstreams, or back
	names := []string{}
	for _, f := range []struct {
		name     string
		old, new any
		followed bool
	}{
		{"engine", c.EngineAddress, to.EngineAddress, !swapped}, {"records", c.RecordsAddress, to.RecordsAddress, true},
		{"lookup", c.RegistryAddress, to.RegistryAddress, true}, {"stop_ms", c.DrainTimeoutMS, to.DrainTimeoutMS, true},
		{"ajp.upstreams", c.AJP.UpstreamAddresses, to.AJP.UpstreamAddresses, !swapped},
		{"ajp.upstream_secret", c.AJP.UpstreamSecret, to.AJP.UpstreamSecret, !swapped},
		{"name", c.Name, to.Name, false}, {"listen", c.ListenAddress, to.ListenAddress, false}, {"limits", c.Limits, to.Limits, false},
		{"settings", c.Settings, to.Settings, false}, {"ajp.listen", c.AJP.ListenAddress, to.AJP.ListenAddress, false},
		{"ajp.secret", c.AJP.Secret, to.AJP.Secret, false}, {"store", c.Store, to.Store, false},
	} {
		if f.name == "settings" && c.settingsFromStore {
			continue // the store's go before the file's
		}
		if f.followed == followed && !reflect.DeepEqual(f.old, f.new) {
			names = append(names, f.name)
		}
	}
	return names
}

func (c *config) validate() error {
	if c.Name == "" {
		return fieldError("name", "%w", errMissing)
	}
	if c.AJP == nil {
		c.AJP = &ajpConfig{}
	}
	type address struct {
		field, addr string
		needed      bool
	}
	addresses := []address{{"listen", c.ListenAddress, c.AJP.ListenAddress == ""}, {"engine", c.EngineAddress, len(c.AJP.UpstreamAddresses) == 0},
		{"lookup", c.RegistryAddress, false}, {"records", c.RecordsAddress, false}, {"ajp.listen", c.AJP.ListenAddress, false}}
	for _, a := range c.AJP.UpstreamAddresses {
		addresses = append(addresses, address{"ajp.upstreams", a, true})
	}
	for _, a := range addresses {
		if a.addr == "" && !a.needed {
			continue
		}
		if a.addr == "" {
			return fieldError(a.field, "%w", errMissing)
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fieldError(a.field, "%w", err)
		}
	}
	if _, err := c.parsedSeed(); err != nil {
		return err
	}
	// A stranger who reaches an AJP port can set any field of a request.
	if host, _, _ := net.SplitHostPort(c.AJP.ListenAddress); host != "" && c.AJP.Secret == "" {
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fieldError("ajp.secret", "needed unless ajp.listen is a loopback address")
		}
	}
	if _, err := dispatch.ParseSettings(&c.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Store != nil {
		if err := c.Store.Check(); err != nil {
			return fmt.Errorf("store.%w", err)
		}
	}
	if c.Maintenance != nil {
		if err := c.Maintenance.Validate(); err != nil {
			return fmt.Errorf("work.%w", err)
		}
	}
	switch {
	case c.Maintenance != nil && c.Store == nil && len(c.Maintenance.Nodes) == 0:
		return fieldError("work.nodes", "%w, as this service has no store", errMissing)
	case c.Maintenance != nil && c.Limits.Cores == 0:
		return fieldError("limits.cores", "needed with work")
	case c.EngineAddress != "" && len(c.AJP.UpstreamAddresses) > 0:
		return fieldError("ajp.upstreams", "not together with engine")
	case c.Store != nil && c.DrainTimeoutMS < 2000:
		return fieldError("stop_ms", "%d is too short, want at least 2000 with a store", c.DrainTimeoutMS)
	case c.DrainTimeoutMS < 500:
		return fieldError("stop_ms", "%d is too short, want at least 500", c.DrainTimeoutMS)
	case c.Limits.MemoryMB < 32:
		return fieldError("limits.memory_mb", "%d is too little, want at least 32", c.Limits.MemoryMB)
	case c.Limits.Sockets < 64:
		return fieldError("limits.sockets", "%d are too few, want at least 64", c.Limits.Sockets)
	case c.Limits.Cores < 0:
		return fieldError("limits.cores", "%g is impossible", c.Limits.Cores)
	}
	return nil
}

func (c *config) parsedSeed() (uint64, error) {
	if c.Seed == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, fieldError("seed", "want up to 16 hex digits, not %q", c.Seed)
	}
	return n, nil
}
