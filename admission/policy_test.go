package admission

import (
	"math"
	"math/rand"
	"testing"
)

// bruteForceGain returns the maximum gain over all policies of a small model, computed from the
// stationary distribution of each policy.
func bruteForceGain(m admissionModel) float64 {
	m.fillRatesAndRewards()
	n := len(m.classProbabilities)
	best := math.Inf(-1)
	policy := make([]int, m.maxState) // by state; bit i is set if class i is admitted
	for {
		weight, sum, total := 1.0, 0.0, 0.0
		for s := 0; s <= m.maxState; s++ {
			rate, reward := 0.0, 0.0
			if s < m.maxState {
				for i := 0; i < n; i++ {
					if policy[s]&(1<<i) != 0 {
						rate += m.rates[s][i]
						reward += m.rates[s][i] * m.rewards[s][i]
					}
				}
			}
			sum, total = sum+weight*reward, total+weight
			weight *= rate / (float64(min(s+1, m.concurrency)) * m.serviceRate)
		}
		best = math.Max(best, sum/total)
		s := 0
		for ; s < m.maxState; s++ {
			if policy[s]++; policy[s] < 1<<n {
				break
			}
			policy[s] = 0
		}
		if s == m.maxState {
			return best
		}
	}
}

func newTestModel(concurrency, maxState int, serviceRate, arrivalRate, radius float64,
	weights, costs, probabilities []float64) admissionModel {
	return admissionModel{
		concurrency:        concurrency,
		maxState:           maxState,
		serviceRate:        serviceRate,
		arrivalRate:        arrivalRate,
		classProbabilities: probabilities,
		confidenceRadius:   radius,
		reward: func(class, state int) float64 {
			return weights[class] - costs[class]*expectedWait(state, concurrency, serviceRate)
		},
	}
}

func TestPolicyIterationMatchesBruteForce(t *testing.T) {
	tests := map[string]admissionModel{
		"underload":                          newTestModel(2, 5, 1, 0.8, 0, []float64{3, 1}, []float64{0.5, 0.5}, []float64{0.5, 0.5}),
		"overload":                           newTestModel(2, 5, 1, 9, 0, []float64{10, 1}, []float64{1, 0.2}, []float64{0.2, 0.8}),
		"c is S":                             newTestModel(4, 4, 1, 6, 0, []float64{5, 1}, []float64{1, 1}, []float64{0.3, 0.7}),
		"three classes":                      newTestModel(1, 4, 2, 3, 0, []float64{4, 2, 1}, []float64{2, 0.5, 0.1}, []float64{0.2, 0.3, 0.5}),
		"optimistic class probabilities":     newTestModel(2, 4, 1, 4, 0.3, []float64{4, 2}, []float64{3, 0.1}, []float64{0.4, 0.6}),
		"one class":                          newTestModel(1, 6, 1, 5, 0, []float64{1}, []float64{0.4}, []float64{1}),
		"waiting costs more than the reward": newTestModel(1, 5, 1, 5, 0, []float64{1, 1}, []float64{2, 2}, []float64{0.5, 0.5}),
	}
	rnd := rand.New(rand.NewSource(1))
	for i := 0; i < 20; i++ {
		weights := []float64{rnd.Float64() * 10, rnd.Float64() * 10}
		costs := []float64{rnd.Float64() * 3, rnd.Float64() * 3}
		probability := rnd.Float64()
		tests["random "+string(rune('a'+i))] = newTestModel(1+rnd.Intn(3), 5, 0.5+rnd.Float64(), rnd.Float64()*8,
			rnd.Float64()*0.4, weights, costs, []float64{probability, 1 - probability})
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			p := iteratePolicy(m)
			want := bruteForceGain(m)
			if math.Abs(p.gain-want) > 1e-9*(1+math.Abs(want)) {
				t.Errorf("gain %v, want %v by brute force", p.gain, want)
			}
			checkBiasEquation(t, p)
			if p.iterations >= maxPolicyIterations {
				t.Errorf("policy iteration did not converge in %d iterations", p.iterations)
			}
		})
	}
}

// checkBiasEquation checks that the gain and the bias satisfy equation 3 in every state.
func checkBiasEquation(t *testing.T, p policy) {
	t.Helper()
	m := p.model
	for s := 0; s <= m.maxState; s++ {
		right := 0.0
		if s < m.maxState {
			for i := range m.classProbabilities {
				if m.admits(i, s, p.bias[s]) {
					right += m.rates[s][i] * (m.rewards[s][i] - p.bias[s])
				}
			}
		}
		if s > 0 {
			right += float64(min(s, m.concurrency)) * m.serviceRate * p.bias[s-1]
		}
		if math.Abs(p.gain-right) > 1e-6*(1+math.Abs(p.gain)) {
			t.Errorf("equation 3 in state %d: right side %v, want the gain %v", s, right, p.gain)
		}
	}
}

func TestPolicyOfLargeModelIsFinite(t *testing.T) {
	for _, load := range []float64{0.01, 0.5, 0.99, 1, 1.01, 3, 100} {
		m := newTestModel(8, maxStates, 3, load*24, 0.1, []float64{10, 1}, []float64{4, 0.4}, []float64{0.2, 0.8})
		p := iteratePolicy(m)
		if math.IsNaN(p.gain) || math.IsInf(p.gain, 0) {
			t.Fatalf("load %v: gain %v, want a finite value", load, p.gain)
		}
		checkBiasEquation(t, p)
	}
}

func TestPolicyRejectsLowWeightFirst(t *testing.T) {
	p := iteratePolicy(newTestModel(4, 40, 1, 20, 0, []float64{10, 1}, []float64{1, 0.1}, []float64{0.2, 0.8}))
	threshold := func(i int) int {
		s := 0
		for s < p.model.maxState && p.model.admits(i, s, p.bias[s]) {
			s++
		}
		return s
	}
	if high, low := threshold(0), threshold(1); low >= high {
		t.Errorf("threshold %d of the high-weight class, %d of the low-weight class, want the high-weight one greater", high, low)
	}
}

func TestExpectedWait(t *testing.T) {
	for _, tt := range []struct {
		s, c int
		want float64
	}{{0, 2, 0}, {1, 2, 0}, {2, 2, 0.25}, {5, 2, 1}} {
		if got := expectedWait(tt.s, tt.c, 2); got != tt.want {
			t.Errorf("s %d, c %d: expected wait %v, want %v", tt.s, tt.c, got, tt.want)
		}
	}
}

func TestOptimisticProbabilities(t *testing.T) {
	for _, tt := range []struct {
		radius float64
		want   []float64
	}{
		{0, []float64{0.2, 0.3, 0.5}},
		{0.2, []float64{0.2, 0.4, 0.4}},
		{1.2, []float64{0.1, 0.9, 0}},
		{2, []float64{0, 1, 0}},
	} {
		got := optimisticProbabilities([]float64{0.2, 0.3, 0.5}, tt.radius, []int{1, 0, 2})
		for i := range got {
			if math.Abs(got[i]-tt.want[i]) > 1e-12 {
				t.Errorf("radius %v: probabilities %v, want %v", tt.radius, got, tt.want)
				break
			}
		}
	}
}
