package admission

import (
	"math"
	"time"
)

// Retry advice: what a rejection asks of the caller. Inputs: the recent arrival
// rate, cμ, the policy's thresholds, and the fractions of the requests read
// lately that were rejected here or marked as retries.

const (
	// retryAfterPerExcess is the advice for each multiple of cμ by which arrivals exceed it.
	retryAfterPerExcess = 100 * time.Millisecond
	// futileRejectedFraction is the fraction of rejected requests from which retries
	// elsewhere are futile, if retries arrive too.
	futileRejectedFraction = 0.2
	// futileRetryFraction is the fraction of retries that shows that others reject as much.
	futileRetryFraction = 0.1
	// surelyFutileRejectedFraction is the fraction of rejected requests beyond which retries
	// elsewhere are futile in any case.
	surelyFutileRejectedFraction = 0.5
)

// retryAfter is the longer of two times: retryAfterPerExcess for each multiple of cμ
// by which the recent arrivals exceed it, and the time that cμ needs for the requests
// above the threshold of the class and one more. The second is left out in the first
// episode. The result is at least 0 and at most MaxRetryAfter, which a draining server
// gives in any case.
func (c *Controller) retryAfter(class int) time.Duration {
	if c.draining {
		return c.settings.MaxRetryAfter
	}
	seconds := (c.recentArrivalRate()/c.serviceCapacity() - 1) * retryAfterPerExcess.Seconds()
	if c.estimator.episode > 1 { // before that μ is a guess
		excess := max(0, c.occupancy()-c.policy.threshold(class)) + 1
		seconds = math.Max(seconds, float64(excess)/c.serviceCapacity())
	}
	return min(c.settings.MaxRetryAfter, time.Duration(math.Max(0, seconds)*float64(time.Second)))
}

// retriesFutile reports whether another server would reject the request too. In a
// large fleet one server may be full while most have capacity: rejections here
// alone don't show it unless most requests are rejected. Rejections below
// the first tier waste the work of the tiers above, and are always final.
func (c *Controller) retriesFutile() bool {
	othersReject := c.retryFraction > futileRetryFraction || !c.settings.RetriesMarked
	return c.settings.TiersAbove > 0 || c.rejectedFraction > surelyFutileRejectedFraction ||
		c.rejectedFraction > futileRejectedFraction && othersReject
}

// observeRetryMark lets one arrival fade the fractions of rejected requests and of
// retries, and adds it to the second if it is marked. countRejection adds it to the
// first if it is rejected.
func (c *Controller) observeRetryMark(markedRetry bool) {
	c.rejectedFraction -= c.rejectedFraction * requestSmoothingFactor
	c.retryFraction -= c.retryFraction * requestSmoothingFactor
	if markedRetry {
		c.retryFraction += requestSmoothingFactor
	}
}

// countRejection adds a rejection to the fraction of rejected requests.
func (c *Controller) countRejection() { c.rejectedFraction += requestSmoothingFactor }
