package admission

// The decision on a request that was just read: reject it, or admit and queue it.
// Inputs: the policy, the state s, the free memory, and the time left until the
// request's objective.

// occupancy is the state s of the policy: requests queued or running.
func (c *Controller) occupancy() int {
	return c.phaseCounts[phaseQueued] + c.phaseCounts[phaseRunning]
}

// lateRejectedFraction is the fraction of requests rejected lately above which a late one
// is rejected, unless the server is empty.
const lateRejectedFraction = 0.2

// decide answers a duplicate, and rejects or admits any other request. It is the
// rule of the paper: while a core is free every request is admitted, otherwise
// those with r(i)(s) ≥ ∇h(s). A request for which a long run is preempted is
// admitted too, as that frees its core.
func (c *Controller) decide(r *request) {
	if r.duplicateOf != 0 {
		c.decideDuplicate(r)
		return
	}
	free := c.freeMemory()
	need := c.memoryToAdmit(r)
	if c.arrivedAfterDrainGrace(r) {
		c.reject(r, RejectDrainGraceOver)
		return
	}
	if need > free {
		c.reject(r, RejectMemoryFull)
		return
	}
	state := c.occupancy()
	full := c.isFull()
	c.limitReached = c.limitReached || full
	if reason := c.lateRejectReason(r, state); reason != RejectReasonNone {
		c.reject(r, reason)
		return
	}
	if full {
		preempted := c.preemptLongRun()
		if !preempted && !c.policyAdmits(r, state) {
			c.reject(r, RejectPolicy)
			return
		}
	}
	c.admit(r, free-need)
}

// admit queues a request, and starts what can run. free is the memory left after
// the admission, in kB.
func (c *Controller) admit(r *request, free float64) {
	c.storeKeyIfNeeded(r, free)
	c.changePhase(r, transitionAdmit)
	c.startRuns()
}

// isFull reports whether a request that is admitted now would have to wait for a core.
func (c *Controller) isFull() bool {
	return !c.canRun() || c.phaseCounts[phaseQueued] > 0
}

// policyAdmits reports whether r(i)(s) ≥ ∇h(s). The reward is that of the request
// itself, by its own remaining time and its tenant's quota, and is compared exactly.
// The thresholds, which are logged and advertised, are of the class's reward and
// give ties to the class (admissionModel.accepts): a request may be decided
// otherwise than the threshold of its class says.
func (c *Controller) policyAdmits(r *request, state int) bool {
	return state < len(c.policy.bias) && c.reward(r, state) >= c.policy.bias[state]
}

// lateRejectReason names the rule by which a request is rejected because it can't be
// answered within its objective, or RejectReasonNone. Such a late request is rejected while the server
// drains, when it has expired, while calls are backlogged, and while requests are
// queued or running and more than rejectLateAbove of the latest were rejected.
// Otherwise it is decided on like others: its run shows how long runs take.
func (c *Controller) lateRejectReason(r *request, state int) RejectReason {
	switch {
	case c.reward(r, state) >= 0:
		return RejectReasonNone
	case c.draining:
		return RejectLateInDrain
	case c.now >= c.expiry(r):
		return RejectExpiredOnArrival
	case c.callsBacklogged():
		return RejectLateCallsBacklogged
	case state > 0 && c.rejectedFraction > lateRejectedFraction:
		return RejectLateOverloaded
	}
	return RejectReasonNone
}
