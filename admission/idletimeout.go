package admission

import "time"

// The idle timeout of connections, updated at each gauge tick. With many callers, each caller
// seldom sends its next request soon, and its idle connection costs CPU time and a slot in the
// connection table, so idle connections are closed quickly. While nearly all requests are rejected,
// accepting new connections costs more than keeping idle ones: connections stay open, and a full
// connection table rejects callers without CPU cost.

const (
	// maxCallersPerCore is the number of callers per core up to which no idle timeout is set.
	maxCallersPerCore = 16
	// minIdleTimeout is the minimum idle timeout.
	minIdleTimeout = 10 * time.Millisecond
	// growIdleRejectedFraction is the fraction of rejected requests above which the idle timeout
	// grows.
	growIdleRejectedFraction = 0.85
	// shrinkIdleRejectedFraction is the fraction of rejected requests below which the idle timeout
	// shrinks.
	shrinkIdleRejectedFraction = 0.5
	// Per gauge tick, the idle timeout is multiplied by idleGrowthFactor, or shrinks by 1/idleShrinkDivisor.
	idleGrowthFactor  = 4
	idleShrinkDivisor = 10
)

// updateIdleTimeout sets the idle timeout if it has changed.
func (c *Controller) updateIdleTimeout() {
	if c.settings.Callers <= maxCallersPerCore*c.settings.Cores {
		return
	}
	timeout := c.idleTimeout
	switch {
	case c.rejectedFraction > growIdleRejectedFraction:
		timeout *= idleGrowthFactor
	case c.rejectedFraction < shrinkIdleRejectedFraction:
		timeout -= timeout / idleShrinkDivisor
	}
	timeout = min(max(timeout, minIdleTimeout), c.settings.MaxIdleTimeout)
	if timeout != c.idleTimeout {
		c.idleTimeout = timeout
		c.emit(SetIdleTimeout{timeout})
	}
}
