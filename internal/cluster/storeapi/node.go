package storeapi

import (
	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
)

// Status is the response to GET /status: the state of a node, for operators.
type Status struct {
	Node          string `json:"node"`
	State         string `json:"state"`           // Waiting, Joining, or a member's Raft state: Leader, Follower, Candidate
	Leader        string `json:"leader"`          // name of the leader, "" if unknown
	AppliedIndex  uint64 `json:"applied"`         // index of the last log entry that the node has applied
	LastIndex     uint64 `json:"last"`            // index of the last entry in the node's log
	MirroredIndex uint64 `json:"mirrored"`        // log index up to which the SQL mirror is up to date
	SQLError      string `json:"error,omitempty"` // last error of the SQL mirror, the reason why it is behind
	Watchers      int    `json:"watchers"`
	Cluster       string `json:"cluster,omitempty"` // id of the cluster, "" until it is known
	ForeignPeers  string `json:"foreign,omitempty"` // peers that belong to another cluster
	ID            string `json:"id,omitempty"`      // node name and disk identity
	WaitingReason string `json:"waits,omitempty"`   // why the node does not participate yet, "" once it does
}

// PeerStatus is the response to GET /self, by which a node reports its state to another node. It
// includes what the node has observed of the disk of the requesting node.
type PeerStatus struct {
	diskidentity.Attestation
	State          string                 `json:"state"` // "serving", also while the node joins, or "waiting"
	Watermark      diskidentity.Watermark `json:"mark"`
	AppliedIndex   uint64                 `json:"applied"`
	RaftAddress    string                 `json:"raft"`
	AdminAddress   string                 `json:"admin"`
	Zone           string                 `json:"zone,omitempty"`
	SupportsLeases bool                   `json:"leases,omitempty"`
	// Checksums are checksums of the node's replicated state, to detect replicas that have diverged.
	Checksums kv.ChecksumHistory `json:"checks,omitempty"`
	// Addresses are the addresses of the members, for nodes that do not know all members.
	Addresses map[string]string `json:"addresses,omitempty"`
}

// ReadIndexResponse is the leader's response to GET /index.
type ReadIndexResponse struct {
	Index uint64 `json:"index"` // committed log index
}

// Member describes one member in the response to GET /members.
type Member struct {
	Name           string `json:"name"`
	ID             string `json:"id"` // node name and disk identity
	Zone           string `json:"zone,omitempty"`
	Role           string `json:"role"`   // voter or learner
	EntriesBehind  uint64 `json:"behind"` // log entries that the member is behind the leader
	State          string `json:"state"`  // leader, up, leaving, lost, or how long the member has been down
	AdminAddress   string `json:"admin"`
	NextStep       string `json:"next,omitempty"` // the next membership change of this member
	NextStepReason string `json:"why,omitempty"`  // reason of NextStep
}

// Members is the leader's response to GET /members.
type Members struct {
	Leader       string   `json:"leader"`
	ConfigIndex  uint64   `json:"index"` // log index of the Raft membership configuration
	TargetVoters int      `json:"voters_wanted"`
	Members      []Member `json:"members"`
	Removed      []string `json:"removed,omitempty"` // names of nodes that were removed and must not join
}

// JoinRequest is the body of POST /members, by which a node requests to join as a learner.
type JoinRequest struct {
	ID           string `json:"id"`
	RaftAddress  string `json:"raft"`
	AdminAddress string `json:"admin"`
	Zone         string `json:"zone,omitempty"`
	// SupportsLeases must be true to join a cluster that has leases.
	SupportsLeases bool `json:"leases,omitempty"`
}
