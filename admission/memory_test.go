package admission

import (
	"testing"
)

func TestMemoryIsSharedWithinBatch(t *testing.T) {
	// 92 kB to hand out; a run takes 40 kB: two fit, the third does not.
	r := newDriver(t, func(s *Settings) { s.MemoryKB, s.Cores = 100, 4 })
	got := r.handleAfter(0, newArrival(1, 1), newArrival(2, 1), newArrival(3, 1))
	if countActions[Run](got) != 2 || countActions[Reject](got) != 1 {
		t.Errorf("actions %v, want two runs and a rejection", got)
	}
	if r.controller.requestsKB > 100 {
		t.Errorf("%v kB in use", r.controller.requestsKB)
	}
}

func TestNoMemoryForKeyRejectsBeforeRun(t *testing.T) {
	r := newDriver(t, func(s *Settings) { enableDeduplication(s); s.KeyMemoryKB = 9190 })
	got := r.handleAfter(0, newArrival(1, 1))
	if countActions[Reject](got) != 1 || countActions[Run](got) != 0 {
		t.Errorf("actions %v, want a rejection", got)
	}
}
