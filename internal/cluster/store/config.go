package store

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"regexp"
	"slices"
	"time"

	"oxbowbridge/internal/cluster/membership"
)

// Peer is one node of the store.
type Peer struct {
	Name  string `json:"name"`
	Raft  string `json:"raft"`           // where the nodes talk to each other
	Admin string `json:"admin"`          // where operators talk to it
	Zone  string `json:"zone,omitempty"` // what fails together with it; "" is a zone too
}

// Config sets a node up.
type Config struct {
	Node string `json:"node"`
	Dir  string `json:"dir"`
	// Peers make the cluster when all of them start with new folders. Later they are
	// those whom a node asks first; a node that joins is not among them, and says in
	// Self where it is. An address here goes before what the cluster says of a node.
	Peers []Peer `json:"peers"`
	Self  *Peer  `json:"self,omitempty"`

	Voters         int   `json:"voters"`           // wanted; 0 is as many as there are peers
	ReplaceAfterMS int64 `json:"replace_after_ms"` // a voter that is gone for so long gives its vote to a learner; 0 is a minute
	ForgetAfterMS  int64 `json:"forget_after_ms"`  // a learner that is gone for so long is removed; 0 is a day
	// Vouchers is how many other voters must say, before a node that starts may vote,
	// that they have seen no more of its disk than it has: 0 is what makes a majority
	// with it, -1 is all of them.
	Attesters int `json:"vouchers"`

	SQL struct {
		Driver string `json:"driver"` // "sqlite", "postgres", or "" for no store of record
		DSN    string `json:"dsn"`
	} `json:"sql"`
	Backup BackupConfig `json:"backup"`
}

// BackupConfig has backups taken on schedule, by one of the nodes that are set up for it.
type BackupConfig struct {
	Dir   string `json:"dir"`   // "" is none
	Every string `json:"every"` // such as "1h"; "" is a day
	Keep  int    `json:"keep"`  // files in Dir; 0 is 7
}

const (
	backupEvery = 24 * time.Hour
	backupLeast = time.Second
	backupKeep  = 7
	backupMost  = 10000
)

// Interval is the time between two backups.
func (b BackupConfig) Interval() (time.Duration, error) {
	if b.Every == "" {
		return backupEvery, nil
	}
	d, err := time.ParseDuration(b.Every)
	if err == nil && d < backupLeast {
		err = fmt.Errorf("%q is below %v", b.Every, backupLeast)
	}
	if err != nil {
		return 0, fmt.Errorf("backup.every: %w", err)
	}
	return d, nil
}

// Retention is how many stay.
func (b BackupConfig) Retention() int { return cmp.Or(b.Keep, backupKeep) }

func (b BackupConfig) check() error {
	switch {
	case b.Dir == "" && (b.Every != "" || b.Keep != 0):
		return errors.New("backup.dir: missing")
	case b.Keep < 0 || b.Keep > backupMost:
		return fmt.Errorf("backup.keep: want 1 to %d, or 0 for %d", backupMost, backupKeep)
	}
	_, err := b.Interval()
	return err
}

const (
	replaceAfter = time.Minute
	forgetAfter  = 24 * time.Hour
	settleTime   = 200 * time.Millisecond // between two changes of the members
	lagMost      = 100                    // entries that a learner may miss and still get a vote
	membersMost  = 32
	votersMost   = 9
)

var nameForm = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`) // no "@" or "|", which part a member's id and address

// Check names the field at fault.
func (c *Config) Check() error {
	if c.Dir == "" {
		return errors.New("dir: missing")
	}
	own, ok := c.self()
	switch {
	case !ok:
		return fmt.Errorf("node: %q is not among the peers, and self does not say where it is", c.Node)
	case c.Self != nil && c.isFounder():
		return errors.New("self: the node is among the peers")
	case c.Voters < 0 || c.Voters > votersMost:
		return fmt.Errorf("voters: want 0 to %d", votersMost)
	case c.Attesters < -1 || c.Attesters > votersMost:
		return fmt.Errorf("vouchers: want -1 to %d", votersMost)
	case c.ReplaceAfterMS < 0:
		return errors.New("replace_after_ms: below 0")
	case c.ForgetAfterMS < 0:
		return errors.New("forget_after_ms: below 0")
	case len(c.Peers) > membersMost:
		return fmt.Errorf("peers: more than %d", membersMost)
	}
	for i, p := range c.Peers {
		if err := p.check(); err != nil {
			return fmt.Errorf("peers.%d.%w", i, err)
		}
		if slices.ContainsFunc(c.Peers[:i], func(o Peer) bool { return o.Name == p.Name }) {
			return fmt.Errorf("peers.%d.name: %q is there twice", i, p.Name)
		}
	}
	if c.Self != nil {
		if err := own.check(); err != nil {
			return fmt.Errorf("self.%w", err)
		}
	}
	if err := c.Backup.check(); err != nil {
		return err
	}
	if _, ok := drivers[c.SQL.Driver]; !ok && c.SQL.Driver != "" {
		return fmt.Errorf("sql.driver: %q is neither sqlite nor postgres", c.SQL.Driver)
	}
	return nil
}

func (p Peer) check() error {
	if !nameForm.MatchString(p.Name) {
		return fmt.Errorf("name: %q: want 1 to 64 letters, digits, dots, dashes or underscores", p.Name)
	}
	for field, addr := range map[string]string{"raft": p.Raft, "admin": p.Admin} {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return fmt.Errorf("%s: %w", field, err)
		}
		// Neither port asks who is there.
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			return fmt.Errorf("%s: %s is not a loopback address", field, addr)
		}
	}
	return nil
}

func (c *Config) configuredPeer(name string) (Peer, bool) {
	for _, p := range c.Peers {
		if p.Name == name {
			return p, true
		}
	}
	return Peer{}, false
}

// isFounder tells whether the node is one of those that make the cluster.
func (c *Config) isFounder() bool { _, ok := c.configuredPeer(c.Node); return ok }

func (c *Config) self() (Peer, bool) {
	if p, ok := c.configuredPeer(c.Node); ok || c.Self == nil {
		return p, ok
	}
	p := *c.Self
	if p.Name == "" {
		p.Name = c.Node
	}
	return p, p.Name == c.Node
}

// policy is what the leader's decisions on members follow.
func (c *Config) policy() membership.Policy {
	p := membership.Policy{Voters: c.Voters, ReplaceAfter: time.Duration(c.ReplaceAfterMS) * time.Millisecond,
		ForgetAfter: time.Duration(c.ForgetAfterMS) * time.Millisecond, SettleTime: settleTime, MaxLag: lagMost}
	if p.Voters == 0 {
		p.Voters = len(c.Peers)
	}
	if p.ReplaceAfter == 0 {
		p.ReplaceAfter = replaceAfter
	}
	if p.ForgetAfter == 0 {
		p.ForgetAfter = forgetAfter
	}
	return p
}
