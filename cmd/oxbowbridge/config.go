package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"oxbowbridge/internal/wire"
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
	Settings wire.Settings `json:"settings"`
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
	var c config
	if err := wire.Decode(text, &c); err != nil {
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

func (c *config) check() error {
	if c.Name == "" {
		return fault("name", "%w", errMissing)
	}
	for _, a := range []struct {
		field, addr string
		needed      bool
	}{
		{"listen", c.Listen, true}, {"engine", c.Engine, true},
		{"lookup", c.Lookup, false}, {"records", c.Records, false},
	} {
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
	switch {
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
