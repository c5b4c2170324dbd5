package admission

import (
	"slices"
	"time"
)

// Duplicates: a request is a duplicate if it carries the stored key of an earlier request, its
// original (DuplicateOf). A duplicate never runs; it shares the result of its original. A hedged
// request without the key of a stored request is an independent request.

// minFreeMemoryForReadKeys is the fraction of the memory that must be free before the key of a read
// is stored. Such a key is an optimization and not needed for correctness.
const minFreeMemoryForReadKeys = 0.5

// storedKey is the key of a request, by which its duplicates are recognized.
type storedKey struct {
	id        uint32
	expiresAt time.Duration // clock time
}

// decideDuplicate answers a duplicate. An original in the same batch is decided first. The
// duplicate is rejected if its original finished without a run in this batch, and fails if the
// memory is exhausted or the duplicate has expired. Otherwise it shares the original's result, even
// if the controller has removed the original: the server still stores the result under the
// original's key.
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

// storeKeyIfNeeded stores the key of an admitted request. Keys of Deduplicated classes are always
// stored. Keys of reads whose results may be reused are stored while enough memory is free. free is
// the memory left after the admission, in kB.
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

// evictKeyIfNeverRun evicts the key of a request that never ran.
func (c *Controller) evictKeyIfNeverRun(r *request) {
	if !r.keyStored || r.everRan {
		return
	}
	r.keyStored = false
	c.emit(EvictKey{r.id})
	c.storedKeys = slices.DeleteFunc(c.storedKeys, func(k storedKey) bool { return k.id == r.id })
}

// expireKeys removes expired keys; the server expires its own copies itself.
func (c *Controller) expireKeys() {
	c.storedKeys = slices.DeleteFunc(c.storedKeys, func(k storedKey) bool { return k.expiresAt <= c.now })
}
