package admission

import (
	"testing"
	"time"
)

func TestCanceledRunIsStoppedWherePossible(t *testing.T) {
	for preemption, want := range map[Preemption]int{PreemptionNone: 0, PreemptionDrop: 1, PreemptionPause: 1} {
		r := newTestController(t, func(s *Settings) { s.Preemption = preemption })
		r.handleAfter(0, newArrival(1, 0))
		if got := countActions[Preempt](r.handleAfter(ms, Canceled{1})); got != want {
			t.Errorf("preemption %v: %d Preempt actions, want %d", preemption, got, want)
		}
		r.wantActions(r.handleAfter(ms, Completed{ID: 1, Outcome: OutcomeCanceled}))
		if len(r.controller.requests) != 0 {
			t.Errorf("preemption %v: the request was not removed", preemption)
		}
	}
}

func TestLongRunIsPreempted(t *testing.T) {
	for name, tt := range map[string]struct {
		change    func(*Settings)
		ran       time.Duration
		preempted bool
	}{
		"long":             {func(s *Settings) {}, 1500 * ms, true},
		"short":            {func(s *Settings) {}, 200 * ms, false},
		"weight per work":  {func(s *Settings) { s.WeightPerWork = true }, 1500 * ms, false},
		"can't be paused":  {func(s *Settings) { s.Preemption = PreemptionDrop }, 1500 * ms, false},
		"can't be stopped": {func(s *Settings) { s.Preemption = PreemptionNone }, 1500 * ms, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestController(t, func(s *Settings) { s.Preemption = PreemptionPause; tt.change(s) })
			r.fillCores()
			got := r.handleAfter(tt.ran, newArrival(1, 0))
			if !tt.preempted {
				if countActions[Preempt](got) != 0 {
					t.Fatalf("actions %v, want no Preempt", got)
				}
				return
			}
			r.wantActions(got, Preempt{901})
			r.wantActions(r.handleAfter(2*ms, Completed{ID: 901, Outcome: OutcomeCanceled}), Run{1})
			if want := 10 * 4 * 3.0; r.controller.requestsKB != want {
				t.Errorf("%v kB in use, want %v: a paused run keeps its memory", r.controller.requestsKB, want)
			}
			r.wantActions(r.handleAfter(2*ms, Completed{ID: 1, Outcome: OutcomeOK}), Run{901})
			r.wantActions(r.handleAfter(2*ms, Completed{ID: 901, Outcome: OutcomeOK}))
		})
	}
	r := newTestController(t, func(s *Settings) { s.Preemption = PreemptionPause }) // the run ends before it can be paused
	r.fillCores()
	r.wantActions(r.handleAfter(1500*ms, newArrival(1, 0)), Preempt{901})
	r.wantActions(r.handleAfter(0, Completed{ID: 901, Outcome: OutcomeOK}), Run{1})
}
