package admission

import (
	"testing"
	"time"
)

func TestDrain(t *testing.T) {
	r := newTestController(t, nil)
	r.fillCores()
	r.wantActions(r.handleAfter(0, Drain{StopIn: 1500 * ms}), SetHealth{Healthy: false, Cached: true})
	late := newArrival(1, 1)
	late.Age = 0
	got := r.handleAfter(1100*ms, late)
	r.wantActions(got[len(got)-1:], Reject{ID: 1, RetryAfter: time.Second, Reason: RejectDrainGraceOver})
	got = r.handleAfter(365*ms, TimerFired{TimerID: r.controller.timerID}) // 35 ms before the stop
	if countActions[Fail](got) != 2 {
		t.Errorf("35 ms before the stop: actions %v, want both runs failed", got)
	}
}

func TestNothingStartsThatCannotEndBeforeStop(t *testing.T) {
	r := newTestController(t, nil)
	r.handleAfter(0, Drain{StopIn: 500 * ms})
	r.wantActions(r.handleAfter(498*ms, newArrival(1, 1)), Reject{ID: 1, RetryAfter: time.Second, Reason: RejectLateInDrain})
	r = newTestController(t, enableDeduplication)
	r.handleAfter(0, newArrival(1, 1), Drain{StopIn: 500 * ms})
	duplicate := newArrival(2, 1)
	duplicate.DuplicateOf = 1
	r.wantActions(r.handleAfter(498*ms, duplicate), Fail{1}, Fail{2}) // the duplicate fails with its original
}
