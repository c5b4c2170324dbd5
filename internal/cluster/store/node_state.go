package store

// nodeState is what a node does now, as GET /status names it.
//
//	waiting --[the disk may take part]--> joining --[in the configuration]--> serving
//	waiting --[the disk is a member's]--> serving
//	serving --[the latest configuration in its log lacks the disk]--> joining
//	joining, serving --[the incarnation ends]--> waiting
//
// A removed member thus is joining until supervise has ended its incarnation.
type nodeState int

const (
	nodeWaiting nodeState = iota // no Raft: for the disk, or for the other nodes
	nodeJoining                  // Raft runs, and this disk is no member yet
	nodeServing                  // Raft runs, and this disk is a member
)

func (n nodeState) String() string { return [...]string{"Waiting", "Joining", "Serving"}[n] }

// nodeStateOf is the state of a node. raftRunning: it has an incarnation with Raft; member: the
// latest configuration in its log has this disk.
func nodeStateOf(raftRunning, member bool) nodeState {
	switch {
	case !raftRunning:
		return nodeWaiting
	case !member:
		return nodeJoining
	}
	return nodeServing
}

// What a node reports to its peers as storeapi.PeerStatus.State. A joining node counts as serving: it
// replicates the log already.
const (
	peerServing = "serving"
	peerWaiting = "waiting"
)

// peerState is the state as it is reported to peers.
func (n nodeState) peerState() string {
	if n == nodeWaiting {
		return peerWaiting
	}
	return peerServing
}
