package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance/agent"
	"oxbowbridge/internal/sitesettings"
)

// Environment variables of the configuration.
const (
	envConfigPath    = "BALANCER_CONFIG" // path of the configuration file; required
	envServiceName   = "BALANCER_NAME"   // overrides "name" of the file
	envListenAddress = "BALANCER_LISTEN" // overrides "listen" of the file
)

// config is the configuration file, a JSON object. Addresses are HOST:PORT. Fields without
// a default are required. The process reads the file again on SIGHUP; see compareFields for
// the fields that take effect without a restart.
type config struct {
	// Name identifies the service in the service registry, in the log and in the store.
	Name string `json:"name"`
	// ListenAddress is the address on which FastCGI callers connect. Required without
	// ajp.listen.
	ListenAddress string `json:"listen"`
	// EngineAddress is the address of the engine. Required without ajp.upstreams, and not
	// allowed with them.
	EngineAddress string `json:"engine"`
	// RegistryAddress is the address to which the service sends its registration datagrams.
	// Default: the service is not registered.
	RegistryAddress string `json:"lookup"`
	// RecordsAddress is the address of the records service, which replies to the calls of
	// runs. Default: calls fail, as services of the last tier have no records service.
	RecordsAddress string `json:"records"`
	// Seed randomizes the slow start of AJP upstreams differently in each process: up to 16
	// hex digits. Default 0.
	Seed string `json:"seed"`
	// DrainTimeoutMS is the time from SIGTERM until the process manager kills the process, in
	// ms: at least 500, with a store at least 2000.
	DrainTimeoutMS int64 `json:"stop_ms"`
	// Limits are the resources of the process. They are configured, not measured.
	Limits struct {
		// Cores is the number of CPU cores that the process may use; required if the field
		// work is set. Default 0: unknown.
		Cores float64 `json:"cores"`
		// MemoryMB is the memory that the process may use, in MiB, at least 32.
		MemoryMB int64 `json:"memory_mb"`
		// Sockets is the maximum number of open file descriptors, at least 64. A lower
		// limit of the operating system takes precedence.
		Sockets int `json:"sockets"`
	} `json:"limits"`
	// Settings are the site settings. Settings in the store take precedence at the next
	// start.
	Settings sitesettings.Settings `json:"settings"`
	// AJP configures callers and upstreams that use AJP13. Default: none.
	AJP *ajpConfig `json:"ajp"`
	// Store configures this process as a node of the replicated store. Default: no store.
	Store *store.Config `json:"store"`
	// Maintenance configures the maintenance agent of this machine. Default: no agent.
	Maintenance *agent.Config `json:"work"`

	settingsFromStore bool // Settings were loaded from the store
	document          any  // the file as a JSON value, in which an absent key differs from a zero value
}

// ajpConfig configures callers and upstreams that use AJP13.
type ajpConfig struct {
	// ListenAddress is the address on which AJP callers connect. Default: none.
	ListenAddress string `json:"listen"`
	// Secret must be in each request of a caller. Default: none, which is allowed only if
	// ListenAddress is a loopback address.
	Secret string `json:"secret"`
	// UpstreamAddresses are the addresses of servers that run the requests in place of an
	// engine. Default: none.
	UpstreamAddresses []string `json:"upstreams"`
	// UpstreamSecret is sent to the upstreams with each request. Default: none.
	UpstreamSecret string `json:"upstream_secret"`
}

var (
	errMissing = errors.New("missing")
	// errKeyRemoved is the error of a reload whose file lacks a key.
	errKeyRemoved = errors.New("missing, but the configuration in effect has it; restart the service to remove it")
)

// fieldError returns an error that names a field of the configuration.
func fieldError(field, format string, args ...any) error {
	return fmt.Errorf("%s: %w", field, fmt.Errorf(format, args...))
}

// readConfig reads and validates the file that BALANCER_CONFIG names.
func readConfig(env func(string) string) (*config, error) {
	path := env(envConfigPath)
	if path == "" {
		return nil, fieldError(envConfigPath, "%w", errMissing)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fieldError(envConfigPath, "%w", err)
	}
	return parseConfig(text, env)
}

// readUpdatedConfig reads and validates the file for a reload. The file must have all keys of the configuration in effect.
func readUpdatedConfig(inEffect *config, env func(string) string) (*config, error) {
	updated, err := readConfig(env)
	if err != nil {
		return nil, err
	}
	if missing := inEffect.firstMissingKey(updated); missing != "" {
		return nil, fieldError(missing, "%w", errKeyRemoved)
	}
	return updated, nil
}

// parseConfig parses the text of a configuration file, applies the overrides of the
// environment, and validates the result.
func parseConfig(text []byte, env func(string) string) (*config, error) {
	var c config
	if err := sitesettings.DecodeJSON(text, &c); err != nil {
		return nil, err
	}
	if err := sitesettings.DecodeJSON(text, &c.document); err != nil {
		return nil, err
	}
	if name := env(envServiceName); name != "" {
		c.Name = name
	}
	if address := env(envListenAddress); address != "" {
		c.ListenAddress = address
	}
	if c.AJP == nil {
		c.AJP = &ajpConfig{}
	}
	return &c, c.validate()
}

// classesWithFailingCalls returns the names of the classes whose runs may make calls although no records service is
// configured.
func (c *config) classesWithFailingCalls() (names []string) {
	server := &c.Settings.Server
	noCalls := len(c.AJP.UpstreamAddresses) > 0 || server.Dependency == "" || server.Dependency == dependencyNone
	if noCalls || c.RecordsAddress != "" {
		return nil
	}
	for i, class := range c.Settings.Classes {
		if i < len(server.ClassMakesCalls) && server.ClassMakesCalls[i] {
			names = append(names, class.Name)
		}
	}
	return names
}

// parsedSeed returns the value of Seed.
func (c *config) parsedSeed() (uint64, error) {
	if c.Seed == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, fieldError("seed", "want up to 16 hex digits, not %q", c.Seed)
	}
	return seed, nil
}
