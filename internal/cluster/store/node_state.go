package store

// nodeState is a node's state as shown by GET /status.
//
//	waiting --[the verdict allows the disk to take part]--> joining --[in the configuration]--> serving
//	waiting --[the disk belongs to a member]--> serving
//	serving --[the latest configuration in its log lacks the disk]--> joining
//	joining, serving --[the incarnation ends]--> waiting
//
// A removed member is therefore joining until supervise has ended its incarnation.
type nodeState int

const (
	nodeWaiting nodeState = iota // Raft does not run: the node waits for its disk or for other nodes
	nodeJoining                  // Raft runs, and this disk is not a member yet
	nodeServing                  // Raft runs, and this disk is a member
)

func (n nodeState) String() string { return [...]string{"Waiting", "Joining", "Serving"}[n] }

// nodeStateOf returns a node's state. raftRunning reports whether it has an incarnation with Raft, and
// member whether the latest configuration in its log includes this disk.
func nodeStateOf(raftRunning, member bool) nodeState {
	switch {
	case !raftRunning:
		return nodeWaiting
	case !member:
		return nodeJoining
	}
	return nodeServing
}

// Values of storeapi.PeerStatus.State, which a node reports to its peers. A joining node reports serving,
// because it already replicates the log.
const (
	peerServing = "serving"
	peerWaiting = "waiting"
)

// peerState returns the state as reported to peers.
func (n nodeState) peerState() string {
	if n == nodeWaiting {
		return peerWaiting
	}
	return peerServing
}
