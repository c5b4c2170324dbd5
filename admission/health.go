package admission

// The answer to health checks, set at each gauge tick. Inputs: draining, runs
// that should have ended and did not, and how long requests wait to be read.

const (
	// unhealthyAfterMissedRuns is how many expected completions may be missing
	// before the server calls itself unhealthy.
	unhealthyAfterMissedRuns = 20.0
	// unhealthyReadDelayFraction, of the objective, is the wait to be read beyond which too
	// little time is left to run.
	unhealthyReadDelayFraction = 0.7
)

// updateHealth reports a change of health. The delay at which a server whose reading
// is starved turns unhealthy is above the one at which it turns healthy again, so that
// the answer does not flap.
func (c *Controller) updateHealth() {
	starved := c.readDelayFraction > unhealthyReadDelayFraction || !c.healthy && c.readDelayFraction > maxReadDelayFraction
	healthy := !c.draining && c.runTimes.missedRuns() < unhealthyAfterMissedRuns && !starved
	if healthy != c.healthy {
		c.healthy = healthy
		c.emit(SetHealth{Healthy: healthy, Cached: true})
	}
}
