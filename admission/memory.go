package admission

// Memory accounting, in kB: a request takes its own memory while it waits and
// RunMemoryFactor times that from its start to its end; a stored key takes
// KeyMemoryKB. A server that needs more than MemoryKB dies.

// usableMemoryFraction is the fraction of the memory that is used; the rest is a reserve.
const usableMemoryFraction = 0.92

// occupiedMemory is the memory that a request occupies in its phase.
func (c *Controller) occupiedMemory(r *request) float64 {
	switch r.phase {
	case phaseFinished:
		return 0
	case phaseUndecided, phaseQueued, phaseAwaitingResult:
		return r.memoryKB
	}
	return r.memoryKB * c.settings.RunMemoryFactor
}

// freeMemory is the usable memory that is neither taken nor reserved, in kB. It may
// be negative.
func (c *Controller) freeMemory() float64 {
	keys := float64(len(c.storedKeys)) * c.settings.KeyMemoryKB
	return c.settings.MemoryKB*usableMemoryFraction - c.requestsKB - keys
}

// memoryToStart is what a request takes beyond its queued memory when it starts.
func (c *Controller) memoryToStart(r *request) float64 {
	return r.memoryKB * (c.settings.RunMemoryFactor - 1)
}

// memoryToAdmit is what the admission of a request will take, with its key.
func (c *Controller) memoryToAdmit(r *request) float64 {
	need := c.memoryToStart(r)
	if c.settings.Classes[r.class].ExecutionSemantics == Deduplicated {
		need += c.settings.KeyMemoryKB
	}
	return need
}
