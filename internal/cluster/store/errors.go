package store

import "errors"

// The texts of the exported errors are part of HTTP responses (internal/cluster/storeadmin) and must not
// change.

// Errors of membership, and of requests that need the leader or a running node.
var (
	// ErrNoLeader means one of the following: no leader is known; the request requires the leader and this
	// node is not it; or this node lost the leadership during the request. Clients retry in all three cases.
	ErrNoLeader = errors.New("no leader is known")
	// ErrNotServing means that this node does not run Raft at present.
	ErrNotServing = errors.New("this node takes no part in the store")
	// ErrMemberNotFound means that the configuration has no such member.
	ErrMemberNotFound = errors.New("no such member")
	// ErrMemberRejected means that a join or membership change is not allowed and was not started.
	ErrMemberRejected = errors.New("not taken in")
)

// Errors of reads and writes.
var (
	// ErrNotFresh means that this node could not confirm in time, by the leader's read index, that its state
	// is as recent as the reader requires. The reader may retry on this or another node.
	ErrNotFresh = errors.New("freshness can't be proven now")
	// ErrTooManyWrites means that too many writes are uncommitted. The write was not proposed.
	ErrTooManyWrites = errors.New("too many writes are waiting")
	// ErrLeasesUnavailable means that a member runs a version without lease support.
	ErrLeasesUnavailable = errors.New("leases wait until all members know them")
	// ErrStaleToken means that the SQL mirror has recorded a higher fencing token, so that another node is
	// its writer now.
	ErrStaleToken = errors.New("the store of record knows a higher token")
)

// Errors of restoring and recovering.
var (
	// ErrNotEmpty rejects a restore into a store that has keys.
	ErrNotEmpty = errors.New("a backup is put back into an empty store only")
	// ErrNotConfirmed means that a recovery was not confirmed with the cluster's ID.
	ErrNotConfirmed = errors.New("not confirmed")

	errRestoreSuperseded = errors.New("another restore has taken its place")
)

// Reasons for which a running incarnation ends, besides the end of the Store's context. An incarnation
// also ends, with another error, if it can't start: the folder can't be read or closed, the Raft
// address is in use, or the cluster can't be bootstrapped (errStartRaft and others).
var (
	// errDiskFailed means that the storage became read-only, or that Raft failed to read or write it.
	errDiskFailed = errors.New("disk")
	// errRemoved means that a later configuration does not include this disk.
	errRemoved = errors.New("the others have removed this disk from the members")
	// errDiverged means that applying the log resulted in another state than on most other voters. The log
	// may be identical to theirs by now, so that it does not prove the state correct. The whole folder is
	// abandoned.
	errDiverged = errors.New("the state differs from that of most other nodes")
	// errClusterReplaced means that another cluster was recovered from this node's cluster.
	errClusterReplaced = errors.New("the cluster was recovered as another")
	// errNoCluster means that this node requested to join a cluster, but no initial member knows of one, so
	// that the node has to bootstrap the cluster itself.
	errNoCluster = errors.New("there is no cluster to join, and all founders are new")
)

// endReason classifies the error that ended an incarnation. It is logged as a field.
type endReason int

const (
	endStartFailed endReason = iota // the incarnation failed to start, even if by a disk failure, or its folder could not be closed
	endDiskFailed
	endRemoved
	endDiverged
	endClusterReplaced
	endNoCluster
)

func (r endReason) String() string {
	return [...]string{"start_failed", "disk", "removed", "diverged", "cluster_replaced", "no_cluster"}[r]
}

// endReasonOf returns the class of an error that ended an incarnation.
func endReasonOf(err error) endReason {
	switch {
	case errors.Is(err, errDiskFailed):
		return endDiskFailed
	case errors.Is(err, errRemoved):
		return endRemoved
	case errors.Is(err, errDiverged):
		return endDiverged
	case errors.Is(err, errClusterReplaced):
		return endClusterReplaced
	case errors.Is(err, errNoCluster):
		return endNoCluster
	}
	return endStartFailed
}

// Errors between nodes.
var (
	errWrongMember = errors.New("another is meant")
	errHandshake   = errors.New("greeting can't be read")
	errStaleTerm   = errors.New("request is for a term that this node has left")
)
