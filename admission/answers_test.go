package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	r := newTestController(t, nil)
	r.fillCores()
	r.handleAfter(0, newArrival(1, 1))
	answered := map[uint32]time.Duration{}
	start := r.now
	for r.now < start+2*time.Second { // the runs hang: the only events are timers
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
			t.Errorf("request %d: answered = %v after %v, want an answer within 2s", id, ok, at)
		}
	}
	if answered[1] >= 950*ms {
		t.Errorf("queued request rejected after %v, want before its latency objective", answered[1])
	}
	if r.controller.healthy {
		t.Error("server is healthy although no run completes")
	}
}

// TestRejectionIsImmediateWithRetryAfter: a request that is not admitted is rejected with
// RetryAfter in the same call of Handle. A queued request is rejected as soon as it can't meet its
// latency objective, long before its deadline.
func TestRejectionIsImmediateWithRetryAfter(t *testing.T) {
	r := newTestController(t, nil)
	r.fillCores()
	r.controller.estimator.episode = 2 // RetryAfter uses the measured μ from the second episode on
	got := r.handleAfter(ms, newArrival(1, 0))
	require.Len(t, got, 1)
	rejected, ok := got[0].(Reject)
	require.True(t, ok, "%#v", got)
	require.Positive(t, rejected.RetryAfter)
	require.LessOrEqual(t, rejected.RetryAfter, r.controller.settings.MaxRetryAfter)

	r = newTestController(t, nil)
	for i := range uint32(r.controller.concurrencyLimit + 1) { // one more than the concurrency limit
		r.handleAfter(0, newArrival(i+1, 1))
	}
	queued := r.controller.requests[len(r.controller.requests)-1]
	require.Equal(t, phaseQueued, queued.phase)
	r.controller.estimator.episode = 2
	for at := time.Duration(0); r.controller.byID[queued.id] != nil; at += 4 * ms {
		require.Less(t, at, queued.objective-queued.arrivedAt, "request is queued past its latency objective")
		for _, a := range r.handleAfter(4*ms, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 1}}) {
			if a, ok := a.(Reject); ok && a.ID == queued.id {
				require.Positive(t, a.RetryAfter)
				return
			}
		}
	}
	t.Fatal("the queued request was removed without a rejection")
}

// TestRequestPastDeadlineNeverRuns: a request that is read after its deadline is rejected, even by
// an idle server. If it ran, it would be executed and then failed at once.
func TestRequestPastDeadlineNeverRuns(t *testing.T) {
	r := newTestController(t, nil)
	a := newArrival(1, 1)
	a.Timeout, a.Age = 0, 3*time.Second // the deadline of the class is 2 s
	got := r.handleAfter(0, a)
	require.Len(t, got, 1)
	require.IsType(t, Reject{}, got[0])
}
