package admission

// preemptAfterMeanRuns is the age of a run, in mean runs of its class, from which
// it is preempted: nine in ten are shorter.
const preemptAfterMeanRuns = 3.0

// preemptLongRun pauses a run that is far longer than the mean of its class, for
// a request that finds the limit reached, and reports whether it did. Where work
// is uneven the longest runs hold most of a small server, and those that ran
// long have longest to go. It needs PreemptionPause; where weight counts per
// work, long runs earn what they take.
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

// stopRun frees the cores of a run whose answer is given. A deduplicated run
// goes on: its next duplicate shares the result.
func (c *Controller) stopRun(r *request) {
	if c.settings.Preemption != PreemptionNone && c.settings.Classes[r.class].ExecutionSemantics != Deduplicated {
		c.emit(Preempt{r.id})
	}
}
