package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestExcessArrivalsGetLongestRetryAfter(t *testing.T) {
	r := newTestController(t, nil)
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
		t.Errorf("rejection under overload: %+v, want DoNotRetry and the maximum RetryAfter", last)
	}
}

func TestFewRejectionsAllowRetry(t *testing.T) {
	r := newTestController(t, nil)
	r.fillCores()
	r.wantActions(r.handleAfter(ms, newArrival(1, 0)), Reject{ID: 1, Reason: RejectPolicy})
	if rate := r.controller.policy.model.arrivalRate; rate <= r.controller.serviceCapacity() {
		t.Errorf("Λ̃ %v, want above cμ: otherwise this test checks nothing", rate)
	}
}

// TestDoNotRetryOnlyWhereOthersReject: a server that rejects a third of its requests sets
// DoNotRetry only if retries from other servers arrive too. In a fleet of hundreds of servers, one
// to which many keys are routed may be full while most have free capacity.
func TestDoNotRetryOnlyWhereOthersReject(t *testing.T) {
	for name, tt := range map[string]struct {
		retries    int // number of retries among 60 requests that an idle server handles
		rejected   float64
		marked     bool
		doNotRetry bool
	}{
		"other servers have capacity": {0, 0.35, true, false},
		"other servers reject too":    {12, 0.35, true, true},
		"few rejections here":         {12, 0.1, true, false},
		"most requests are rejected":  {0, 0.6, true, true},
		"no caller marks retries":     {0, 0.35, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestController(t, func(s *Settings) { s.RetriesMarked = tt.marked })
			for i := range uint32(60) {
				a := newArrival(i+1, 1)
				a.Retry = int(i)%5 == 0 && int(i)/5 < tt.retries
				r.handleAfter(20*ms, a)
				r.handleAfter(ms, Completed{ID: a.ID, Outcome: OutcomeOK, Elapsed: ms})
			}
			r.fillCores()
			r.controller.rejectedFraction = tt.rejected
			got := r.handleAfter(ms, newArrival(99, 0))
			require.Len(t, got, 1)
			require.IsType(t, Reject{}, got[0])
			require.Equal(t, tt.doNotRetry, got[0].(Reject).DoNotRetry)
		})
	}
}
