package storeadmin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/maintenance/controller"
	"oxbowbridge/internal/testrig"
)

// testNode is a store node in the test process, with its maintenance controller.
type testNode struct {
	store      *store.Store
	controller *controller.Controller
}

// openTestNode starts a node with an empty data directory.
func openTestNode(t *testing.T, cfg store.Config) testNode {
	cfg.Dir = t.TempDir()
	node, maintenanceController, err := Open(cfg, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(node.Close)
	return testNode{node, maintenanceController}
}

// openTwoNodes starts a store of two nodes, and returns the leader and the follower.
func openTwoNodes(t *testing.T) (leader, follower testNode) {
	var peers []store.Peer
	for i := range 2 {
		peers = append(peers, store.Peer{Name: fmt.Sprint("s", i), Raft: testrig.FreeAddr(t), Admin: testrig.FreeAddr(t)})
	}
	var nodes []testNode
	for _, peer := range peers {
		nodes = append(nodes, openTestNode(t, store.Config{Node: peer.Name, Peers: peers}))
	}
	testrig.Await(t, "a leader that both nodes know", func() bool {
		_, _, first := nodes[0].store.Leader()
		_, _, second := nodes[1].store.Leader()
		return first && second && nodes[0].store.IsLeader() != nodes[1].store.IsLeader()
	})
	if nodes[0].store.IsLeader() {
		return nodes[0], nodes[1]
	}
	return nodes[1], nodes[0]
}

// awaitStatus returns the maintenance status, which the leader provides once all members support leases.
func awaitStatus(t *testing.T, leader testNode) (status maintenance.Status) {
	testrig.Await(t, "the maintenance status", func() (ok bool) {
		var err error
		status, err = leader.controller.Status(t.Context())
		return err == nil
	})
	return status
}

// TestFencedWriteOnFollower guards against a follower that reports a lost lease as a general error: the lease's former
// holder would continue to act under it.
func TestFencedWriteOnFollower(t *testing.T) {
	leader, follower := openTwoNodes(t)
	lost := kv.Request{Fences: []lease.FencingToken{{Name: controller.ControllerLease, Token: 99}}}
	for _, node := range []testNode{leader, follower} {
		_, err := node.store.ExecuteOrForward(t.Context(), lost)
		assert.ErrorIs(t, err, kv.ErrFenced, node.store.Name())
	}
}

// TestComparisonOnFollower guards against a follower that does not return a failed comparison: the write would be taken
// as successful.
func TestComparisonOnFollower(t *testing.T) {
	leader, follower := openTwoNodes(t)
	for _, node := range []testNode{leader, follower} {
		changed := kv.Request{If: []kv.Compare{{Key: "a", Revision: 99}}, Then: []kv.Op{kv.Put("a", []byte("1"))}}
		response, err := node.store.ExecuteOrForward(t.Context(), changed)
		require.NoError(t, err)
		assert.False(t, response.Succeeded, node.store.Name())
		unchanged := kv.Request{If: []kv.Compare{{Key: node.store.Name()}}, Then: []kv.Op{kv.Put(node.store.Name(), []byte("1"))}}
		response, err = node.store.ExecuteOrForward(t.Context(), unchanged)
		require.NoError(t, err)
		assert.True(t, response.Succeeded, node.store.Name())
	}
}

// TestControllerEndsWithItsLease guards against a controller on a follower that continues after it has lost its lease:
// it would keep the controller task from moving to another node, and log changes that are never written.
func TestControllerEndsWithItsLease(t *testing.T) {
	leader, follower := openTwoNodes(t)
	// The latest start has passed, so the controller has to write that the order expired.
	order := maintenance.Order{Machine: "m1", DurationMS: 1000, LatestStartMS: 1}
	_, err := leader.controller.Submit(t.Context(), order)
	require.NoError(t, err)
	for _, node := range []testNode{leader, follower} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		err := node.controller.Run(ctx, lease.FencingToken{Name: controller.ControllerLease, Token: 99})
		cancel()
		assert.ErrorIs(t, err, kv.ErrFenced, node.store.Name())
	}
}
