package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestExcessArrivalsGetLongestRetryAfter(t *testing.T) {
	r := newDriver(t, nil)
	r.fillCores()
	var last Reject
	for i := uint32(1); i < 2000; i++ {
		a := newArrival(i, 0)
		a.Age = 100 * ms
		events := []Event{a}
		if i%125 == 0 {
			events = append(events, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 2}})
		}
		for _, a := range r.handleAfter(2*ms, events...) {
			if a, ok := a.(Reject); ok {
				last = a
			}
		}
	}
	if !last.DoNotRetry || last.RetryAfter != time.Second {
		t.Errorf("rejection in a surge: %+v, want DoNotRetry and the longest RetryAfter", last)
	}
}

func TestFewRejectionsAllowRetry(t *testing.T) {
	r := newDriver(t, nil)
	r.fillCores()
	r.wantActions(r.handleAfter(ms, newArrival(1, 0)), Reject{ID: 1, Reason: RejectPolicy})
	if lambda := r.controller.policy.model.arrivalRate; lambda <= r.controller.serviceCapacity() {
		t.Errorf("Λ̃ %v under cμ: the test shows nothing", lambda)
	}
}

// TestDoNotRetryOnlyWhereOthersReject: a server that rejects a third of what it reads asks
// callers not to retry elsewhere only if retries come in too: in a fleet of
// hundreds, one that many keys lead to is full while most have capacity.
func TestDoNotRetryOnlyWhereOthersReject(t *testing.T) {
	for name, k := range map[string]struct {
		retries    int // in 60 requests that find it idle
		rejected   float64
		marked     bool
		doNotRetry bool
	}{
		"others have capacity":       {0, 0.35, true, false},
		"others reject too":          {12, 0.35, true, true},
		"few rejections here":        {12, 0.1, true, false},
		"most is rejected, all over": {0, 0.6, true, true},
		"no caller marks retries":    {0, 0.35, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newDriver(t, func(s *Settings) { s.RetriesMarked = k.marked })
			for i := range uint32(60) {
				a := newArrival(i+1, 1)
				a.Retry = int(i)%5 == 0 && int(i)/5 < k.retries
				r.handleAfter(20*ms, a)
				r.handleAfter(ms, Completed{ID: a.ID, Outcome: OutcomeOK, Elapsed: ms})
			}
			r.fillCores()
			r.controller.rejectedFraction = k.rejected
			got := r.handleAfter(ms, newArrival(99, 0))
			require.Len(t, got, 1)
			require.IsType(t, Reject{}, got[0])
			require.Equal(t, k.doNotRetry, got[0].(Reject).DoNotRetry)
		})
	}
}
