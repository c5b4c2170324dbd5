package store

import "errors"

// Errors of the node's part in the cluster.
var (
	// ErrNoLeader means that no leader is known, or that the request needs the leader and this
	// node is not it.
	ErrNoLeader = errors.New("no leader is known")
	// ErrNotServing means that this node runs no Raft now.
	ErrNotServing = errors.New("this node takes no part in the store")
	// ErrMemberNotFound means that the configuration has no such member.
	ErrMemberNotFound = errors.New("no such member")
	// ErrMemberRejected means that a change of the members is not allowed; nothing was done.
	ErrMemberRejected = errors.New("not taken in")
)

// Errors of reads and writes.
var (
	// ErrNotFresh means that this node could not prove in time that it knows what the reader
	// asked for. The reader may retry, here or at another node.
	ErrNotFresh = errors.New("freshness can't be proven now")
	// ErrTooManyWrites means that too many writes are uncommitted; nothing was done.
	ErrTooManyWrites = errors.New("too many writes are waiting")
	// ErrLeasesUnavailable means that a member runs a version that does not know leases.
	ErrLeasesUnavailable = errors.New("leases wait until all members know them")
	// ErrStaleToken means that the SQL record has seen a higher fencing token: another node
	// writes it now.
	ErrStaleToken = errors.New("the store of record knows a higher token")
)

// Errors of restoring and recovering.
var (
	// ErrNotEmpty rejects a restore into a store that holds keys.
	ErrNotEmpty = errors.New("a backup is put back into an empty store only")
	// ErrNotConfirmed means that a recovery was not confirmed with the cluster's ID.
	ErrNotConfirmed = errors.New("not confirmed")

	errRestoreSuperseded = errors.New("another restore has taken its place")
)

// Reasons for which an incarnation ends.
var (
	// errRemoved: a later configuration has no such member.
	errRemoved = errors.New("the others have removed this disk from the members")
	// errDiverged: applying the log led to another state than on most other voters. As the log
	// itself may be the same by now, the whole folder is given up.
	errDiverged = errors.New("the state differs from that of most other nodes")
	// errClusterReplaced: another cluster was recovered from this node's cluster.
	errClusterReplaced = errors.New("the cluster was recovered as another")
)

// Errors between nodes.
var (
	errWrongMember = errors.New("another is meant")
	errGreeting    = errors.New("greeting can't be read")
	errStaleTerm   = errors.New("the term is over")
)
