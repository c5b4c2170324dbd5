package admission

import "time"

// The idle timeout of connections, set at each gauge tick. With many callers
// each one seldom sends again soon, and an idle connection costs core time and a
// place in the connection table: it is closed at once. While nearly all requests
// are rejected, opening connections costs more: then they stay open, and a full
// table rejects callers at no cost to the cores.

const (
	// maxCallersPerCore: with no more callers than this per core, connections stay open.
	maxCallersPerCore = 16
	// minIdleTimeout is the shortest timeout that may be set.
	minIdleTimeout = 10 * time.Millisecond
	// growIdleRejectedFraction is the fraction of rejected requests above which the timeout grows.
	growIdleRejectedFraction = 0.85
	// shrinkIdleRejectedFraction is the fraction below which it shrinks.
	shrinkIdleRejectedFraction = 0.5
	// idleGrowthFactor per gauge tick, and idleShrinkDivisor: a tenth per gauge tick.
	idleGrowthFactor  = 4
	idleShrinkDivisor = 10
)

// updateIdleTimeout sets an idle timeout that has changed.
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
