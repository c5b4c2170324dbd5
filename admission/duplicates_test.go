package admission

import (
	"testing"
	"time"
)

func dedupSettings(s *Settings) {
	s.Classes[1].ExecutionSemantics, s.Classes[1].DedupWindow = Deduplicated, 7*time.Second
}

func TestKeyIsStoredForWindowAndDuplicatesShare(t *testing.T) {
	r := newDriver(t, dedupSettings)
	r.want(r.at(0, arrival(1, 1)), StoreKey{1, 7 * time.Second}, Run{1})
	again := arrival(2, 1)
	again.DuplicateOf = 1
	r.want(r.at(ms, again), ShareResult{2})
	// The original runs past its deadline: it fails, and is never rejected.
	got := r.at(1999*ms, TimerFired{TimerID: r.controller.timerID})
	if count[Fail](got) == 0 || count[Reject](got) != 0 || count[EvictKey](got) != 0 {
		t.Errorf("actions %v, want Abort alone for keyed work that ran", got)
	}
}

func TestKeyOfUnrunRequestIsEvicted(t *testing.T) {
	r := newDriver(t, dedupSettings)
	r.at(0, arrival(901, 1), arrival(902, 1))
	r.want(r.at(0, arrival(1, 1)), StoreKey{1, 7 * time.Second})
	r.want(r.at(ms, Canceled{1}), EvictKey{1})
	if len(r.controller.storedKeys) != 2 {
		t.Errorf("%d keys, want those of the two that run", len(r.controller.storedKeys))
	}
}

func TestDuplicateOfRequestRejectedInSameBatch(t *testing.T) {
	r := newDriver(t, func(s *Settings) { dedupSettings(s); s.KeyMemoryKB = 9190 })
	again := arrival(2, 1)
	again.DuplicateOf = 1
	got := r.at(0, again, arrival(1, 1))
	if count[Reject](got) != 2 {
		t.Errorf("actions %v, want two rejections", got)
	}
}

func TestReadsShareResults(t *testing.T) {
	r := newDriver(t, func(s *Settings) { s.ResultReuseWindow = time.Second })
	a := arrival(1, 0)
	a.HasLookupKey = true
	r.want(r.at(0, a), StoreKey{1, 3 * time.Second}, Run{1})
	b := arrival(2, 0)
	b.HasLookupKey, b.DuplicateOf = true, 1
	r.want(r.at(ms, b), ShareResult{2})
	r.want(r.at(ms, Completed{ID: 1, Outcome: OutcomeOK}, Completed{ID: 2, Outcome: OutcomeOK}))
	if len(r.controller.requests) != 0 {
		t.Error("requests remain")
	}
}
