package admission

import (
	"testing"
)

func TestFailingClassLosesWeight(t *testing.T) {
	r := newDriver(t, callSettings)
	for i := uint32(1); i <= 30; i++ {
		r.at(ms, arrival(i, 0))
		r.at(ms, CallNeeded{i})
		r.at(ms, CallCompleted{ID: i, Outcome: OutcomeResourceExhausted})
		r.at(ms, Completed{ID: i, Outcome: OutcomeCanceled})
	}
	if got := r.controller.runTimes.success[0]; got > 0.4 || got < minSuccessFraction {
		t.Errorf("success of a class that always fails %v", got)
	}
}
