package admission

import "time"

// Draining: after the notice that the server will be stopped, requests that
// arrive within DrainGracePeriod still run, later ones are rejected, and all are
// answered before the stop. Health turns bad at once.

// responseMarginBeforeStop is the time before the stop by which all is answered.
const responseMarginBeforeStop = 40 * time.Millisecond

// startDraining begins to startDraining; a second notice is ignored.
func (c *Controller) startDraining(e Drain) {
	if c.draining {
		return
	}
	c.draining = true
	c.drainStartedAt = c.now - e.Age
	c.stopAt = c.now + e.StopIn
	for _, r := range c.requests {
		r.deadline = min(r.deadline, c.responseCutoff())
	}
	c.emit(SetHealth{Healthy: false, Cached: true})
}

// responseCutoff is the clock time by which a draining server has answered all.
func (c *Controller) responseCutoff() time.Duration {
	return max(c.now, c.stopAt-responseMarginBeforeStop)
}

// arrivedAfterDrainGrace reports whether a request arrived too late to run. A stop that
// comes before the end of the grace does not shorten it here; the server closes its
// listeners by then (internal/proxy/dispatch/drain.go).
func (c *Controller) arrivedAfterDrainGrace(r *request) bool {
	return c.draining && r.arrivedAt > c.drainStartedAt+c.settings.DrainGracePeriod
}
