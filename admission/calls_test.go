package admission

import (
	"testing"
	"time"
)

func enableCalls(s *Settings) {
	s.Dependency = DependencyNextTier
	s.Classes[0].MakesCalls, s.Classes[1].MakesCalls = true, true
	s.Classes[1].ExecutionSemantics = AtMostOnce
}

func TestCallOutcomes(t *testing.T) {
	tests := []struct {
		name     string
		class    int
		outcome  Outcome
		degraded float64  // fraction of the weight that a degraded answer earns
		want     []Action // none: the run goes on
	}{
		{"ok", 0, OutcomeOK, 0, nil},
		{"a rejection", 0, OutcomeResourceExhausted, 0, []Action{Fail{1}}},
		{"a rejection is skipped where a degraded answer earns something", 0, OutcomeResourceExhausted, 0.5, []Action{Degrade{1}}},
		{"unavailable", 1, OutcomeUnavailable, 0, []Action{Fail{1}}},
		{"idempotent call that may have run", 0, OutcomeDeadlineExceeded, 0, []Action{Fail{1}}},
		{"at-most-once call that may have run", 1, OutcomeDeadlineExceeded, 0, []Action{Fail{1}}},
		{"at-most-once call that failed", 1, OutcomeInternal, 0, []Action{Fail{1}}},
		{"at-most-once call that was aborted", 1, OutcomeAborted, 0.5, []Action{Degrade{1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newDriver(t, func(s *Settings) { enableCalls(s); s.Classes[tt.class].DegradedFraction = tt.degraded })
			r.handleAfter(0, newArrival(1, tt.class))
			r.wantActions(r.handleAfter(ms, CallNeeded{1}), StartCall{1, r.now + 2*time.Second - 5*ms})
			r.wantActions(r.handleAfter(ms, CallCompleted{ID: 1, Outcome: tt.outcome}), tt.want...)
		})
	}
}

func TestSharedCallsStayBelowQuota(t *testing.T) {
	for _, quota := range []float64{0.4, 1, 2.5} {
		r := newDriver(t, func(s *Settings) { enableCalls(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, quota, 8 })
		inFlight, sum := 0, 0.0
		lingers := []time.Duration{}
		next, live, called := uint32(1), []uint32{}, map[uint32]time.Duration{}
		const steps = 5000
		for i := 0; i < steps; i++ {
			var events []Event
			if i%20 == 0 {
				events = append(events, Arrival{ID: next, Class: 0, Timeout: 900 * ms, MemoryKB: 1})
				next++
			}
			for _, id := range live {
				events = append(events, CallNeeded{id})
			}
			live = live[:0]
			for _, q := range r.controller.requests { // calls are abandoned when they expire
				if q.phase == phaseInCall && r.now >= called[q.id]+400*ms {
					events = append(events, CallCompleted{ID: q.id, Outcome: OutcomeDeadlineExceeded})
					inFlight--
					lingers = append(lingers, r.now+200*ms)
				}
			}
			events = append(events, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 0.5}})
			for _, a := range r.handleAfter(2*ms, events...) {
				switch a := a.(type) {
				case Run:
					live = append(live, a.ID)
				case StartCall:
					inFlight++
					called[a.ID] = r.now
				}
			}
			for len(lingers) > 0 && lingers[0] <= r.now {
				lingers = lingers[1:]
			}
			sum += float64(inFlight + len(lingers))
		}
		if mean := sum / steps; mean > quota || mean == 0 {
			t.Errorf("quota %v: mean of calls in flight %v", quota, mean)
		}
	}
}

// completeCalls plays calls to the dependency that each take so long.
func (r *driver) completeCalls(calls int, took time.Duration) {
	r.t.Helper()
	for i := range calls {
		id := uint32(10000 + i)
		r.handleAfter(ms, newArrival(id, 1))
		r.handleAfter(ms, CallNeeded{id})
		r.handleAfter(ms, CallCompleted{ID: id, Elapsed: took, Outcome: OutcomeOK})
		r.handleAfter(ms, Completed{ID: id, Elapsed: took, Outcome: OutcomeOK})
	}
}

func TestSlowDependencyGetsFewerCalls(t *testing.T) {
	startedCalls := func(r *driver) (n int) {
		var events []Event
		for id := uint32(1); id <= 8; id++ {
			r.handleAfter(0, newArrival(id, 1))
			events = append(events, CallNeeded{id})
		}
		return countActions[StartCall](r.handleAfter(ms, events...))
	}
	settings := func(s *Settings) { enableCalls(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, 6, 8 }
	for _, tt := range []struct {
		name  string
		slow  int
		quick int
		want  int
	}{{"the quota at first", 0, 0, 6}, {"fewer where calls take long", 12, 0, 3}, {"never none", 100, 0, 1},
		{"more again, at most the quota", 100, 100, 6}} {
		r := newDriver(t, settings)
		r.completeCalls(tt.slow, 300*ms)
		r.completeCalls(tt.quick, 20*ms)
		if got := startedCalls(r); got != tt.want {
			t.Errorf("%s: %d calls in flight, want %d", tt.name, got, tt.want)
		}
	}
}

func TestLateRequestIsRejectedWhileCallsQueue(t *testing.T) {
	for _, quota := range []float64{1, 6} {
		r := newDriver(t, func(s *Settings) { enableCalls(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, quota, 8 })
		for i := range r.controller.runTimes.meanRunSeconds {
			r.controller.runTimes.meanRunSeconds[i] = 2 // what starts now is late
		}
		var events []Event
		for id := uint32(1); id <= 4; id++ {
			r.wantActions(r.handleAfter(0, newArrival(id, 1)), Run{id}) // idle: it takes late ones, to learn
			events = append(events, CallNeeded{id})
		}
		r.handleAfter(ms, events...)
		got := r.handleAfter(ms, newArrival(9, 1))
		if quota == 1 && countActions[Reject](got) != 1 || quota == 6 && countActions[Run](got) != 1 {
			t.Errorf("quota %v, three wait for one call: %#v", quota, got)
		}
	}
}
