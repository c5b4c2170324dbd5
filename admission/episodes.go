package admission

import (
	"fmt"
	"math"
	"time"
)

// Doubling episodes (section 4, algorithm 3): the policy is solved again at the end of each
// episode, and each episode is twice as long as the previous one. An episode ends early if the
// observed arrival rate leaves the confidence set of the episode's policy.

const (
	// firstEpisodeLength is t1: long enough for some tens of arrivals, and short enough that the first
	// learned policy applies soon after the start.
	firstEpisodeLength = time.Second / 2
	// minRateOfCapacity is Λmin as a multiple of the capacity cμ: at lower arrival rates admission
	// control has no effect.
	minRateOfCapacity = 0.1
	// maxRateOfCapacity is Λmax as a multiple of the capacity cμ: at higher arrival rates the
	// thresholds hardly change.
	maxRateOfCapacity = 2.5
	// maxRateOfRecentRate is Λmax as a multiple of the recent arrival rate, if that is greater than
	// maxRateOfCapacity·cμ (appendix H).
	maxRateOfRecentRate = 2
	// burstDeviations is the number of Poisson standard deviations by which the recent arrival rate
	// must exceed Λ̃ to end an episode.
	burstDeviations = 3.5
	// maxServiceRateDrift is the relative change of μ above which the policy is solved again. It
	// exceeds the estimation error of μ.
	maxServiceRateDrift = 0.25
	// arrivalWindowGaugeTicks is the length of the arrival window in gauge ticks; 4 gauge ticks
	// are 1 s.
	arrivalWindowGaugeTicks = 4
	// maxStateFactor is S as a multiple of the number of runs that the server sustains: a request that
	// is queued in a higher state would miss its latency objective.
	maxStateFactor = 4
	// maxStates bounds S, and thereby the time to solve a policy.
	maxStates = 400
)

// arrivalWindow counts the arrivals in each of the latest gauge ticks, the current one first. A
// single count becomes negative if an arrival of an earlier gauge tick is withdrawn; the sum
// remains correct.
type arrivalWindow [arrivalWindowGaugeTicks]int

// rate is the mean arrival rate over the window, in requests per second.
func (w *arrivalWindow) rate() float64 {
	recent := 0
	for _, count := range w {
		recent += count
	}
	return float64(recent) / (gaugeInterval.Seconds() * arrivalWindowGaugeTicks)
}

// startGaugeTick starts the count of a new gauge tick.
func (w *arrivalWindow) startGaugeTick() {
	copy(w[1:], w[:])
	w[0] = 0
}

// recentArrivalRate is the arrival rate over the last second, in requests per second.
func (c *Controller) recentArrivalRate() float64 { return c.recentArrivals.rate() }

// serviceCapacity is cμ, in completed runs per second.
func (c *Controller) serviceCapacity() float64 {
	return float64(c.concurrencyLimit) * c.runTimes.serviceRate()
}

// startEpisode starts an episode of the given length. Λmax is learned (appendix H): it is at least
// a multiple of the recent arrival rate, so that the upper bound of the arrival rate is valid from
// the start of the episode.
func (c *Controller) startEpisode(length time.Duration) {
	capacity := c.serviceCapacity()
	maxRate := math.Max(capacity*maxRateOfCapacity, maxRateOfRecentRate*c.recentArrivalRate())
	c.estimator.startEpisode(c.now, length, c.runTimes.serviceRate(), capacity*minRateOfCapacity, maxRate)
}

// updatePolicy solves the policy again if the episode has reached its length, if a burst of
// arrivals occurs, or if μ or c has changed. A burst resets the episode length to the first length.
// If only μ or c has changed, the current episode continues with the new policy.
func (c *Controller) updatePolicy() {
	recent := c.recentArrivalRate()
	expired := c.now >= c.estimator.startedAt+c.estimator.length
	burst := c.isBurst(recent)
	if !burst && !c.serviceDrifted() && !expired {
		return
	}
	arrivalRate := c.policy.model.arrivalRate
	if expired || burst {
		arrivalRate = c.estimator.rateUpperBound()
		if burst {
			arrivalRate = math.Max(arrivalRate, recent)
		}
		c.startEpisode(c.nextEpisodeLength(expired, burst))
	}
	c.solvePolicy(arrivalRate)
	c.logPolicy()
}

// isBurst reports whether the recent arrival rate exceeds Λ̃ by more than random variation
// explains. In the first episode Λ̃ is Λmax, which is not an estimate.
func (c *Controller) isBurst(recent float64) bool {
	plannedRate := c.policy.model.arrivalRate
	return c.estimator.episode > 1 && recent > plannedRate+burstDeviations*math.Sqrt(plannedRate)
}

// serviceDrifted reports whether μ, by more than maxServiceRateDrift, or c differs from the value
// for which the policy was solved.
func (c *Controller) serviceDrifted() bool {
	m := &c.policy.model
	rate := c.runTimes.serviceRate()
	return rate/m.serviceRate > 1+maxServiceRateDrift || m.serviceRate/rate > 1+maxServiceRateDrift ||
		m.concurrency != c.concurrencyLimit
}

// nextEpisodeLength is the length of the episode that follows the current one.
func (c *Controller) nextEpisodeLength(expired, burst bool) time.Duration {
	switch {
	case c.estimator.episode > 1 && expired:
		return c.estimator.length * 2
	case burst:
		return firstEpisodeLength
	}
	return c.estimator.length
}

// solvePolicy solves the optimistic model (section 4.2) for the arrival rate Λ̃.
func (c *Controller) solvePolicy(arrivalRate float64) {
	probabilities, radius := c.estimator.classProbabilities()
	weights, costs := c.classRewards(probabilities)
	c.classWeights = weights
	serviceRate := c.runTimes.serviceRate()
	concurrency := c.concurrencyLimit
	c.policy = iteratePolicy(admissionModel{
		concurrency:        concurrency,
		maxState:           c.maxState(),
		serviceRate:        serviceRate,
		arrivalRate:        arrivalRate,
		classProbabilities: probabilities,
		confidenceRadius:   radius,
		reward: func(class, state int) float64 {
			return weights[class] - costs[class]*expectedWait(state, concurrency, serviceRate)
		},
	})
}

// maxState is S: maxStateFactor times the number of sustained runs, at most maxStates and at least
// c+1.
func (c *Controller) maxState() int {
	sustainedRuns := int(maxStateFactor * float64(c.settings.Cores) * c.settings.MaxRunsPerCore)
	return max(c.concurrencyLimit+1, min(maxStates, sustainedRuns))
}

// logPolicy logs the policy if it differs from the last logged policy.
func (c *Controller) logPolicy() {
	m := &c.policy.model
	text := fmt.Sprintf("episode %d Λ̃ %.1f cμ %.1f c %d ρ %.2f thresholds", c.estimator.episode,
		m.arrivalRate, float64(m.concurrency)*m.serviceRate, m.concurrency, c.policy.gain)
	for i := range m.classProbabilities {
		text += fmt.Sprintf(" %d", c.policy.threshold(i))
	}
	if text != c.lastLoggedPolicy {
		c.lastLoggedPolicy = text
		c.emit(LogMessage{text})
	}
}
