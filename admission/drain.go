package admission

import "time"

// Draining: after the shutdown signal, requests that arrive within DrainGracePeriod still run and
// later requests are rejected. All requests are answered before the server is stopped. The server
// reports itself unhealthy immediately.

// responseMarginBeforeStop is how long before the server is stopped all requests must be answered.
const responseMarginBeforeStop = 40 * time.Millisecond

// startDraining starts the drain; a second Drain event is ignored.
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

// responseCutoff is the clock time by which a draining server must have answered all requests.
func (c *Controller) responseCutoff() time.Duration {
	return max(c.now, c.stopAt-responseMarginBeforeStop)
}

// arrivedAfterDrainGrace reports whether a request arrived too late to run. The grace period is not
// shortened if the server is stopped before the period ends; the server closes its listeners before
// the stop (internal/proxy/dispatch/drain.go).
func (c *Controller) arrivedAfterDrainGrace(r *request) bool {
	return c.draining && r.arrivedAt > c.drainStartedAt+c.settings.DrainGracePeriod
}
