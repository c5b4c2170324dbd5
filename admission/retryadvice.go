package admission

import (
	"math"
	"time"
)

// Retry advice: whether and when the caller of a rejected request should retry. Inputs: the recent
// arrival rate, the capacity cμ, the policy's thresholds, and the recent fractions of requests that
// were rejected here or marked as retries.

const (
	// retryAfterPerExcessLoad is the retry delay for each multiple of the capacity cμ by which the arrival
	// rate exceeds cμ.
	retryAfterPerExcessLoad = 100 * time.Millisecond
	// futileRejectedFraction is the fraction of rejected requests above which retries at other servers
	// are futile, if the fraction of retries exceeds futileRetryFraction too.
	futileRejectedFraction = 0.2
	// futileRetryFraction is the fraction of retries among the arrivals above which other servers must
	// also be rejecting requests.
	futileRetryFraction = 0.1
	// surelyFutileRejectedFraction is the fraction of rejected requests above which retries at other
	// servers are futile whatever the fraction of retries.
	surelyFutileRejectedFraction = 0.5
)

// retryAfter is the greater of two delays: retryAfterPerExcessLoad for each multiple of cμ by which the
// recent arrival rate exceeds cμ, and the time in which the capacity cμ completes the requests
// above the threshold of the class plus one. The second delay is omitted in the first episode. The
// result is at least 0 and at most MaxRetryAfter. A draining server always returns MaxRetryAfter.
func (c *Controller) retryAfter(class int) time.Duration {
	if c.draining {
		return c.settings.MaxRetryAfter
	}
	seconds := (c.recentArrivalRate()/c.serviceCapacity() - 1) * retryAfterPerExcessLoad.Seconds()
	if c.estimator.episode > 1 { // in the first episode μ is not yet measured
		excess := max(0, c.occupancy()-c.policy.threshold(class)) + 1
		seconds = math.Max(seconds, float64(excess)/c.serviceCapacity())
	}
	return min(c.settings.MaxRetryAfter, time.Duration(math.Max(0, seconds)*float64(time.Second)))
}

// retriesFutile reports whether another server would probably reject the request too. In a large
// fleet one server may be full while most have free capacity, so rejections at this server alone
// indicate that others reject too only if most requests are rejected. A rejection below the first
// tier wastes the work of the tiers above, and a retry of it always counts as futile.
func (c *Controller) retriesFutile() bool {
	othersReject := c.retryFraction > futileRetryFraction || !c.settings.RetriesMarked
	return c.settings.TiersAbove > 0 || c.rejectedFraction > surelyFutileRejectedFraction ||
		c.rejectedFraction > futileRejectedFraction && othersReject
}

// observeRetryMark updates rejectedFraction and retryFraction for one arrival. If the request is
// rejected, countRejection adds it to rejectedFraction later.
func (c *Controller) observeRetryMark(markedRetry bool) {
	c.rejectedFraction -= c.rejectedFraction * requestSmoothingFactor
	c.retryFraction -= c.retryFraction * requestSmoothingFactor
	if markedRetry {
		c.retryFraction += requestSmoothingFactor
	}
}

// countRejection adds a rejected request to rejectedFraction.
func (c *Controller) countRejection() { c.rejectedFraction += requestSmoothingFactor }
