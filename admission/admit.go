package admission

// The admission decision on a new request: reject it, or admit and queue it. Inputs: the policy,
// the state s, the free memory, and the time left until the request's latency objective.

// occupancy is the state s of the policy: the number of requests queued or running.
func (c *Controller) occupancy() int {
	return c.phaseCounts[phaseQueued] + c.phaseCounts[phaseRunning]
}

// lateRejectedFraction is the recent fraction of rejected requests above which a late request is
// rejected too, unless no request is queued or running.
const lateRejectedFraction = 0.2

// decide answers a duplicate, and rejects or admits any other request. As in the paper, it admits
// every request while a core is free, and otherwise the requests with r(i)(s) ≥ ∇h(s). If a long
// run can be preempted, its core becomes free and the request is admitted as well.
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

// admit queues a request and starts the runs that the limits allow. free is the memory left after
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

// policyAdmits reports whether r(i)(s) ≥ ∇h(s). It compares the reward of the request itself, which
// depends on the request's remaining time and its tenant's quota, without a tolerance. The
// class thresholds, which are logged and advertised, use the reward of the class and break ties in favor
// of the class (admissionModel.admits), so the decision on a request may differ from its class's
// threshold.
func (c *Controller) policyAdmits(r *request, state int) bool {
	return state < len(c.policy.bias) && c.reward(r, state) >= c.policy.bias[state]
}

// lateRejectReason returns the reason to reject a late request, which is one that can't be answered
// within its latency objective, or RejectReasonNone. A late request is rejected while the server
// drains, if it has expired, while calls are backlogged, and while requests are queued or running
// and more than lateRejectedFraction of the recent requests were rejected. Otherwise it may be
// admitted, because its run provides a sample of the run time.
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
