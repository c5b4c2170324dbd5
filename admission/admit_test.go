package admission

import (
	"testing"
	"time"
)

func TestAdmissionFollowsPolicy(t *testing.T) {
	r := newTestController(t, nil)
	r.fillCores()
	// The first episode assumes the arrival rate Λmax and, optimistically, only high-weight arrivals.
	// The policy therefore rejects low-weight requests.
	got := r.handleAfter(0, newArrival(1, 0))
	if countActions[Reject](got) != 1 {
		t.Errorf("low-weight request at the concurrency limit: actions %v, want one rejection", got)
	}
	s := r.controller.occupancy()
	if r.controller.policy.threshold(1) <= s {
		t.Fatalf("the policy rejects the high-weight class in state %d, want it admitted", s)
	}
	r.wantActions(r.handleAfter(0, newArrival(2, 1)))
	// Queued requests start in arrival order as soon as a core is free.
	r.wantActions(r.handleAfter(ms, Completed{ID: 901, Elapsed: ms, Outcome: OutcomeOK}), Run{2})
}

func TestAdmissionMatchesRewardAndBias(t *testing.T) {
	r := newTestController(t, nil)
	r.fillCores()
	for i := uint32(0); i < 60; i++ {
		s := r.controller.occupancy()
		candidate := &request{class: 1, weightFraction: 1, objective: r.now + 950*ms, deadline: r.now + 2*time.Second}
		reward := r.controller.reward(candidate, s)
		admit := s < len(r.controller.policy.bias) && reward >= r.controller.policy.bias[s] && reward >= 0
		got := r.handleAfter(0, newArrival(10+i, 1))
		if rejected := countActions[Reject](got) == 1; rejected == admit {
			t.Fatalf("state %d: request rejected = %v, but r ≥ ∇h = %v", s, rejected, admit)
		}
		if !admit {
			return
		}
	}
	t.Error("the high-weight class was not rejected in any of 60 states")
}

func TestLateRequestIsRejectedOnFreeCores(t *testing.T) {
	late := newArrival(1, 1)
	late.Age = 900 * ms // the latency objective is 1 s
	for name, tt := range map[string]struct {
		rejected float64 // recent fraction of rejected requests
		busy     bool
		want     Action
	}{
		"rejected while more than a fifth is rejected":   {0.3, true, Reject{ID: 1, DoNotRetry: true, Reason: RejectLateOverloaded}},
		"admitted while nothing is rejected":             {0, true, Run{1}},
		"admitted by an idle server to sample run times": {0.3, false, Run{1}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestController(t, nil)
			if tt.busy {
				r.wantActions(r.handleAfter(0, newArrival(2, 1)), Run{2})
			}
			r.controller.rejectedFraction = tt.rejected
			r.wantActions(r.handleAfter(0, late), tt.want)
		})
	}
}
