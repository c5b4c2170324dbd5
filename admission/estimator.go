package admission

import (
	"math"
	"time"
)

// confidenceScale scales ε and the radius of the confidence set of the class probabilities. With
// the paper's constant, 1, the confidence intervals stay as wide as [Λmin, Λmax] for minutes.
const confidenceScale = 1.0 / 64

// arrivalEstimator estimates the arrival rate Λ from the arrivals of the current episode and the
// class probabilities p̂ from the arrivals of all episodes (section 4). Rates are in requests per
// second.
type arrivalEstimator struct {
	episode                 int           // k: number of the current episode, from 1
	startedAt               time.Duration // clock time at which the episode started
	length                  time.Duration // tk: length of the episode
	arrivals                int           // τ: number of arrivals in the episode
	meanInterarrivalSeconds float64       // 1/Λ̂: mean interarrival time in seconds, truncated by equation 10
	lastArrival             time.Duration // clock time of the latest arrival
	classCounts             []float64     // number of arrivals by class, over all episodes
	totalCount              float64       // sum of classCounts
	minRate                 float64       // Λmin: lower bound of the arrival rate
	maxRate                 float64       // Λmax: upper bound of the arrival rate
	logInverseDelta         float64       // log 1/δk, where δk is the error probability of the confidence intervals
}

// startEpisode resets the mean interarrival time and sets δk = 1/(μ·tk) (algorithm 3).
func (e *arrivalEstimator) startEpisode(now, length time.Duration, serviceRate, minRate, maxRate float64) {
	e.episode++
	e.startedAt = now
	e.length = length
	e.arrivals = 0
	e.meanInterarrivalSeconds = 0
	e.minRate = minRate
	e.maxRate = maxRate
	e.logInverseDelta = math.Max(1, math.Log(serviceRate*length.Seconds()))
}

// observe counts an arrival. Interarrival times above the truncation bound of equation 10 count as
// 0.
func (e *arrivalEstimator) observe(at time.Duration, class int) {
	gap := math.Max(0, (at - e.lastArrival).Seconds())
	e.lastArrival = max(e.lastArrival, at)
	e.classCounts[class]++
	e.totalCount++
	e.arrivals++
	if gap > math.Sqrt(2*float64(e.arrivals)/(e.minRate*e.minRate*e.logInverseDelta)) {
		gap = 0
	}
	e.meanInterarrivalSeconds += (gap - e.meanInterarrivalSeconds) / float64(e.arrivals)
}

// withdrawArrival reverts observe for an arrival that was canceled before it ran or could not be
// started. The interarrival times before and after the arrival are merged.
func (e *arrivalEstimator) withdrawArrival(at time.Duration, class int) {
	e.classCounts[class]--
	e.totalCount--
	if at >= e.startedAt && e.arrivals > 1 {
		e.arrivals--
		e.meanInterarrivalSeconds *= float64(e.arrivals+1) / float64(e.arrivals)
	}
}

// rateUpperBound is Λ̃, the upper confidence bound of Λ by proposition 7.1, from the arrivals of
// the current episode.
func (e *arrivalEstimator) rateUpperBound() float64 {
	if e.arrivals == 0 || e.meanInterarrivalSeconds <= 0 {
		return e.maxRate
	}
	rate := 1 / e.meanInterarrivalSeconds
	epsilon := confidenceScale * 4 / e.minRate * math.Sqrt(2/float64(e.arrivals)*e.logInverseDelta)
	bound := math.Min(e.maxRate, rate+e.maxRate*e.maxRate*epsilon)
	if rate*epsilon < 1 {
		bound = math.Min(bound, rate/(1-rate*epsilon))
	}
	return math.Max(bound, e.minRate)
}

// classProbabilities returns p̂(i) and the L1 radius of its confidence set (equation 9). Without
// arrivals the probabilities are equal and the confidence set contains every distribution.
func (e *arrivalEstimator) classProbabilities() (probabilities []float64, radius float64) {
	const maxL1Distance = 2 // the maximum L1 distance between two distributions
	probabilities = make([]float64, len(e.classCounts))
	if e.totalCount == 0 {
		for i := range probabilities {
			probabilities[i] = 1 / float64(len(probabilities))
		}
		return probabilities, maxL1Distance
	}
	for i, count := range e.classCounts {
		probabilities[i] = count / e.totalCount
	}
	classes := float64(len(probabilities))
	radius = confidenceScale * math.Sqrt(2*classes/e.totalCount*(e.logInverseDelta+math.Ln2))
	return probabilities, math.Min(maxL1Distance, radius)
}
