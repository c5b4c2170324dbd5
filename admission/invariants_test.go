package admission

import (
	"math/rand"
	"testing"
	"time"
)

// TestInvariantsOnRandomEvents plays random legal events under random settings;
// the simulated server checks every action, and the limits after each batch.
func TestInvariantsOnRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		runRandomEvents(t, seed)
	}
}

func runRandomEvents(t *testing.T, seed int64) {
	const (
		steps     = 4000
		drainTime = 1200 * ms // from the notice to the stop
	)
	random := rand.New(rand.NewSource(seed))
	settings := randomSettings(random)
	controller, err := New(settings, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	s := &simulatedServer{t: t, settings: settings, controller: controller, random: random, now: time.Hour,
		requests: map[uint32]*simulatedRequest{}, keys: map[uint32]time.Duration{}}
	s.execute(controller.Handle(s.now, nil))
	stop := time.Duration(0)
	for range steps {
		s.now += settings.MinInterval
		if stop > 0 && s.now >= stop {
			for id, r := range s.requests {
				if !r.answered {
					t.Fatalf("seed %d: request %d has no answer at the stop: %+v, now %v", seed, id, *r, s.now)
				}
			}
			return
		}
		events := s.nextEvents()
		if s.drainNoticedAt == 0 && random.Intn(3000) == 0 {
			s.drainNoticedAt = s.now
			stop = s.now + drainTime
			events = append(events, Drain{StopIn: drainTime})
		}
		if len(events) > 0 {
			s.execute(controller.Handle(s.now, events))
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
