package controller

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/testrig"
)

// phaseChanged is the log message by which operators and their tools recognize a change of phase.
const phaseChanged = "maintenance order changes phase"

// newTestController returns the controller of a single-node store whose node is the leader, and the controller's log.
func newTestController(t *testing.T) (*Controller, *observer.ObservedLogs) {
	peer := store.Peer{Name: "s0", Raft: testrig.FreeAddr(t), Admin: testrig.FreeAddr(t)}
	node, err := store.New(store.Config{Node: peer.Name, Dir: t.TempDir(), Peers: []store.Peer{peer}}, zap.NewNop())
	require.NoError(t, err)
	core, logs := observer.New(zap.InfoLevel)
	c := New(node, zap.New(core))
	node.OnClose(c.Close)
	require.NoError(t, node.Start())
	t.Cleanup(node.Close)
	testrig.Await(t, "a leader", node.IsLeader)
	return c, logs
}

// acquireControllerLease acquires the controller's lease, and returns its fencing token.
func acquireControllerLease(t *testing.T, c *Controller) lease.FencingToken {
	var token uint64
	testrig.Await(t, "the controller's lease", func() bool {
		l, err := c.store.AcquireLease(t.Context(), store.LeaseRequest{Name: ControllerLease, Holder: "test", TTLMS: 60_000})
		token = l.Token
		return err == nil
	})
	return lease.FencingToken{Name: ControllerLease, Token: token}
}

// submitExpired submits an order whose latest start has already passed.
func submitExpired(t *testing.T, c *Controller, machine string) {
	_, err := c.Submit(t.Context(), maintenance.Order{Machine: machine, DurationMS: 1000, LatestStartMS: 1})
	require.NoError(t, err)
}

// decide returns the controller's current decision, and the snapshot that it is based on.
func decide(t *testing.T, c *Controller) (maintenance.Decision, snapshot) {
	s, err := c.readSnapshot(t.Context())
	require.NoError(t, err)
	return s.decide(), s
}

// TestRefusedDecisionIsLogged guards against a decision that the store rejects because an order has changed, without a
// line in the log.
func TestRefusedDecisionIsLogged(t *testing.T) {
	c, logs := newTestController(t)
	fence := acquireControllerLease(t, c)
	submitExpired(t, c, "m1")
	decision, s := decide(t, c)
	require.Len(t, decision.Transitions, 1)
	require.NoError(t, c.Cancel(t.Context(), "m1"))
	require.NoError(t, c.writeDecision(t.Context(), decision, s, fence))
	require.Equal(t, 1, logs.FilterMessageSnippet("maintenance decision rejected").Len())
	require.Zero(t, logs.FilterMessage(phaseChanged).Len(), "the phase has not changed")
	_, found, err := c.readOrder(orderPrefix + "m1")
	require.NoError(t, err)
	require.Zero(t, found, "the order stays cancelled")
}

// TestLostLeaseLogsNoChange guards against log lines for changes that were not written because the lease was lost.
func TestLostLeaseLogsNoChange(t *testing.T) {
	c, logs := newTestController(t)
	submitExpired(t, c, "m1")
	lost := lease.FencingToken{Name: ControllerLease, Token: 99}
	require.ErrorIs(t, c.decideOnce(t.Context(), lost), kv.ErrFenced)
	require.Zero(t, logs.FilterMessage(phaseChanged).Len(), "the phase has not changed")
	fence := acquireControllerLease(t, c)
	require.NoError(t, c.decideOnce(t.Context(), fence))
	require.Equal(t, 1, logs.FilterMessage(phaseChanged).Len(), "the phase has changed")
}

// TestUnknownOutcomeNamesMachines guards against an error without the changed machines. If the response to the write is
// lost, the error is the only line in the log about a change that may have been written.
func TestUnknownOutcomeNamesMachines(t *testing.T) {
	c, logs := newTestController(t)
	fence := acquireControllerLease(t, c)
	submitExpired(t, c, "m1")
	decision, s := decide(t, c)
	c.store.Close()
	require.ErrorContains(t, c.writeDecision(t.Context(), decision, s, fence), "m1 to too-late")
	require.Zero(t, logs.FilterMessage(phaseChanged).Len())
}
