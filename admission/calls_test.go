package admission

import (
	"testing"
	"time"
)

// enableCalls configures classes that call the next tier; class 1 is executed at most once.
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
		degraded float64  // DegradedFraction of the class
		want     []Action // none: the run continues
	}{
		{"ok", 0, OutcomeOK, 0, nil},
		{"rejected call", 0, OutcomeResourceExhausted, 0, []Action{Fail{1}}},
		{"rejected call of a class with degraded responses", 0, OutcomeResourceExhausted, 0.5, []Action{Degrade{1}}},
		{"dependency unavailable", 1, OutcomeUnavailable, 0, []Action{Fail{1}}},
		{"idempotent call past its deadline", 0, OutcomeDeadlineExceeded, 0, []Action{Fail{1}}},
		{"at-most-once call past its deadline", 1, OutcomeDeadlineExceeded, 0, []Action{Fail{1}}},
		{"at-most-once call that failed", 1, OutcomeInternal, 0, []Action{Fail{1}}},
		{"aborted at-most-once call of a class with degraded responses", 1, OutcomeAborted, 0.5, []Action{Degrade{1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestController(t, func(s *Settings) { enableCalls(s); s.Classes[tt.class].DegradedFraction = tt.degraded })
			r.handleAfter(0, newArrival(1, tt.class))
			r.wantActions(r.handleAfter(ms, CallNeeded{1}), StartCall{1, r.now + 2*time.Second - 5*ms})
			r.wantActions(r.handleAfter(ms, CallCompleted{ID: 1, Outcome: tt.outcome}), tt.want...)
		})
	}
}

func TestSharedCallsStayBelowQuota(t *testing.T) {
	for _, quota := range []float64{0.4, 1, 2.5} {
		r := newTestController(t, func(s *Settings) { enableCalls(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, quota, 8 })
		inFlight, sum := 0, 0.0
		lingerUntil := []time.Duration{}
		nextID, runningIDs, callStartedAt := uint32(1), []uint32{}, map[uint32]time.Duration{}
		const steps = 5000
		for i := 0; i < steps; i++ {
			var events []Event
			if i%20 == 0 {
				events = append(events, Arrival{ID: nextID, Class: 0, Timeout: 900 * ms, MemoryKB: 1})
				nextID++
			}
			for _, id := range runningIDs {
				events = append(events, CallNeeded{id})
			}
			runningIDs = runningIDs[:0]
			for _, q := range r.controller.requests { // calls are abandoned after 400 ms
				if q.phase == phaseInCall && r.now >= callStartedAt[q.id]+400*ms {
					events = append(events, CallCompleted{ID: q.id, Outcome: OutcomeDeadlineExceeded})
					inFlight--
					lingerUntil = append(lingerUntil, r.now+200*ms)
				}
			}
			events = append(events, TimerFired{TimerID: r.controller.timerID, Gauges: Gauges{CPUUtilization: 0.5}})
			for _, a := range r.handleAfter(2*ms, events...) {
				switch a := a.(type) {
				case Run:
					runningIDs = append(runningIDs, a.ID)
				case StartCall:
					inFlight++
					callStartedAt[a.ID] = r.now
				}
			}
			for len(lingerUntil) > 0 && lingerUntil[0] <= r.now {
				lingerUntil = lingerUntil[1:]
			}
			sum += float64(inFlight + len(lingerUntil))
		}
		if mean := sum / steps; mean > quota || mean == 0 {
			t.Errorf("quota %v: mean of calls in flight %v, want above 0 and at most the quota", quota, mean)
		}
	}
}

// completeCalls runs requests whose calls each take the given time.
func (r *testController) completeCalls(calls int, duration time.Duration) {
	r.t.Helper()
	for i := range calls {
		id := uint32(10000 + i)
		r.handleAfter(ms, newArrival(id, 1))
		r.handleAfter(ms, CallNeeded{id})
		r.handleAfter(ms, CallCompleted{ID: id, Elapsed: duration, Outcome: OutcomeOK})
		r.handleAfter(ms, Completed{ID: id, Elapsed: duration, Outcome: OutcomeOK})
	}
}

func TestSlowDependencyGetsFewerCalls(t *testing.T) {
	startedCalls := func(r *testController) (n int) {
		var events []Event
		for id := uint32(1); id <= 8; id++ {
			r.handleAfter(0, newArrival(id, 1))
			events = append(events, CallNeeded{id})
		}
		return countActions[StartCall](r.handleAfter(ms, events...))
	}
	settings := func(s *Settings) { enableCalls(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, 6, 8 }
	for _, tt := range []struct {
		name      string
		slowCalls int
		fastCalls int
		want      int
	}{{"initially the quota", 0, 0, 6}, {"fewer after slow calls", 12, 0, 3}, {"at least one", 100, 0, 1},
		{"the quota again after fast calls", 100, 100, 6}} {
		r := newTestController(t, settings)
		r.completeCalls(tt.slowCalls, 300*ms)
		r.completeCalls(tt.fastCalls, 20*ms)
		if got := startedCalls(r); got != tt.want {
			t.Errorf("%s: %d calls in flight, want %d", tt.name, got, tt.want)
		}
	}
}

func TestLateRequestIsRejectedWhileCallsQueue(t *testing.T) {
	for _, quota := range []float64{1, 6} {
		r := newTestController(t, func(s *Settings) { enableCalls(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, quota, 8 })
		for i := range r.controller.runTimes.meanRunSeconds {
			r.controller.runTimes.meanRunSeconds[i] = 2 // a request that starts now misses its latency objective
		}
		var events []Event
		for id := uint32(1); id <= 4; id++ {
			r.wantActions(r.handleAfter(0, newArrival(id, 1)), Run{id}) // an idle server runs late requests to sample run times
			events = append(events, CallNeeded{id})
		}
		r.handleAfter(ms, events...)
		got := r.handleAfter(ms, newArrival(9, 1))
		if quota == 1 && countActions[Reject](got) != 1 || quota == 6 && countActions[Run](got) != 1 {
			t.Errorf("quota %v with requests waiting for calls: actions %#v, want a rejection with quota 1 and a run with quota 6", quota, got)
		}
	}
}
