package store

import (
	"cmp"
	"time"

	"oxbowbridge/internal/cluster/membership"
)

// Peer is one node of the store.
type Peer struct {
	Name  string `json:"name"`           // 1 to 64 letters, digits, dots, dashes or underscores
	Raft  string `json:"raft"`           // loopback address at which the nodes talk to each other
	Admin string `json:"admin"`          // loopback address of the HTTP surface
	Zone  string `json:"zone,omitempty"` // failure domain; "" is one too
}

// Config is the store's section of the configuration file.
type Config struct {
	// Node is this node's name, among Peers or else with its addresses in Self.
	Node string `json:"node"`
	// Dir is the storage folder. It is made if it is missing.
	Dir string `json:"dir"`
	// Peers make the cluster when all of them start with new folders. Later they are the nodes
	// that are polled first. An address here takes precedence over the cluster's configuration.
	Peers []Peer `json:"peers"`
	// Self has the addresses of a node that joins and is not among Peers.
	Self *Peer `json:"self,omitempty"`

	// Voters is the wanted number of voters; 0 is the number of Peers.
	Voters int `json:"voters"`
	// ReplaceAfterMS is for how long a voter is down before a learner gets its vote, in
	// milliseconds; 0 is a minute.
	ReplaceAfterMS int64 `json:"replace_after_ms"`
	// ForgetAfterMS is for how long a learner is down before it is removed, in milliseconds; 0 is
	// a day.
	ForgetAfterMS int64 `json:"forget_after_ms"`
	// Attesters is how many other voters must attest, before a node that starts may vote, that
	// they have observed no more of its disk than it has: 0 is as many as make a majority with
	// it, -1 is all of them. Pages and the file call them vouchers.
	Attesters int `json:"vouchers"`

	// SQL is the database that mirrors the keys.
	SQL struct {
		Driver string `json:"driver"` // "sqlite", "postgres", or "" for no database
		DSN    string `json:"dsn"`    // data source name of the driver
	} `json:"sql"`
	// Backup is for scheduled backups.
	Backup BackupConfig `json:"backup"`
}

// BackupConfig has scheduled backups taken by one of the nodes that are set up for it.
type BackupConfig struct {
	Dir   string `json:"dir"`   // folder of the files; "" is no backups
	Every string `json:"every"` // interval as a Go duration, such as "1h"; "" is a day
	Keep  int    `json:"keep"`  // files that stay in Dir; 0 is 7
}

const (
	defaultReplaceAfter = time.Minute
	defaultForgetAfter  = 24 * time.Hour
	// membershipSettleTime is the minimum time between two membership changes: each is decided on
	// reports that are newer than the one before (pollInterval).
	membershipSettleTime = 200 * time.Millisecond
	// maxEntriesBehind is how many log entries a healthy member may miss. A learner with more is not
	// promoted; a voter with more does not count for the healthy majority that each change needs.
	maxEntriesBehind = 100
	maxMembers       = 32
	maxVoters        = 9

	defaultBackupInterval  = 24 * time.Hour
	minBackupInterval      = time.Second
	defaultBackupRetention = 7
	maxBackupRetention     = 10000
)

// Retention is how many backups stay.
func (b BackupConfig) Retention() int { return cmp.Or(b.Keep, defaultBackupRetention) }

func (c *Config) configuredPeer(name string) (Peer, bool) {
	for _, p := range c.Peers {
		if p.Name == name {
			return p, true
		}
	}
	return Peer{}, false
}

// isFounder reports whether the node is one of those that make the cluster.
func (c *Config) isFounder() bool {
	_, ok := c.configuredPeer(c.Node)
	return ok
}

// founders are the names of those that make the cluster; nil on a node that is none of them.
func (c *Config) founders() (names []string) {
	if !c.isFounder() {
		return nil
	}
	for _, p := range c.Peers {
		names = append(names, p.Name)
	}
	return names
}

// self is this node, if the configuration says where it is.
func (c *Config) self() (Peer, bool) {
	if p, ok := c.configuredPeer(c.Node); ok || c.Self == nil {
		return p, ok
	}
	p := *c.Self
	p.Name = cmp.Or(p.Name, c.Node)
	return p, p.Name == c.Node
}

// policy is what the leader decides on members by.
func (c *Config) policy() membership.Policy {
	return membership.Policy{
		TargetVoters:       cmp.Or(c.Voters, len(c.Peers)),
		ReplaceAfter:       cmp.Or(time.Duration(c.ReplaceAfterMS)*time.Millisecond, defaultReplaceAfter),
		RemoveLearnerAfter: cmp.Or(time.Duration(c.ForgetAfterMS)*time.Millisecond, defaultForgetAfter),
		SettleTime:         membershipSettleTime,
		MaxEntriesBehind:   maxEntriesBehind,
	}
}
