package session

import "time"

// LatencyEstimator estimates how long replies take, as a mean and a mean deviation, and from them
// how long a reply is waited for (as TCP does for its retransmissions, RFC 6298).
type LatencyEstimator struct {
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

// NewLatencyEstimator returns an estimator that has observed nothing yet.
func NewLatencyEstimator() LatencyEstimator {
	return LatencyEstimator{mean: initialLatency, deviation: initialLatency / 2}
}

// Observe takes the latency of a reply, or the time after which one was given up.
func (e *LatencyEstimator) Observe(latency time.Duration) {
	e.deviation += time.Duration(latencyGain * float64((latency-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(latencyGain * float64(latency-e.mean))
}

// ReplyTimeout is how long a reply is waited for, at least minReplyTimeout.
func (e *LatencyEstimator) ReplyTimeout() time.Duration {
	return max(minReplyTimeout, time.Duration(replyTimeoutFactor*float64(e.mean+deviationFactor*e.deviation)))
}
