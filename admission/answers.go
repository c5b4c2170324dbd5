package admission

import "time"

// Answers: every request gets one answer by its deadline. One that never ran may
// be rejected; one that ran, or may have, can only fail.

// deadlineLeadIntervals is how long before its deadline a request is answered, in
// multiples of MinInterval: the timer may be late by one.
const deadlineLeadIntervals = 2

// deadlineLead is how long before its deadline a request is answered.
func (c *Controller) deadlineLead() time.Duration {
	return deadlineLeadIntervals * c.settings.MinInterval
}

// expiry is the clock time at which a request is answered, whatever its phase. A
// queued one is answered when half of a mean run no longer fits before its
// objective.
func (c *Controller) expiry(r *request) time.Duration {
	expiry := r.deadline - c.deadlineLead()
	if r.phase == phaseQueued {
		halfRun := time.Duration(c.runTimes.meanRunSeconds[r.class] / 2 * float64(time.Second))
		expiry = min(expiry, r.objective-halfRun)
	}
	return expiry
}

// rejectOrFailExpired answers the requests that have reached their expiry.
func (c *Controller) rejectOrFailExpired() {
	for _, r := range c.requests {
		if r.settled || r.phase == phaseFinished || r.phase == phaseUndecided {
			continue
		}
		if c.now >= c.expiry(r) {
			c.rejectOrFail(r)
		}
	}
}

// rejectOrFail rejects an expired request that never ran, and fails others. A duplicate
// can only fail: its original may have run.
func (c *Controller) rejectOrFail(r *request) {
	if r.everRan || r.duplicateOf != 0 {
		c.fail(r)
	} else {
		c.reject(r, RejectExpiredInQueue)
	}
}

// reject answers a request that never ran, by the rule that is named.
func (c *Controller) reject(r *request, reason RejectReason) {
	c.countRejection()
	c.evictKeyIfNeverRun(r)
	r.settled = true
	doNotRetry := !c.draining && c.retriesFutile()
	c.emit(Reject{ID: r.id, RetryAfter: c.retryAfter(r.class), DoNotRetry: doNotRetry, Reason: reason})
	c.changePhase(r, transitionFinish)
}

// fail answers a request that ran, or may have. One at a call stays until Completed
// reports the end of its run.
func (c *Controller) fail(r *request) {
	r.settled = true
	c.emit(Fail{r.id})
	switch r.phase {
	case phaseRunning:
		c.stopRun(r)
	case phaseAwaitingCall, phaseInCall:
	default:
		c.changePhase(r, transitionFinish)
	}
}

// handleCanceled ends a request that no caller waits for, and stops its run where that
// can be done. One at a call stays until Completed reports the end of its run.
func (c *Controller) handleCanceled(e Canceled) {
	r := c.byID[e.ID]
	if r == nil {
		return
	}
	if !r.everRan {
		c.withdrawArrival(r)
	}
	r.settled = true
	switch r.phase {
	case phaseRunning:
		c.stopRun(r)
	case phaseAwaitingCall, phaseInCall:
	default:
		c.evictKeyIfNeverRun(r)
		c.changePhase(r, transitionFinish)
	}
}

// handleCompleted ends a run or a shared result, unless it only confirms a preemption.
func (c *Controller) handleCompleted(e Completed) {
	r := c.byID[e.ID]
	if r == nil {
		return
	}
	if confirmsPreemption(r, e) {
		c.changePhase(r, transitionPreempted)
		return
	}
	if e.Outcome == OutcomeNotStarted {
		c.withdrawArrival(r)
	}
	c.updateEstimates(r, e)
	r.settled = true
	c.changePhase(r, transitionFinish)
}

// confirmsPreemption reports whether the event says that Preempt took effect on a
// request that still needs an answer: it is paused then, not over.
func confirmsPreemption(r *request, e Completed) bool {
	return r.preempted && e.Outcome == OutcomeCanceled && !r.settled
}

// updateEstimates updates the estimates of run times, success and calls at the end of a run.
func (c *Controller) updateEstimates(r *request, e Completed) {
	switch r.phase {
	case phaseRunning:
		c.runTimes.resetMissedRuns()
		if e.Outcome == OutcomeOK || e.Outcome == OutcomeInternal {
			c.runTimes.observe(r.class, e.Elapsed.Seconds())
		}
	case phaseInCall:
		c.calls.recordAbandoned(c.now)
	}
	if r.phase != phaseAwaitingResult && e.Outcome != OutcomeNotStarted {
		c.runTimes.observeSuccess(r.class, e.Outcome == OutcomeOK && !r.settled)
	}
}
