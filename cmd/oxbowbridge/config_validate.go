package main

import (
	"fmt"
	"net"

	"oxbowbridge/internal/proxy/dispatch"
)

// Minimum values of numbers in the configuration.
const (
	minDrainTimeoutMS          = 500
	minDrainTimeoutWithStoreMS = 2000
	minMemoryMB                = 32
	minSockets                 = 64
)

// validate returns an error that names the first invalid field.
func (c *config) validate() error {
	if c.Name == "" {
		return fieldError("name", "%w", errMissing)
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	if _, err := c.parsedSeed(); err != nil {
		return err
	}
	if err := c.validateAJPSecret(); err != nil {
		return err
	}
	if err := c.validateSections(); err != nil {
		return err
	}
	if err := c.validateCombinations(); err != nil {
		return err
	}
	return c.validateLimits()
}

func (c *config) validateAddresses() error {
	type address struct {
		field    string
		value    string
		required bool
	}
	addresses := []address{
		{"listen", c.ListenAddress, c.AJP.ListenAddress == ""},
		{"engine", c.EngineAddress, len(c.AJP.UpstreamAddresses) == 0},
		{"lookup", c.RegistryAddress, false},
		{"records", c.RecordsAddress, false},
		{"ajp.listen", c.AJP.ListenAddress, false},
	}
	for _, upstream := range c.AJP.UpstreamAddresses {
		addresses = append(addresses, address{"ajp.upstreams", upstream, true})
	}
	for _, a := range addresses {
		if a.value == "" && !a.required {
			continue
		}
		if a.value == "" {
			return fieldError(a.field, "%w", errMissing)
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fieldError(a.field, "%w", err)
		}
	}
	return nil
}

// validateAJPSecret requires a secret if other hosts can reach the AJP port: without one, any
// of them could set every field of a request.
func (c *config) validateAJPSecret() error {
	if c.AJP.ListenAddress == "" || c.AJP.Secret != "" {
		return nil
	}
	host, _, _ := net.SplitHostPort(c.AJP.ListenAddress) // an empty host means all addresses
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fieldError("ajp.secret", "missing, required unless ajp.listen is a loopback address")
	}
	return nil
}

// validateSections checks the fields settings, store and work with the validation of the
// packages that use them.
func (c *config) validateSections() error {
	if _, err := dispatch.ControllerSettings(&c.Settings); err != nil {
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
	return nil
}

// validateCombinations checks fields that require or exclude others.
func (c *config) validateCombinations() error {
	switch {
	case c.Maintenance != nil && c.Store == nil && len(c.Maintenance.Nodes) == 0:
		return fieldError("work.nodes", "%w, required because this service has no store", errMissing)
	case c.Maintenance != nil && c.Limits.Cores == 0:
		return fieldError("limits.cores", "missing, required with work")
	case c.EngineAddress != "" && len(c.AJP.UpstreamAddresses) > 0:
		return fieldError("ajp.upstreams", "not allowed together with engine")
	}
	return nil
}

func (c *config) validateLimits() error {
	switch {
	case c.Store != nil && c.DrainTimeoutMS < minDrainTimeoutWithStoreMS:
		return fieldError("stop_ms", "%d ms is too short, want at least %d ms with a store", c.DrainTimeoutMS, minDrainTimeoutWithStoreMS)
	case c.DrainTimeoutMS < minDrainTimeoutMS:
		return fieldError("stop_ms", "%d ms is too short, want at least %d ms", c.DrainTimeoutMS, minDrainTimeoutMS)
	case c.Limits.MemoryMB < minMemoryMB:
		return fieldError("limits.memory_mb", "%d MiB is too little, want at least %d MiB", c.Limits.MemoryMB, minMemoryMB)
	case c.Limits.Sockets < minSockets:
		return fieldError("limits.sockets", "%d is too small, want at least %d", c.Limits.Sockets, minSockets)
	case c.Limits.Cores < 0:
		return fieldError("limits.cores", "%g is negative, want 0 or more", c.Limits.Cores)
	}
	return nil
}
