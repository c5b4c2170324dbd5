package admission

import (
	"testing"
)

func TestFailingClassLosesWeight(t *testing.T) {
	r := newTestController(t, enableCalls)
	for i := uint32(1); i <= 30; i++ {
		r.handleAfter(ms, newArrival(i, 0))
		r.handleAfter(ms, CallNeeded{i})
		r.handleAfter(ms, CallCompleted{ID: i, Outcome: OutcomeResourceExhausted})
		r.handleAfter(ms, Completed{ID: i, Outcome: OutcomeCanceled})
	}
	if got := r.controller.runTimes.successFraction[0]; got > 0.4 || got < minSuccessFraction {
		t.Errorf("success fraction %v of a class whose runs all fail, want at least minSuccessFraction and at most 0.4", got)
	}
}
