package admission

import (
	"math/rand"
	"testing"
	"time"
)

// TestInvariantsOnRandomEvents generates random valid events under random settings. The simulated
// server checks every action, and the server's limits after each batch.
func TestInvariantsOnRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		runRandomEvents(t, seed)
	}
}

func runRandomEvents(t *testing.T, seed int64) {
	const (
		steps  = 4000
		stopIn = 1200 * ms // time from the shutdown signal to the stop
	)
	random := rand.New(rand.NewSource(seed))
	settings := randomSettings(random)
	controller, err := New(settings, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	s := &simulatedServer{t: t, settings: settings, controller: controller, random: random, now: time.Hour,
		requests: map[uint32]*simulatedRequest{}, keyExpiry: map[uint32]time.Duration{}}
	s.execute(controller.Handle(s.now, nil))
	stop := time.Duration(0)
	for range steps {
		s.now += settings.MinInterval
		if stop > 0 && s.now >= stop {
			for id, r := range s.requests {
				if !r.answered {
					t.Fatalf("seed %d: request %d is unanswered at the stop: %+v, now %v", seed, id, *r, s.now)
				}
			}
			return
		}
		events := s.nextEvents()
		if s.drainStartedAt == 0 && random.Intn(3000) == 0 {
			s.drainStartedAt = s.now
			stop = s.now + stopIn
			events = append(events, Drain{StopIn: stopIn})
		}
		if len(events) > 0 {
			s.execute(controller.Handle(s.now, events))
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
