package admission

// Memory accounting, in kB. A request occupies its own memory while it is queued, and
// RunMemoryFactor times that from the start of its run to its end. A stored key occupies
// KeyMemoryKB. A server that exceeds MemoryKB is killed.

// usableMemoryFraction is the fraction of MemoryKB that requests and keys may occupy; the rest is a
// reserve.
const usableMemoryFraction = 0.92

// occupiedMemory is the memory that a request occupies in its current phase.
func (c *Controller) occupiedMemory(r *request) float64 {
	switch r.phase {
	case phaseFinished:
		return 0
	case phaseUndecided, phaseQueued, phaseAwaitingResult:
		return r.memoryKB
	}
	return r.memoryKB * c.settings.RunMemoryFactor
}

// freeMemory is the usable memory that requests and stored keys don't occupy, in kB. It may be
// negative.
func (c *Controller) freeMemory() float64 {
	keys := float64(len(c.storedKeys)) * c.settings.KeyMemoryKB
	return c.settings.MemoryKB*usableMemoryFraction - c.requestsKB - keys
}

// memoryToStart is the memory that the start of a run adds to the request's queued memory.
func (c *Controller) memoryToStart(r *request) float64 {
	return r.memoryKB * (c.settings.RunMemoryFactor - 1)
}

// memoryToAdmit is the additional memory that a request needs to be admitted and run, including its
// key.
func (c *Controller) memoryToAdmit(r *request) float64 {
	need := c.memoryToStart(r)
	if c.settings.Classes[r.class].ExecutionSemantics == Deduplicated {
		need += c.settings.KeyMemoryKB
	}
	return need
}
