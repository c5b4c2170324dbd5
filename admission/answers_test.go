package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	r := newDriver(t, nil)
	r.fillCores()
	r.handleAfter(0, newArrival(1, 1))
	answered := map[uint32]time.Duration{}
	start := r.now
	for r.now < start+2*time.Second { // the work hangs: only timers come
		for _, a := range r.handleAfter(2*ms, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 2}}) {
			switch a := a.(type) {
			case Fail:
				answered[a.ID] = r.now - start
			case Reject:
				answered[a.ID] = r.now - start
			}
		}
	}
	for _, id := range []uint32{901, 902, 1} {
		if at, ok := answered[id]; !ok || at > 2*time.Second {
			t.Errorf("request %d answered %v after %v", id, ok, at)
		}
	}
	if answered[1] >= 950*ms {
		t.Errorf("queued request rejected after %v, past its objective", answered[1])
	}
	if r.controller.healthy {
		t.Error("the server calls itself healthy while nothing moves")
	}
}

// TestRejectionComesAtOnceWithRetryAfter: a request that is not admitted is rejected
// in the same call, with retry advice, and a queued one when it can't meet its
// objective, long before its deadline.
func TestRejectionComesAtOnceWithRetryAfter(t *testing.T) {
	r := newDriver(t, nil)
	r.fillCores()
	r.controller.estimator.episode = 2 // μ is measured
	got := r.handleAfter(ms, newArrival(1, 0))
	require.Len(t, got, 1)
	rejected, ok := got[0].(Reject)
	require.True(t, ok, "%#v", got)
	require.Positive(t, rejected.RetryAfter)
	require.LessOrEqual(t, rejected.RetryAfter, r.controller.settings.MaxRetryAfter)

	r = newDriver(t, nil)
	for i := range uint32(r.controller.concurrencyLimit + 1) { // one more than run
		r.handleAfter(0, newArrival(i+1, 1))
	}
	queued := r.controller.requests[len(r.controller.requests)-1]
	require.Equal(t, phaseQueued, queued.phase)
	r.controller.estimator.episode = 2
	for at := time.Duration(0); r.controller.byID[queued.id] != nil; at += 4 * ms {
		require.Less(t, at, queued.objective-queued.arrivedAt, "queued past its objective")
		for _, a := range r.handleAfter(4*ms, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 1}}) {
			if a, ok := a.(Reject); ok && a.ID == queued.id {
				require.Positive(t, a.RetryAfter)
				return
			}
		}
	}
	t.Fatal("the queued request ended without a rejection")
}

// TestRequestPastDeadlineNeverRuns: a request that is read after its deadline is rejected,
// also by an idle server. Run, it would have its effect and be failed at once.
func TestRequestPastDeadlineNeverRuns(t *testing.T) {
	r := newDriver(t, nil)
	a := newArrival(1, 1)
	a.Timeout, a.Age = 0, 3*time.Second // of two
	got := r.handleAfter(0, a)
	require.Len(t, got, 1)
	require.IsType(t, Reject{}, got[0])
}
