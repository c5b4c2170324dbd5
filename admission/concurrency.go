package admission

// The concurrency limit c: how many requests run at once. It starts at the
// number of cores, grows while cores are free and requests wait, and shrinks
// while the cores are busy. Runs at calls are off the cores; a part of c is reserved
// for their return.

const (
	// callCoreWeight is the part of a core that is reserved for a request at a call.
	callCoreWeight = 0.25
	// usableRunsFraction is the fraction of maxRuns that may run or be at calls; the
	// rest is a reserve.
	usableRunsFraction = 0.7
	// growBelowUtilization is the CPU utilization, a fraction of the cores, below which
	// more may run at once.
	growBelowUtilization = 0.9
	// shrinkAboveUtilization is the CPU utilization, a fraction of the cores, above
	// which more runs can't help.
	shrinkAboveUtilization = 0.985
	// maxReadDelayFraction is a fraction of the objective. If requests wait for longer than
	// that until they are read, the goroutines that read them are starved of the cores.
	maxReadDelayFraction = 0.22
	// starvedLimitDivisor: while reading is starved the limit falls below the cores, by 1
	// a gauge tick, down to a third of them.
	starvedLimitDivisor = 3
)

// canRun reports whether one more request may run: the limit isn't reached, and
// the server survives if all requests at calls return at once.
func (c *Controller) canRun() bool {
	running := c.phaseCounts[phaseRunning]
	blockedOnCalls := c.phaseCounts[phaseAwaitingCall] + c.phaseCounts[phaseInCall]
	started := running + c.phaseCounts[phasePaused] + blockedOnCalls
	maxOthersStarted := max(1, c.maxRuns()*usableRunsFraction) - 1 // beside the one more
	return float64(running)+callCoreWeight*float64(blockedOnCalls) < float64(c.concurrencyLimit) &&
		float64(started) <= maxOthersStarted
}

// startRuns starts what is queued, oldest first, then resumes what is paused.
func (c *Controller) startRuns() {
	for _, from := range []phase{phaseQueued, phasePaused} {
		for _, r := range c.requests {
			if !c.canRun() {
				return
			}
			if r.phase != from || from == phaseQueued && c.memoryToStart(r) > c.freeMemory() {
				continue
			}
			c.run(r)
		}
	}
}

// run starts or resumes a request.
func (c *Controller) run(r *request) {
	if c.phaseCounts[phaseRunning] == 0 {
		c.runTimes.resetMissedRuns()
	}
	r.everRan = true
	r.preempted = false
	c.emit(Run{r.id})
	c.changePhase(r, transitionRun)
}

// adjustConcurrencyLimit moves c at a gauge tick. It grows by the free cores, less a part
// for calls in flight: growth by one a gauge tick would reject requests for seconds
// while cores idle. It shrinks to the cores while they are busy, and
// below while requests wait long to be read: reading shares the cores, and
// once it falls behind every request is read too late.
func (c *Controller) adjustConcurrencyLimit(g Gauges) {
	cores := c.settings.Cores
	free := int(float64(cores) - g.RunQueue - callCoreWeight*float64(c.phaseCounts[phaseInCall]))
	switch {
	case c.readDelayFraction > maxReadDelayFraction:
		floor := max(1, cores/starvedLimitDivisor)
		c.concurrencyLimit = max(floor, c.concurrencyLimit-1)
	case c.concurrencyLimit < cores:
		c.concurrencyLimit++
	case c.limitReached && g.CPUUtilization >= 0 && g.CPUUtilization < growBelowUtilization && free > 0:
		sustainedRuns := int(c.maxRuns() * usableRunsFraction)
		c.concurrencyLimit = min(c.concurrencyLimit+free, max(cores, sustainedRuns))
	case g.CPUUtilization > shrinkAboveUtilization && c.concurrencyLimit > cores:
		c.concurrencyLimit--
	}
	c.limitReached = false
}
