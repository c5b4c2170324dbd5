package admission

import (
	"testing"
)

func TestMemoryIsSharedWithinBatch(t *testing.T) {
	// 92 kB to hand out; a run takes 40 kB: two fit, the third does not.
	r := newDriver(t, func(s *Settings) { s.MemoryKB, s.Cores = 100, 4 })
	got := r.at(0, arrival(1, 1), arrival(2, 1), arrival(3, 1))
	if count[Run](got) != 2 || count[Reject](got) != 1 {
		t.Errorf("actions %v, want two runs and a rejection", got)
	}
	if r.controller.requestsKB > 100 {
		t.Errorf("%v kB in use", r.controller.requestsKB)
	}
}

func TestNoMemoryForKeyRejectsBeforeRun(t *testing.T) {
	r := newDriver(t, func(s *Settings) { dedupSettings(s); s.KeyMemoryKB = 9190 })
	got := r.at(0, arrival(1, 1))
	if count[Reject](got) != 1 || count[Run](got) != 0 {
		t.Errorf("actions %v, want a rejection", got)
	}
}
