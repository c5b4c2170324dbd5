package admission

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// newEstimator has Λmin 2, Λmax 100 and log 1/δ = 2.
func newEstimator() *estimator {
	e := &estimator{counts: make([]float64, 2)}
	e.begin(0, time.Second, math.Exp(2), 2, 100)
	return e
}

func TestEstimatorRunningMean(t *testing.T) {
	e := newEstimator()
	for _, at := range []time.Duration{100 * ms, 300 * ms, 600 * ms} {
		e.arrive(at, 0)
	}
	if want := 0.2; math.Abs(e.gap-want) > 1e-12 { // (0.1+0.2+0.3)/3
		t.Errorf("mean gap %v, want %v", e.gap, want)
	}
}

func TestEstimatorTruncates(t *testing.T) {
	e := newEstimator()
	e.arrive(400*ms, 0)  // kept: √(2·1/(4·2)) = 0.5
	e.arrive(1500*ms, 0) // 1.1 s is over √(2·2/(4·2)) = 0.707: counts as 0
	if want := 0.2; math.Abs(e.gap-want) > 1e-12 {
		t.Errorf("mean gap %v, want %v", e.gap, want)
	}
}

func TestEstimatorUpper(t *testing.T) {
	e := newEstimator()
	if got := e.upper(); got != 100 {
		t.Errorf("without arrivals %v, want Λmax", got)
	}
	for i := 1; i <= 400; i++ {
		e.arrive(time.Duration(i)*100*ms, 0)
	}
	// Λ̂ = 10, ε = confidence · 4/2 · √(2/400·2) = confidence · 0.2
	eps := confidence * 0.2
	want := 10 / (1 - 10*eps)
	if got := e.upper(); math.Abs(got-want) > 1e-6 {
		t.Errorf("Λ̃ %v, want %v", got, want)
	}
	e = newEstimator()
	e.arrive(ms, 0)
	if got := e.upper(); got != 100 {
		t.Errorf("one arrival: Λ̃ %v, want Λmax", got)
	}
}

func TestEstimatorSharesStayAcrossEpisodes(t *testing.T) {
	e := newEstimator()
	e.arrive(ms, 0)
	e.arrive(2*ms, 1)
	e.arrive(3*ms, 1)
	e.begin(4*ms, time.Second, math.Exp(2), 2, 100)
	e.arrive(5*ms, 1)
	p, eps := e.shares()
	if p[0] != 0.25 || p[1] != 0.75 {
		t.Errorf("shares %v", p)
	}
	if want := math.Min(2, confidence*math.Sqrt(2*2/4.0*(2+math.Ln2))); math.Abs(eps-want) > 1e-12 {
		t.Errorf("radius %v, want %v", eps, want)
	}
	if e.tau != 1 || e.gap != 0.002 {
		t.Errorf("the gap's mean was not reset: %d arrivals, %v", e.tau, e.gap)
	}
}
