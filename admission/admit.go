package admission

// The decision on a request that was just read: reject it, or admit and queue it.
// Inputs: the policy, the state s, the free memory, and the time left until the
// request's objective.

// occupancy is the state s of the policy: requests queued or running.
func (c *Controller) occupancy() int {
	return c.phaseCounts[phaseQueued] + c.phaseCounts[phaseRunning]
}

// decide answers or admits a request, and starts what can run.
func (c *Controller) decide(r *request) {
	if r.duplicateOf != 0 {
		c.answerDuplicate(r)
		return
	}
	free := c.freeMemory()
	need := c.memoryToAdmit(r)
	if c.arrivedAfterDrainGrace(r) || need > free || !c.admits(r) {
		c.reject(r)
		return
	}
	c.storeKeyOf(r, free-need)
	c.advance(r, stepAdmit)
	c.startRuns()
}

// admits is the rule of the paper: while a core is free every request is
// admitted, otherwise those with r(i)(s) ≥ ∇h(s). A request that is late is
// rejected; one for which a long run is preempted is admitted.
func (c *Controller) admits(r *request) bool {
	state := c.occupancy()
	full := !c.canRun() || c.phaseCounts[phaseQueued] > 0
	c.limitReached = c.limitReached || full
	if c.rejectsAsTooLate(r, state) {
		return false
	}
	return !full || c.preemptLongRun() || c.policyAdmits(r, state)
}

// policyAdmits reports whether r(i)(s) ≥ ∇h(s).
func (c *Controller) policyAdmits(r *request, state int) bool {
	return state < len(c.policy.bias) && c.reward(r, state) >= c.policy.bias[state]
}

// rejectsAsTooLate reports whether a request can't be answered within its objective. An
// idle server admits such requests all the same, to learn how long runs take.
func (c *Controller) rejectsAsTooLate(r *request, state int) bool {
	if c.reward(r, state) >= 0 {
		return false
	}
	return c.draining || c.now >= c.expiry(r) || c.callsBacklogged() ||
		state > 0 && c.rejectedFraction > minFutileRejections
}
