package records

import "time"

// latencyEstimator estimates how long replies take, as a mean and a mean deviation, and from them
// how long a reply is waited for (as TCP does for its retransmissions, RFC 6298).
type latencyEstimator struct {
	mean      time.Duration
	deviation time.Duration
}

const (
	initialLatency     = 500 * time.Millisecond
	latencyGain        = 0.1 // weight of one reply in the mean and the deviation
	deviationFactor    = 4.0 // mean deviations that are added to the mean
	replyTimeoutFactor = 2.0 // of that sum: what takes longer counts as lost
	minReplyTimeout    = 600 * time.Millisecond
)

func newLatencyEstimator() latencyEstimator {
	return latencyEstimator{mean: initialLatency, deviation: initialLatency / 2}
}

// observe takes the latency of a reply, or the time after which one was given up.
func (e *latencyEstimator) observe(latency time.Duration) {
	e.deviation += time.Duration(latencyGain * float64((latency-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(latencyGain * float64(latency-e.mean))
}

// replyTimeout is how long the reply to a call that may be sent again is waited for.
func (e *latencyEstimator) replyTimeout() time.Duration {
	return max(minReplyTimeout, time.Duration(replyTimeoutFactor*float64(e.mean+deviationFactor*e.deviation)))
}
