package admission

import (
	"slices"
	"time"
)

// Duplicates: a request is found to repeat another by the stored key of that one
// (DuplicateOf), and shares its result. It is never run. A hedged request is a
// duplicate only if it carries the key of a stored request; without one it is a
// request of its own.

// minFreeMemoryForReadKeys is the fraction of the memory that must stay free for the
// key of a plain read to be stored: it only saves work.
const minFreeMemoryForReadKeys = 0.5

// storedKey is the key of a request, by which its duplicates are found.
type storedKey struct {
	id        uint32
	expiresAt time.Duration // clock time
}

// decideDuplicate answers a request that repeats a stored one, its original. An
// original of the same batch is decided first. The duplicate is rejected if the
// original ended without a run in this batch, and fails if memory has run out or
// its own time has. Otherwise it shares the result, also of an original that the
// controller has forgotten: the server still has the result of that one's key.
func (c *Controller) decideDuplicate(r *request) {
	original := c.byID[r.duplicateOf]
	if original != nil && original.phase == phaseUndecided {
		c.decide(original)
	}
	if original != nil && original.phase == phaseFinished && !original.everRan && original.duplicateOf == 0 {
		c.reject(r, RejectOriginalNotRun)
		return
	}
	if c.freeMemory() < 0 || c.now >= c.expiry(r) {
		c.fail(r)
		return
	}
	c.emit(ShareResult{r.id})
	c.changePhase(r, transitionShareResult)
}

// storeKeyIfNeeded stores the key of an admitted request: for deduplicated classes
// always, for reads whose results may be shared while memory is ample. free is
// the memory left after the admission.
func (c *Controller) storeKeyIfNeeded(r *request, free float64) {
	class := &c.settings.Classes[r.class]
	switch {
	case class.ExecutionSemantics == Deduplicated:
		c.storeKey(r, class.DedupWindow)
	case c.settings.ResultReuseWindow > 0 && class.ExecutionSemantics == Idempotent &&
		free > c.settings.MemoryKB*minFreeMemoryForReadKeys:
		c.storeKey(r, r.deadline-c.now+c.settings.ResultReuseWindow)
	}
}

func (c *Controller) storeKey(r *request, ttl time.Duration) {
	r.keyStored = true
	c.storedKeys = append(c.storedKeys, storedKey{r.id, c.now + ttl})
	c.emit(StoreKey{r.id, ttl})
}

// evictKeyIfNeverRun drops the key of a request that never ran.
func (c *Controller) evictKeyIfNeverRun(r *request) {
	if !r.keyStored || r.everRan {
		return
	}
	r.keyStored = false
	c.emit(EvictKey{r.id})
	c.storedKeys = slices.DeleteFunc(c.storedKeys, func(k storedKey) bool { return k.id == r.id })
}

// expireKeys forgets the keys whose time is over; the server drops them by itself.
func (c *Controller) expireKeys() {
	c.storedKeys = slices.DeleteFunc(c.storedKeys, func(k storedKey) bool { return k.expiresAt <= c.now })
}
