package admission

// preemptAfterMeanRuns is the run time, as a multiple of the mean run time of the class, above
// which a run may be preempted. Nine in ten runs are shorter.
const preemptAfterMeanRuns = 3.0

// preemptLongRun pauses a run that is much longer than the mean of its class, for a request that
// finds the concurrency limit reached, and reports whether it did. If run times vary widely, the
// longest runs occupy most cores of a small server, and a run that has been long has the longest
// expected remaining time. Preemption needs PreemptionPause. It is disabled with WeightPerWork,
// where a long run earns in proportion to its work.
func (c *Controller) preemptLongRun() bool {
	if c.settings.Preemption != PreemptionPause || c.settings.WeightPerWork {
		return false
	}
	for _, r := range c.requests {
		if r.phase == phaseRunning && !r.settled && !r.preempted &&
			c.totalCoreTime(r).Seconds() > preemptAfterMeanRuns*c.runTimes.meanRunSeconds[r.class] {
			r.preempted = true
			c.emit(Preempt{r.id})
			return true
		}
	}
	return false
}

// stopRun stops a run that needs no response any more. The run of a Deduplicated request continues,
// because its next duplicate shares the result.
func (c *Controller) stopRun(r *request) {
	if c.settings.Preemption != PreemptionNone && c.settings.Classes[r.class].ExecutionSemantics != Deduplicated {
		c.emit(Preempt{r.id})
	}
}
