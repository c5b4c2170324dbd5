package storeapi

import (
	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
)

// Status is the answer to GET /status: a node as operators see it.
type Status struct {
	Node          string `json:"node"`
	State         string `json:"state"`           // Waiting, Joining, or while it is a member Raft's state: Leader, Follower or Candidate
	Leader        string `json:"leader"`          // name of the leader; "" if none is known
	AppliedIndex  uint64 `json:"applied"`         // log index that the node's state includes
	LastIndex     uint64 `json:"last"`            // of the node's log
	MirroredIndex uint64 `json:"mirrored"`        // log index up to which the SQL mirror is complete
	SQLError      string `json:"error,omitempty"` // why the SQL mirror is behind
	Watchers      int    `json:"watchers"`
	Cluster       string `json:"cluster,omitempty"` // id of the cluster, once it is known
	ForeignPeers  string `json:"foreign,omitempty"` // peers that belong to another cluster
	ID            string `json:"id,omitempty"`      // the node's name and its disk's identity
	WaitingReason string `json:"waits,omitempty"`   // why the node does not take part yet; "" once it does
}

// PeerStatus is the answer to GET /self: a node as another node sees it, with what it has observed of
// the other one's disk.
type PeerStatus struct {
	diskidentity.Attestation
	State          string                 `json:"state"` // serving (also while it joins) or waiting
	Watermark      diskidentity.Watermark `json:"mark"`
	AppliedIndex   uint64                 `json:"applied"`
	RaftAddress    string                 `json:"raft"`
	AdminAddress   string                 `json:"admin"`
	Zone           string                 `json:"zone,omitempty"`
	SupportsLeases bool                   `json:"leases,omitempty"`
	// Checksums of the node's state, by which nodes notice one that differs.
	Checksums kv.ChecksumHistory `json:"checks,omitempty"`
	// Addresses of the members, for a node that does not know all of them.
	Addresses map[string]string `json:"addresses,omitempty"`
}

// ReadIndexResponse is a leader's answer to GET /index.
type ReadIndexResponse struct {
	Index uint64 `json:"index"` // committed log index
}

// Member is one member of the answer to GET /members.
type Member struct {
	Name           string `json:"name"`
	ID             string `json:"id"` // name and disk identity
	Zone           string `json:"zone,omitempty"`
	Role           string `json:"role"`   // voter or learner
	EntriesBehind  uint64 `json:"behind"` // entries of the leader's log that its own log lacks
	State          string `json:"state"`  // leader, up, leaving, lost, or for how long it has been down
	AdminAddress   string `json:"admin"`
	NextStep       string `json:"next,omitempty"` // the change of membership to come
	NextStepReason string `json:"why,omitempty"`  // of the next step
}

// Members is the leader's answer to GET /members.
type Members struct {
	Leader       string   `json:"leader"`
	ConfigIndex  uint64   `json:"index"` // log index of the membership configuration
	TargetVoters int      `json:"voters_wanted"`
	Members      []Member `json:"members"`
	Removed      []string `json:"removed,omitempty"` // names that may not join
}

// JoinRequest is the body of POST /members: a node asks to become a learner.
type JoinRequest struct {
	ID           string `json:"id"`
	RaftAddress  string `json:"raft"`
	AdminAddress string `json:"admin"`
	Zone         string `json:"zone,omitempty"`
	// SupportsLeases must be true to join a cluster that has leases.
	SupportsLeases bool `json:"leases,omitempty"`
}
