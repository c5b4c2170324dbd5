package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/testrig"
)

// TestTimeoutsUseOneClock guards against timeouts that compare the clocks of two nodes. A new leader whose clock is
// hours ahead of the previous one's would fail each machine that is out; with a clock that is hours behind, it would
// never revoke a grant.
func TestTimeoutsUseOneClock(t *testing.T) {
	c, _ := newTestController(t)
	fence := acquireControllerLease(t, c)
	const tenHoursMS = 10 * 3600 * 1000
	nowMS := time.Now().UnixMilli()
	behind := maintenance.Order{Machine: "m1", DurationMS: 1000, Phase: maintenance.PhaseOut, PhaseSinceMS: nowMS - tenHoursMS}
	ahead := maintenance.Order{Machine: "m2", DurationMS: 1000, Phase: maintenance.PhaseGranted, PhaseSinceMS: nowMS + tenHoursMS}
	_, err := c.store.Execute(kv.Request{Then: []kv.Op{
		putOrder(behind),
		putOrder(ahead),
		kv.Put(BudgetKey, []byte(`{"confirm_ms":50}`)),
	}})
	require.NoError(t, err)
	require.NoError(t, c.decideOnce(t.Context(), fence))
	require.Equal(t, maintenance.PhaseOut, phaseOf(t, c, "m1"))
	testrig.Await(t, "the grant to be revoked", func() bool {
		require.NoError(t, c.decideOnce(t.Context(), fence))
		return phaseOf(t, c, "m2") == maintenance.PhaseRequested
	})
	require.Equal(t, maintenance.PhaseOut, phaseOf(t, c, "m1"))
}

// phaseOf returns the phase of a machine's order in the store.
func phaseOf(t *testing.T, c *Controller, machine string) maintenance.Phase {
	order, _, err := c.readOrder(orderPrefix + machine)
	require.NoError(t, err)
	return order.Phase
}

// TestObservedOrderAges guards against wrong ages of orders. An age that restarts with each poll would prevent all
// timeouts; an age that is kept over a change of phase would end the next phase at once.
func TestObservedOrderAges(t *testing.T) {
	c := &Controller{observedOrders: map[string]observedOrder{}}
	start := time.Now()
	observe := func(after time.Duration, revision, ticket uint64) maintenance.Order {
		order := maintenance.Order{Machine: "m1", Ticket: ticket, PhaseSinceMS: 5, RequestedMS: 4}
		s := snapshot{orderRevisions: map[string]uint64{"m1": revision}}
		s.observation = maintenance.Observation{NowMS: 1_000_000, Orders: []maintenance.Order{order}}
		local := c.ordersInLocalTime(s, start.Add(after))
		require.Equal(t, order, s.observation.Orders[0], "the stored order is not modified")
		return local[0]
	}
	require.Equal(t, int64(1_000_000), observe(0, 7, 3).PhaseSinceMS)
	require.Equal(t, int64(999_000), observe(time.Second, 7, 3).PhaseSinceMS)
	next := observe(2*time.Second, 8, 3)
	require.Equal(t, int64(1_000_000), next.PhaseSinceMS, "the phase has changed")
	require.Equal(t, int64(998_000), next.RequestedMS, "the order is not a new one")
	require.Equal(t, int64(999_000), observe(3*time.Second, 7, 3).PhaseSinceMS, "a read of an older state")
	require.Equal(t, int64(1_000_000), observe(4*time.Second, 9, 9).RequestedMS, "a new order")
	c.ordersInLocalTime(snapshot{}, start)
	require.Empty(t, c.observedOrders, "observations of deleted orders are removed")
}
