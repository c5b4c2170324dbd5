package store

import (
	"cmp"
	"time"

	"oxbowbridge/internal/cluster/membership"
)

// Peer is one node of the store.
type Peer struct {
	Name  string `json:"name"`           // 1 to 64 letters, digits, dots, dashes or underscores
	Raft  string `json:"raft"`           // loopback address for Raft traffic between nodes
	Admin string `json:"admin"`          // loopback address of the HTTP admin API
	Zone  string `json:"zone,omitempty"` // failure domain; nodes with "" share one
}

// Config is the store's section of the configuration file.
type Config struct {
	// Node is this node's name. Its addresses are in Peers under this name, or in Self.
	Node string `json:"node"`
	// Dir is the storage folder. It is created if it does not exist.
	Dir string `json:"dir"`
	// Peers are the initial members: they form the cluster when all of them start with new folders. After
	// that they are the nodes to poll first. An address in Peers takes precedence over the one in the
	// cluster's configuration.
	Peers []Peer `json:"peers"`
	// Self has the addresses of a node that is not in Peers and joins an existing cluster.
	Self *Peer `json:"self,omitempty"`

	// TargetVoters is the target number of voters; 0 means the number of Peers.
	TargetVoters int `json:"voters"`
	// ReplaceVoterAfterMS is how long a voter is down before a learner replaces it, in milliseconds; 0
	// means one minute.
	ReplaceVoterAfterMS int64 `json:"replace_after_ms"`
	// RemoveLearnerAfterMS is how long a learner is down before it is removed, in milliseconds; 0 means one day.
	RemoveLearnerAfterMS int64 `json:"forget_after_ms"`
	// RequiredAttesters is how many other voters must attest the disk of a starting node before the node may
	// vote. A voter attests that it has not observed a higher watermark of the disk than the disk has now. 0
	// means as many as form a majority with this node, -1 means all other voters. The documentation and the
	// configuration file call attesters "vouchers".
	RequiredAttesters int `json:"vouchers"`

	// SQL is the database to which the keys are mirrored.
	SQL struct {
		Driver string `json:"driver"` // "sqlite", "postgres", or "" for no database
		DSN    string `json:"dsn"`    // data source name of the driver
	} `json:"sql"`
	// Backup configures scheduled backups.
	Backup BackupConfig `json:"backup"`
}

// BackupConfig configures scheduled backups. One of the nodes with this configuration takes them.
type BackupConfig struct {
	Dir      string `json:"dir"`   // folder of the backup files; "" disables backups
	Every    string `json:"every"` // interval as a Go duration, such as "1h"; "" means one day
	MaxFiles int    `json:"keep"`  // number of backup files to retain in Dir; 0 means 7
}

const (
	defaultReplaceVoterAfter  = time.Minute
	defaultRemoveLearnerAfter = 24 * time.Hour
	// minMembershipChangeInterval is the minimum time between two membership changes. It equals pollInterval,
	// so that each change is decided on peer reports that are newer than the change before.
	minMembershipChangeInterval = 200 * time.Millisecond
	// maxEntriesBehind is how many log entries a healthy member may lag behind the leader. A learner that
	// lags further is not promoted. A voter that lags further does not count toward the healthy majority that
	// every membership change requires.
	maxEntriesBehind = 100
	maxMembers       = 32
	maxVoters        = 9

	defaultBackupInterval  = 24 * time.Hour
	minBackupInterval      = time.Second
	defaultBackupRetention = 7
	maxBackupRetention     = 10000
)

// Retention returns how many backup files are retained.
func (b BackupConfig) Retention() int { return cmp.Or(b.MaxFiles, defaultBackupRetention) }

func (c *Config) configuredPeer(name string) (Peer, bool) {
	for _, p := range c.Peers {
		if p.Name == name {
			return p, true
		}
	}
	return Peer{}, false
}

// isInitialMember reports whether the node is listed in Peers.
func (c *Config) isInitialMember() bool {
	_, ok := c.configuredPeer(c.Node)
	return ok
}

// initialMembers returns the names of the nodes that form the cluster, or nil on a node that is not one of
// them.
func (c *Config) initialMembers() (names []string) {
	if !c.isInitialMember() {
		return nil
	}
	for _, p := range c.Peers {
		names = append(names, p.Name)
	}
	return names
}

// self returns this node with its addresses, if the configuration has them.
func (c *Config) self() (Peer, bool) {
	if p, ok := c.configuredPeer(c.Node); ok || c.Self == nil {
		return p, ok
	}
	p := *c.Self
	p.Name = cmp.Or(p.Name, c.Node)
	return p, p.Name == c.Node
}

// membershipPolicy returns the policy by which the leader changes the membership.
func (c *Config) membershipPolicy() membership.Policy {
	return membership.Policy{
		TargetVoters:       cmp.Or(c.TargetVoters, len(c.Peers)),
		ReplaceAfter:       cmp.Or(time.Duration(c.ReplaceVoterAfterMS)*time.Millisecond, defaultReplaceVoterAfter),
		RemoveLearnerAfter: cmp.Or(time.Duration(c.RemoveLearnerAfterMS)*time.Millisecond, defaultRemoveLearnerAfter),
		SettleTime:         minMembershipChangeInterval,
		MaxEntriesBehind:   maxEntriesBehind,
	}
}
