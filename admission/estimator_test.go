package admission

import (
	"math"
	"testing"
	"time"
)

// newEstimator returns an estimator with Λmin 2, Λmax 100 and log 1/δ = 2.
func newEstimator() *arrivalEstimator {
	e := &arrivalEstimator{classCounts: make([]float64, 2)}
	e.startEpisode(0, time.Second, math.Exp(2), 2, 100)
	return e
}

func TestEstimatorRunningMean(t *testing.T) {
	e := newEstimator()
	for _, at := range []time.Duration{100 * ms, 300 * ms, 600 * ms} {
		e.observe(at, 0)
	}
	if want := 0.2; math.Abs(e.meanInterarrivalSeconds-want) > 1e-12 { // (0.1+0.2+0.3)/3
		t.Errorf("mean interarrival time %v, want %v", e.meanInterarrivalSeconds, want)
	}
}

func TestEstimatorTruncatesLongGaps(t *testing.T) {
	e := newEstimator()
	e.observe(400*ms, 0)  // within the bound √(2·1/(4·2)) = 0.5 s
	e.observe(1500*ms, 0) // 1.1 s exceeds the bound √(2·2/(4·2)) = 0.707 s and counts as 0
	if want := 0.2; math.Abs(e.meanInterarrivalSeconds-want) > 1e-12 {
		t.Errorf("mean interarrival time %v, want %v", e.meanInterarrivalSeconds, want)
	}
}

func TestEstimatorRateUpperBound(t *testing.T) {
	e := newEstimator()
	if got := e.rateUpperBound(); got != 100 {
		t.Errorf("without arrivals: Λ̃ %v, want Λmax", got)
	}
	for i := 1; i <= 400; i++ {
		e.observe(time.Duration(i)*100*ms, 0)
	}
	// Λ̂ = 10, ε = confidenceScale · 4/2 · √(2/400·2) = confidenceScale · 0.2
	epsilon := confidenceScale * 0.2
	want := 10 / (1 - 10*epsilon)
	if got := e.rateUpperBound(); math.Abs(got-want) > 1e-6 {
		t.Errorf("Λ̃ %v, want %v", got, want)
	}
	e = newEstimator()
	e.observe(ms, 0)
	if got := e.rateUpperBound(); got != 100 {
		t.Errorf("after one arrival: Λ̃ %v, want Λmax", got)
	}
}

func TestClassProbabilitiesSpanEpisodes(t *testing.T) {
	e := newEstimator()
	e.observe(ms, 0)
	e.observe(2*ms, 1)
	e.observe(3*ms, 1)
	e.startEpisode(4*ms, time.Second, math.Exp(2), 2, 100)
	e.observe(5*ms, 1)
	probabilities, radius := e.classProbabilities()
	if probabilities[0] != 0.25 || probabilities[1] != 0.75 {
		t.Errorf("class probabilities %v, want 0.25 and 0.75", probabilities)
	}
	if want := math.Min(2, confidenceScale*math.Sqrt(2*2/4.0*(2+math.Ln2))); math.Abs(radius-want) > 1e-12 {
		t.Errorf("radius %v, want %v", radius, want)
	}
	if e.arrivals != 1 || e.meanInterarrivalSeconds != 0.002 {
		t.Errorf("after the start of an episode: %d arrivals with mean interarrival time %v, want 1 and 0.002", e.arrivals, e.meanInterarrivalSeconds)
	}
}
