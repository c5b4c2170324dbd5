package session

import "time"

// LatencyEstimator estimates the latency of replies by its moving mean and mean deviation, and derives
// the reply timeout from them, as TCP does for its retransmission timeout (RFC 6298).
type LatencyEstimator struct {
	mean      time.Duration
	deviation time.Duration
}

const (
	initialLatency     = 500 * time.Millisecond
	latencyGain        = 0.1 // weight of one reply in the moving mean and deviation
	deviationFactor    = 4.0 // number of mean deviations added to the mean
	replyTimeoutFactor = 2.0 // the reply timeout as a multiple of that sum
	minReplyTimeout    = 600 * time.Millisecond
)

// NewLatencyEstimator returns an estimator without observations, which starts from initialLatency.
func NewLatencyEstimator() LatencyEstimator {
	return LatencyEstimator{mean: initialLatency, deviation: initialLatency / 2}
}

// Observe adds the latency of a reply, or the time after which the wait for a reply was given up.
func (e *LatencyEstimator) Observe(latency time.Duration) {
	e.deviation += time.Duration(latencyGain * float64((latency-e.mean).Abs()-e.deviation))
	e.mean += time.Duration(latencyGain * float64(latency-e.mean))
}

// ReplyTimeout returns how long to wait for a reply, at least minReplyTimeout.
func (e *LatencyEstimator) ReplyTimeout() time.Duration {
	return max(minReplyTimeout, time.Duration(replyTimeoutFactor*float64(e.mean+deviationFactor*e.deviation)))
}
