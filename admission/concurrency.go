package admission

// The concurrency limit c is the maximum number of concurrent runs. It starts at the number of
// cores, grows while cores are idle and requests wait, and shrinks while the cores are busy.
// Requests blocked on calls use no core, but a fraction of c is reserved for their return.

const (
	// callCoreWeight is the fraction of a core that is reserved for a request blocked on a call.
	callCoreWeight = 0.25
	// usableRunsFraction is the fraction of maxRuns that may be running, paused or blocked on calls;
	// the rest is a reserve.
	usableRunsFraction = 0.7
	// growBelowUtilization is the CPU utilization (fraction of the cores) below which the limit may
	// grow.
	growBelowUtilization = 0.9
	// shrinkAboveUtilization is the CPU utilization (fraction of the cores) above which additional
	// runs don't increase the throughput.
	shrinkAboveUtilization = 0.985
	// maxReadDelayFraction is a fraction of the latency objective. If requests wait longer until they
	// are read, the goroutines that read them are starved of CPU time.
	maxReadDelayFraction = 0.22
	// starvedLimitDivisor defines the minimum limit, a third of the cores, for a server that reads
	// requests too slowly. The limit falls by 1 per gauge tick until that minimum.
	starvedLimitDivisor = 3
)

// canRun reports whether one more request may run: the concurrency limit isn't reached, and the
// server sustains the runs even if all requests that are blocked on calls resume at once.
func (c *Controller) canRun() bool {
	running := c.phaseCounts[phaseRunning]
	blockedOnCalls := c.phaseCounts[phaseAwaitingCall] + c.phaseCounts[phaseInCall]
	started := running + c.phaseCounts[phasePaused] + blockedOnCalls
	maxOthersStarted := max(1, c.maxRuns()*usableRunsFraction) - 1 // started requests besides the additional one
	return float64(running)+callCoreWeight*float64(blockedOnCalls) < float64(c.concurrencyLimit) &&
		float64(started) <= maxOthersStarted
}

// startRuns starts queued requests, oldest first, and then resumes paused requests.
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
		c.runTimes.resetOverdueCompletions()
	}
	r.everRan = true
	r.preempted = false
	c.emit(Run{r.id})
	c.changePhase(r, transitionRun)
}

// adjustConcurrencyLimit adjusts c at a gauge tick. The limit grows by the number of idle cores,
// less a reserve for calls in flight: a growth of one per gauge tick would reject requests for
// seconds while cores are idle. While the cores are busy the limit shrinks to the number of cores.
// It shrinks further while requests wait too long to be read: the goroutines that read requests
// compete with runs for the cores, and once they fall behind, every request is read too late.
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
