package admission

import (
	"testing"
)

func TestMemoryIsSharedWithinBatch(t *testing.T) {
	// 92 kB are usable and each run needs 40 kB: two runs fit, a third doesn't.
	r := newTestController(t, func(s *Settings) { s.MemoryKB, s.Cores = 100, 4 })
	got := r.handleAfter(0, newArrival(1, 1), newArrival(2, 1), newArrival(3, 1))
	if countActions[Run](got) != 2 || countActions[Reject](got) != 1 {
		t.Errorf("actions %v, want two runs and one rejection", got)
	}
	if r.controller.requestsKB > 100 {
		t.Errorf("%v kB in use, want at most 100", r.controller.requestsKB)
	}
}

func TestNoMemoryForKeyRejectsBeforeRun(t *testing.T) {
	r := newTestController(t, func(s *Settings) { enableDeduplication(s); s.KeyMemoryKB = 9190 })
	got := r.handleAfter(0, newArrival(1, 1))
	if countActions[Reject](got) != 1 || countActions[Run](got) != 0 {
		t.Errorf("actions %v, want one rejection and no run", got)
	}
}
