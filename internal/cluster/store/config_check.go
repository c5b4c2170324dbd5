package store

import (
	"errors"
	"fmt"
	"net"
	"regexp"
	"slices"
	"time"
)

// namePattern excludes the characters of reservedIDChars, which separate the fields of a member's ID and
// address.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Check validates the configuration. Its error names the invalid field.
func (c *Config) Check() error {
	if err := c.checkNode(); err != nil {
		return err
	}
	if err := c.checkLimits(); err != nil {
		return err
	}
	if err := c.checkPeers(); err != nil {
		return err
	}
	if err := c.Backup.check(); err != nil {
		return err
	}
	if _, ok := sqlDrivers[c.SQL.Driver]; !ok && c.SQL.Driver != "" {
		return fmt.Errorf("sql.driver: %q: want sqlite or postgres", c.SQL.Driver)
	}
	return nil
}

func (c *Config) checkNode() error {
	_, ok := c.self()
	switch {
	case c.Dir == "":
		return errors.New("dir: missing")
	case !ok:
		return fmt.Errorf("node: %q is not in peers, and self has no addresses for it", c.Node)
	case c.Self != nil && c.isInitialMember():
		return errors.New("self: must be omitted for a node that is in peers")
	}
	return nil
}

func (c *Config) checkLimits() error {
	switch {
	case c.TargetVoters < 0 || c.TargetVoters > maxVoters:
		return fmt.Errorf("voters: must be 0 to %d", maxVoters)
	case c.RequiredAttesters < -1 || c.RequiredAttesters > maxVoters:
		return fmt.Errorf("vouchers: must be -1 to %d", maxVoters)
	case c.ReplaceVoterAfterMS < 0:
		return errors.New("replace_after_ms: must not be negative")
	case c.RemoveLearnerAfterMS < 0:
		return errors.New("forget_after_ms: must not be negative")
	case len(c.Peers) > maxMembers:
		return fmt.Errorf("peers: more than the maximum of %d", maxMembers)
	}
	return nil
}

func (c *Config) checkPeers() error {
	for i, p := range c.Peers {
		if err := p.check(); err != nil {
			return fmt.Errorf("peers.%d.%w", i, err)
		}
		if slices.ContainsFunc(c.Peers[:i], func(other Peer) bool { return other.Name == p.Name }) {
			return fmt.Errorf("peers.%d.name: duplicate name %q", i, p.Name)
		}
	}
	if c.Self == nil {
		return nil
	}
	self, _ := c.self()
	if err := self.check(); err != nil {
		return fmt.Errorf("self.%w", err)
	}
	return nil
}

func (p Peer) check() error {
	if !namePattern.MatchString(p.Name) {
		return fmt.Errorf("name: %q: want 1 to 64 letters, digits, dots, dashes or underscores", p.Name)
	}
	for field, addr := range map[string]string{"raft": p.Raft, "admin": p.Admin} {
		if err := checkLoopback(addr); err != nil {
			return fmt.Errorf("%s: %w", field, err)
		}
	}
	return nil
}

// checkLoopback rejects addresses that are not loopback: neither the Raft port nor the admin port
// authenticates its clients.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is not a loopback address", addr)
	}
	return nil
}

// Interval returns the time between two backups.
func (b BackupConfig) Interval() (time.Duration, error) {
	if b.Every == "" {
		return defaultBackupInterval, nil
	}
	d, err := time.ParseDuration(b.Every)
	if err == nil && d < minBackupInterval {
		err = fmt.Errorf("%q is shorter than the minimum of %v", b.Every, minBackupInterval)
	}
	if err != nil {
		return 0, fmt.Errorf("backup.every: %w", err)
	}
	return d, nil
}

func (b BackupConfig) check() error {
	switch {
	case b.Dir == "" && (b.Every != "" || b.MaxFiles != 0):
		return errors.New("backup.dir: missing, but required by backup.every and backup.keep")
	case b.MaxFiles < 0 || b.MaxFiles > maxBackupRetention:
		return fmt.Errorf("backup.keep: must be 1 to %d, or 0 for the default of %d", maxBackupRetention, defaultBackupRetention)
	}
	_, err := b.Interval()
	return err
}
