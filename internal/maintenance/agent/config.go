package agent

import (
	"errors"
	"fmt"
	"time"

	"oxbowbridge/internal/maintenance"
)

// Config is the section "work" of the configuration file: the settings of the maintenance agent.
type Config struct {
	Nodes               []string `json:"nodes"`      // admin addresses of the store; default is the own node
	Zone                string   `json:"zone"`       // failure domain of the machine
	Speed               float64  `json:"speed"`      // relative speed of a core; default 1
	HeartbeatIntervalMS int64    `json:"every_ms"`   // from 50 to 600000; default 2000
	Command             []string `json:"command"`    // runs while the machine is out; its exit ends the maintenance
	CommandTimeoutMS    int64    `json:"command_ms"` // timeout of the command; default 10 minutes
}

const (
	defaultHeartbeatInterval = 2 * time.Second
	defaultCommandTimeout    = 10 * time.Minute
	defaultSpeed             = 1
)

// Validate returns an error that names the first field that is not valid.
func (c *Config) Validate() error {
	interval := c.HeartbeatIntervalMS
	switch {
	case interval != 0 && (interval < maintenance.MinHeartbeatIntervalMS || interval > maintenance.MaxHeartbeatIntervalMS):
		return fmt.Errorf("every_ms: want %d to %d", maintenance.MinHeartbeatIntervalMS, maintenance.MaxHeartbeatIntervalMS)
	case c.Speed < 0:
		return errors.New("speed: below 0")
	case c.CommandTimeoutMS < 0:
		return errors.New("command_ms: below 0")
	case len(c.Command) > 0 && c.Command[0] == "":
		return errors.New("command: no program")
	}
	return nil
}

func (c *Config) speed() float64 {
	if c.Speed == 0 {
		return defaultSpeed
	}
	return c.Speed
}

func (c *Config) heartbeatInterval() time.Duration {
	if c.HeartbeatIntervalMS == 0 {
		return defaultHeartbeatInterval
	}
	return time.Duration(c.HeartbeatIntervalMS) * time.Millisecond
}

func (c *Config) commandTimeout() time.Duration {
	if c.CommandTimeoutMS == 0 {
		return defaultCommandTimeout
	}
	return time.Duration(c.CommandTimeoutMS) * time.Millisecond
}
