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
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Engine  string `json:"engine"`
	Lookup  string `json:"lookup"`
	Records string `json:"records"`
	Seed    string `json:"seed"`
	StopMS  int64  `json:"stop_ms"`
	Limits  struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings simproto.Settings `json:"settings"`
	AJP      *ajpConfig        `json:"ajp"`   // absent on the platform
	Store    *store.Config     `json:"store"` // absent on the platform
	Work     *agent.Config     `json:"work"`  // absent on the platform
	stored   bool              // the settings in force are those of the store
}

// ajpConfig sets up callers and upstreams that speak AJP13.
type ajpConfig struct {
	Listen         string   `json:"listen"`
	Secret         string   `json:"secret"`
	Upstreams      []string `json:"upstreams"` // they do the work, in place of an engine
	UpstreamSecret string   `json:"upstream_secret"`
}

// fault is an error in one field of the configuration.
func fault(field, format string, args ...any) error {
	return fmt.Errorf("%s: %w", field, fmt.Errorf(format, args...))
}

var errMissing = errors.New("missing")

// readConfig reads the file; the environment's name and address go before its.
func readConfig(env func(string) string) (*config, error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return nil, fault("BALANCER_CONFIG", "%w", errMissing)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault("BALANCER_CONFIG", "%w", err)
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
		c.Listen = v
	}
	return &c, c.check()
}

// changes names the fields that another file has changed: those that are followed
// while the program runs, or those that wait for its next start.
func (c *config) changes(to *config, followed bool) []string {
	swapped := (c.Engine == "") != (to.Engine == "") // the engine for upstreams, or back
	names := []string{}
	for _, f := range []struct {
		name     string
		old, new any
		followed bool
	}{
		{"engine", c.Engine, to.Engine, !swapped}, {"records", c.Records, to.Records, true},
		{"lookup", c.Lookup, to.Lookup, true}, {"stop_ms", c.StopMS, to.StopMS, true},
		{"ajp.upstreams", c.AJP.Upstreams, to.AJP.Upstreams, !swapped},
		{"ajp.upstream_secret", c.AJP.UpstreamSecret, to.AJP.UpstreamSecret, !swapped},
		{"name", c.Name, to.Name, false}, {"listen", c.Listen, to.Listen, false}, {"limits", c.Limits, to.Limits, false},
		{"settings", c.Settings, to.Settings, false}, {"ajp.listen", c.AJP.Listen, to.AJP.Listen, false},
		{"ajp.secret", c.AJP.Secret, to.AJP.Secret, false}, {"store", c.Store, to.Store, false},
	} {
		if f.name == "settings" && c.stored {
			continue // the store's go before the file's
		}
		if f.followed == followed && !reflect.DeepEqual(f.old, f.new) {
			names = append(names, f.name)
		}
	}
	return names
}

func (c *config) check() error {
	if c.Name == "" {
		return fault("name", "%w", errMissing)
	}
	if c.AJP == nil {
		c.AJP = &ajpConfig{}
	}
	type address struct {
		field, addr string
		needed      bool
	}
	addresses := []address{{"listen", c.Listen, c.AJP.Listen == ""}, {"engine", c.Engine, len(c.AJP.Upstreams) == 0},
		{"lookup", c.Lookup, false}, {"records", c.Records, false}, {"ajp.listen", c.AJP.Listen, false}}
	for _, a := range c.AJP.Upstreams {
		addresses = append(addresses, address{"ajp.upstreams", a, true})
	}
	for _, a := range addresses {
		if a.addr == "" && !a.needed {
			continue
		}
		if a.addr == "" {
			return fault(a.field, "%w", errMissing)
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fault(a.field, "%w", err)
		}
	}
	if _, err := c.seed(); err != nil {
		return err
	}
	// A stranger who reaches an AJP port can set any field of a request.
	if host, _, _ := net.SplitHostPort(c.AJP.Listen); host != "" && c.AJP.Secret == "" {
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fault("ajp.secret", "needed unless ajp.listen is a loopback address")
		}
	}
	if _, err := dispatch.Check(&c.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Store != nil {
		if err := c.Store.Check(); err != nil {
			return fmt.Errorf("store.%w", err)
		}
	}
	if c.Work != nil {
		if err := c.Work.Validate(); err != nil {
			return fmt.Errorf("work.%w", err)
		}
	}
	switch {
	case c.Work != nil && c.Store == nil && len(c.Work.Nodes) == 0:
		return fault("work.nodes", "%w, as this service has no store", errMissing)
	case c.Work != nil && c.Limits.Cores == 0:
		return fault("limits.cores", "needed with work")
	case c.Engine != "" && len(c.AJP.Upstreams) > 0:
		return fault("ajp.upstreams", "not together with engine")
	case c.Store != nil && c.StopMS < 2000:
		return fault("stop_ms", "%d is too short, want at least 2000 with a store", c.StopMS)
	case c.StopMS < 500:
		return fault("stop_ms", "%d is too short, want at least 500", c.StopMS)
	case c.Limits.MemoryMB < 32:
		return fault("limits.memory_mb", "%d is too little, want at least 32", c.Limits.MemoryMB)
	case c.Limits.Sockets < 64:
		return fault("limits.sockets", "%d are too few, want at least 64", c.Limits.Sockets)
	case c.Limits.Cores < 0:
		return fault("limits.cores", "%g is impossible", c.Limits.Cores)
	}
	return nil
}

func (c *config) seed() (uint64, error) {
	if c.Seed == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, fault("seed", "want up to 16 hex digits, not %q", c.Seed)
	}
	return n, nil
}
