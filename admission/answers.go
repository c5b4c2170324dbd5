package admission

import "time"

// Answers: every request is answered once, by its deadline. A request that never ran may be
// rejected. A request that ran, or may have run, can only fail.

// deadlineLeadIntervals is how long before its deadline a request is answered, in multiples of
// MinInterval: a timer may fire up to one MinInterval late.
const deadlineLeadIntervals = 2

// deadlineLead is how long before its deadline a request is answered.
func (c *Controller) deadlineLead() time.Duration {
	return deadlineLeadIntervals * c.settings.MinInterval
}

// expiry is the clock time at which a request is answered even if it has not completed. A queued
// request expires earlier: when less than half of a mean run time remains until its latency
// objective.
func (c *Controller) expiry(r *request) time.Duration {
	expiry := r.deadline - c.deadlineLead()
	if r.phase == phaseQueued {
		halfMeanRun := time.Duration(c.runTimes.meanRunSeconds[r.class] / 2 * float64(time.Second))
		expiry = min(expiry, r.objective-halfMeanRun)
	}
	return expiry
}

// rejectOrFailExpired rejects or fails the requests that have reached their expiry.
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

// rejectOrFail rejects an expired request that never ran, and fails any other. A duplicate can only
// fail, because its original may have run.
func (c *Controller) rejectOrFail(r *request) {
	if r.everRan || r.duplicateOf != 0 {
		c.fail(r)
	} else {
		c.reject(r, RejectExpiredInQueue)
	}
}

// reject answers a request that never ran. reason is the rule that rejected it.
func (c *Controller) reject(r *request, reason RejectReason) {
	c.countRejection()
	c.evictKeyIfNeverRun(r)
	r.settled = true
	doNotRetry := !c.draining && c.retriesFutile()
	c.emit(Reject{ID: r.id, RetryAfter: c.retryAfter(r.class), DoNotRetry: doNotRetry, Reason: reason})
	c.changePhase(r, transitionFinish)
}

// fail answers a request that ran or may have run. A request that is running or blocked on a call
// is removed only when Completed reports the end of its run.
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

// handleCanceled ends a request whose caller has canceled it, and stops its run if preemption is
// possible. A request that is running or blocked on a call is removed only when Completed reports
// the end of its run.
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

// handleCompleted ends a run or a shared result, unless the event only confirms a preemption.
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

// confirmsPreemption reports whether the event confirms that Preempt took effect on a request that
// still needs a response. Such a request is paused and has not ended.
func confirmsPreemption(r *request, e Completed) bool {
	return r.preempted && e.Outcome == OutcomeCanceled && !r.settled
}

// updateEstimates updates the estimates of run times and success, and the call accounting, at the
// end of a run.
func (c *Controller) updateEstimates(r *request, e Completed) {
	switch r.phase {
	case phaseRunning:
		c.runTimes.resetOverdueCompletions()
		if e.Outcome == OutcomeOK || e.Outcome == OutcomeInternal {
			c.runTimes.observe(r.class, e.Elapsed.Seconds())
		}
	case phaseInCall:
		c.calls.recordAbandonedCall(c.now)
	}
	if r.phase != phaseAwaitingResult && e.Outcome != OutcomeNotStarted {
		c.runTimes.observeSuccess(r.class, e.Outcome == OutcomeOK && !r.settled)
	}
}
