package admission

// The response to health checks, updated at each gauge tick. Inputs: draining, the number of
// overdue run completions, and how long requests wait to be read.

const (
	// unhealthyAfterOverdueCompletions is the number of overdue run completions from which the server
	// reports itself unhealthy.
	unhealthyAfterOverdueCompletions = 20.0
	// unhealthyReadDelayFraction is the fraction of the latency objective above which the time until a
	// request is read leaves too little time for its run.
	unhealthyReadDelayFraction = 0.7
)

// updateHealth reports a change of health. A server that reads requests too slowly becomes
// unhealthy above unhealthyReadDelayFraction and healthy again only at maxReadDelayFraction or
// below; this hysteresis prevents flapping.
func (c *Controller) updateHealth() {
	starved := c.readDelayFraction > unhealthyReadDelayFraction || !c.healthy && c.readDelayFraction > maxReadDelayFraction
	healthy := !c.draining && c.runTimes.overdueCompletions() < unhealthyAfterOverdueCompletions && !starved
	if healthy != c.healthy {
		c.healthy = healthy
		c.emit(SetHealth{Healthy: healthy, Cached: true})
	}
}
