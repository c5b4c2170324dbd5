package admission

import (
	"testing"
	"time"
)

func TestAdmissionFollowsPolicy(t *testing.T) {
	r := newDriver(t, nil)
	r.fillCores()
	// The first episode takes Λmax and all arrivals to be of the high weight: the low one is rejected.
	got := r.handleAfter(0, newArrival(1, 0))
	if countActions[Reject](got) != 1 {
		t.Errorf("request of low weight with c reached: %v, want a rejection", got)
	}
	s := r.controller.occupancy()
	if r.controller.policy.threshold(1) <= s {
		t.Fatalf("the policy rejects the class of high weight in state %d", s)
	}
	r.wantActions(r.handleAfter(0, newArrival(2, 1)))
	// Held work starts, oldest first, once a core is free.
	r.wantActions(r.handleAfter(ms, Completed{ID: 901, Elapsed: ms, Outcome: OutcomeOK}), Run{2})
}

func TestAdmissionMatchesRewardAndBias(t *testing.T) {
	r := newDriver(t, nil)
	r.fillCores()
	for i := uint32(0); i < 60; i++ {
		s := r.controller.occupancy()
		probe := &request{class: 1, weightFraction: 1, objective: r.now + 950*ms, deadline: r.now + 2*time.Second}
		reward := r.controller.reward(probe, s)
		admit := s < len(r.controller.policy.bias) && reward >= r.controller.policy.bias[s] && reward >= 0
		got := r.handleAfter(0, newArrival(10+i, 1))
		if rejected := countActions[Reject](got) == 1; rejected == admit {
			t.Fatalf("state %d: rejected %v, r ≥ ∇h %v", s, rejected, admit)
		}
		if !admit {
			return
		}
	}
	t.Error("the class of high weight was never rejected")
}

func TestLateRequestIsRejectedOnFreeCores(t *testing.T) {
	late := newArrival(1, 1)
	late.Age = 900 * ms // of an objective of a second
	for name, tt := range map[string]struct {
		rejected float64 // fraction of what was read
		busy     bool
		want     Action
	}{
		"while a fifth is rejected":                 {0.3, true, Reject{ID: 1, DoNotRetry: true, Reason: RejectLateOverloaded}},
		"not where nothing is rejected":             {0, true, Run{1}},
		"not by an idle server, which has to learn": {0.3, false, Run{1}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newDriver(t, nil)
			if tt.busy {
				r.wantActions(r.handleAfter(0, newArrival(2, 1)), Run{2})
			}
			r.controller.rejectedFraction = tt.rejected
			r.wantActions(r.handleAfter(0, late), tt.want)
		})
	}
}
