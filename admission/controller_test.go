package admission

import (
	"reflect"
	"testing"
	"time"
)

func TestUnexpectedEventsAreIgnored(t *testing.T) {
	r := newTestController(t, nil)
	r.wantActions(r.handleAfter(0, Completed{ID: 7}, Canceled{7}, CallNeeded{7}, CallCompleted{ID: 7}, TimerFired{TimerID: 99}))
	r.wantActions(r.handleAfter(0))
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	replay := func() (all []Action) {
		s := testSettings()
		enableDeduplication(&s)
		s.Tenants = []Tenant{{QuotaPerSecond: 10}, {QuotaPerSecond: 5}}
		c, err := New(s, 7)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		for i := uint32(1); i < 3000; i++ {
			now += time.Duration(i%7) * ms
			a := newArrival(i, int(i%2))
			a.Tenant = int(i % 2)
			events := []Event{a, TimerFired{TimerID: c.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 3}}}
			if i > 20 {
				events = append(events, Completed{ID: i - 20, Outcome: OutcomeOK})
			}
			all = append(all, c.Handle(now, events)...)
		}
		return all
	}
	if a, b := replay(), replay(); !reflect.DeepEqual(a, b) {
		t.Error("the same events returned different actions")
	}
}

func TestSmallestServers(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"one core and one class":    func(s *Settings) { s.Cores, s.Classes = 1, s.Classes[:1] },
		"sustains one run per core": func(s *Settings) { s.Cores, s.MaxRunsPerCore = 1, 1 },
		"slow start at zero speed":  func(s *Settings) { s.Cores, s.SlowStart, s.SlowStartMinSpeed = 1, true, 0 },
		"deep health checks":        func(s *Settings) { s.Cores, s.DeepHealthChecks = 1, true },
	} {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			change(&s)
			c, err := New(s, 1)
			if err != nil {
				t.Fatal(err)
			}
			first := c.Handle(time.Second, nil)
			if !reflect.DeepEqual(first[0], SetHealth{Healthy: true, Cached: true}) {
				t.Errorf("first action %#v, want SetHealth with Healthy and Cached", first[0])
			}
			got := c.Handle(time.Second, []Event{newArrival(1, 0), newArrival(2, 0)})
			if countActions[Run](got) != 1 {
				t.Errorf("actions %v, want one run on the only core", got)
			}
			got = c.Handle(time.Second+ms, []Event{Completed{ID: 1, Outcome: OutcomeOK}, newArrival(3, 0)})
			if countActions[Run](got) != 1 {
				t.Errorf("actions %v, want one run after the previous run completed", got)
			}
		})
	}
	r := newTestController(t, func(s *Settings) { s.MemoryKB = 11 }) // enough memory to queue a request, not to run it
	r.wantActions(r.handleAfter(0, newArrival(1, 0)), Reject{ID: 1, Reason: RejectMemoryFull})
}
