package admission

import (
	"testing"
	"time"
)

func enableDeduplication(s *Settings) {
	s.Classes[1].ExecutionSemantics, s.Classes[1].DedupWindow = Deduplicated, 7*time.Second
}

func TestKeyIsStoredForWindowAndDuplicatesShare(t *testing.T) {
	r := newTestController(t, enableDeduplication)
	r.wantActions(r.handleAfter(0, newArrival(1, 1)), StoreKey{1, 7 * time.Second}, Run{1})
	duplicate := newArrival(2, 1)
	duplicate.DuplicateOf = 1
	r.wantActions(r.handleAfter(ms, duplicate), ShareResult{2})
	// The original is still running at its deadline: it fails and is never rejected.
	got := r.handleAfter(1999*ms, TimerFired{TimerID: r.controller.timerID})
	if countActions[Fail](got) == 0 || countActions[Reject](got) != 0 || countActions[EvictKey](got) != 0 {
		t.Errorf("actions %v, want only Fail for a request with a stored key that ran", got)
	}
}

func TestKeyOfRequestThatNeverRanIsEvicted(t *testing.T) {
	r := newTestController(t, enableDeduplication)
	r.handleAfter(0, newArrival(901, 1), newArrival(902, 1))
	r.wantActions(r.handleAfter(0, newArrival(1, 1)), StoreKey{1, 7 * time.Second})
	r.wantActions(r.handleAfter(ms, Canceled{1}), EvictKey{1})
	if len(r.controller.storedKeys) != 2 {
		t.Errorf("%d stored keys, want the two of the running requests", len(r.controller.storedKeys))
	}
}

func TestDuplicateOfRequestRejectedInSameBatch(t *testing.T) {
	r := newTestController(t, func(s *Settings) { enableDeduplication(s); s.KeyMemoryKB = 9190 })
	duplicate := newArrival(2, 1)
	duplicate.DuplicateOf = 1
	got := r.handleAfter(0, duplicate, newArrival(1, 1))
	if countActions[Reject](got) != 2 {
		t.Errorf("actions %v, want the original and its duplicate rejected", got)
	}
}

func TestReadsShareResults(t *testing.T) {
	r := newTestController(t, func(s *Settings) { s.ResultReuseWindow = time.Second })
	a := newArrival(1, 0)
	a.HasLookupKey = true
	r.wantActions(r.handleAfter(0, a), StoreKey{1, 3 * time.Second}, Run{1})
	b := newArrival(2, 0)
	b.HasLookupKey, b.DuplicateOf = true, 1
	r.wantActions(r.handleAfter(ms, b), ShareResult{2})
	r.wantActions(r.handleAfter(ms, Completed{ID: 1, Outcome: OutcomeOK}, Completed{ID: 2, Outcome: OutcomeOK}))
	if len(r.controller.requests) != 0 {
		t.Error("requests remain, want none")
	}
}
