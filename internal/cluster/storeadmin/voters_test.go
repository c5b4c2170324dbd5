package storeadmin

import (
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/testrig"
)

// TestLearnerIsNoVoter guards against counting a learner's machine as a voter: a voter could then be taken out although
// no spare voter stays in service.
func TestLearnerIsNoVoter(t *testing.T) {
	leader, follower := openTwoNodes(t)
	self := &store.Peer{Raft: testrig.FreeAddr(t), Admin: testrig.FreeAddr(t)}
	peers := []store.Peer{peerOf(t, leader), peerOf(t, follower)}
	learner := openTestNode(t, store.Config{Node: "s2", Self: self, Peers: peers})
	testrig.Await(t, "a learner", func() bool {
		members, err := leader.store.Members(t.Context())
		return err == nil && len(members.Members) == 3
	})
	voters := map[string]bool{}
	for i, node := range []testNode{leader, follower, learner} {
		heartbeat := maintenance.Heartbeat{IntervalMS: 1000, Sequence: uint64(i + 1)}
		heartbeat.Name = node.store.Name()
		heartbeat.IsVoter = true // agents of the previous version report true for each node
		_, err := leader.controller.RecordHeartbeat(t.Context(), heartbeat)
		require.NoError(t, err)
		voters[heartbeat.Name] = node != learner
	}
	counted := map[string]bool{}
	for _, machine := range awaitStatus(t, leader).Machines {
		counted[machine.Name] = machine.IsVoter
	}
	require.Equal(t, voters, counted)
}

// peerOf returns a node's name and addresses as an entry of a peer configuration.
func peerOf(t *testing.T, node testNode) store.Peer {
	report, err := node.store.PeerStatus("")
	require.NoError(t, err)
	return store.Peer{Name: node.store.Name(), Raft: report.RaftAddress, Admin: report.AdminAddress}
}
