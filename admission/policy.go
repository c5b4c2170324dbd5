package admission

import (
	"math"
	"slices"
	"sort"
)

// The admission Markov decision process (MDP) and its solution by the policy iteration PI-B
// (sections 2, 3 and 5).
//
// A server is modeled as an M/M/c/S queue with several classes of requests. The state s is the
// number of requests queued or running. Policy iteration finds the policy with the maximum mean
// reward per second (gain) for the model that the fields of admissionModel describe.

const (
	// maxPolicyIterations bounds the number of iterations of policy iteration.
	maxPolicyIterations = 60
	// tieTolerance is the relative difference below which a reward counts as equal to the bias
	// difference.
	tieTolerance = 1e-9
	// rescaleWeight is the unnormalized state probability above which the sums of equation 11 are
	// scaled down, to prevent an overflow.
	rescaleWeight = 1e100
)

// admissionModel is the MDP of one server.
type admissionModel struct {
	concurrency        int       // c: maximum number of concurrent runs
	maxState           int       // S: maximum number of requests queued or running
	serviceRate        float64   // μ: completions per second of one run
	arrivalRate        float64   // Λ̃: requests per second
	classProbabilities []float64 // p̂(i): probability that an arrival belongs to class i
	confidenceRadius   float64   // radius of the confidence set, an L1 ball around classProbabilities (equation 9)
	reward             func(class, state int) float64

	rates   [][]float64 // λ̃(i)(s) in requests per second, by state and class
	rewards [][]float64 // r(i)(s), by state and class
}

// policy is the solution of a model: class i is admitted in state s if r(i)(s) ≥ bias[s].
type policy struct {
	gain       float64   // ρ: mean reward per second
	bias       []float64 // bias differences ∇h(s) for s = 0 … S-1
	iterations int       // number of policy iterations
	model      admissionModel
}

// expectedWait is E[W(s)] in seconds: the mean of Erlang(s-c+1, cμ), which is the waiting time of a
// request that is admitted in state s.
func expectedWait(state, concurrency int, serviceRate float64) float64 {
	if state < concurrency {
		return 0
	}
	return float64(state-concurrency+1) / (float64(concurrency) * serviceRate)
}

// optimisticProbabilities shifts up to radius/2 of probability from the classes with the smallest
// reward to the class with the greatest reward, which maximizes the gain over the confidence set
// (theorem 4.3). byReward lists the classes by decreasing reward.
func optimisticProbabilities(probabilities []float64, radius float64, byReward []int) []float64 {
	optimistic := slices.Clone(probabilities)
	best := byReward[0]
	shift := math.Min(radius/2, 1-optimistic[best])
	optimistic[best] += shift
	for k := len(byReward) - 1; k > 0 && shift > 0; k-- {
		worst := byReward[k]
		moved := math.Min(shift, optimistic[worst])
		optimistic[worst] -= moved
		shift -= moved
	}
	return optimistic
}

// fillRatesAndRewards computes the arrival rates and rewards of each state and class.
func (m *admissionModel) fillRatesAndRewards() {
	classes := len(m.classProbabilities)
	byReward := make([]int, classes)
	for i := range byReward {
		byReward[i] = i
	}
	for s := range m.maxState {
		rewards := make([]float64, classes)
		for i := range rewards {
			rewards[i] = m.reward(i, s)
		}
		sort.SliceStable(byReward, func(a, b int) bool { return rewards[byReward[a]] > rewards[byReward[b]] })
		rates := optimisticProbabilities(m.classProbabilities, m.confidenceRadius, byReward)
		for i := range rates {
			rates[i] *= m.arrivalRate
		}
		m.rates = append(m.rates, rates)
		m.rewards = append(m.rewards, rewards)
	}
}

// iteratePolicy runs PI-B until an iteration leaves the policy unchanged. The first iteration never
// ends the loop: its initial bias is 0 in every state and is not the bias of any policy.
func iteratePolicy(m admissionModel) policy {
	m.fillRatesAndRewards()
	p := policy{bias: make([]float64, m.maxState), model: m}
	for p.iterations = 1; ; p.iterations++ {
		next := make([]float64, m.maxState)
		p.gain = m.evaluate(p.bias, next)
		stable := p.iterations > 1 && m.samePolicy(p.bias, next)
		p.bias = next
		if stable || p.iterations == maxPolicyIterations {
			return p
		}
	}
}

// samePolicy reports whether both biases admit the same classes in every state.
func (m *admissionModel) samePolicy(a, b []float64) bool {
	for s := range m.maxState {
		for i := range m.classProbabilities {
			if m.admits(i, s, a[s]) != m.admits(i, s, b[s]) {
				return false
			}
		}
	}
	return true
}

// threshold is the lowest state in which the class is rejected.
func (p *policy) threshold(class int) int {
	s := 0
	for s < p.model.maxState && p.model.admits(class, s, p.bias[s]) {
		s++
	}
	return s
}

// admits reports whether the policy with the given bias difference admits the class in the state.
// Ties and rounding errors are resolved in favor of the class.
func (m *admissionModel) admits(class, state int, bias float64) bool {
	return m.rewards[state][class] >= bias-tieTolerance*(1+math.Abs(bias))
}

// departureRate is μ(s) = min(s, c)·μ, in completions per second.
func (m *admissionModel) departureRate(state int) float64 {
	return float64(min(state, m.concurrency)) * m.serviceRate
}

// evaluate sets next to ∇h of the policy that prev defines and returns the gain ρ of that policy.
func (m *admissionModel) evaluate(prev, next []float64) (gain float64) {
	rate, reward := m.admittedRates(prev)
	gain = m.gain(rate, reward)
	m.solveBias(next, rate, reward, gain)
	return gain
}

// admittedRates returns, by state, the rate Λπ(s) of admitted requests per second and the reward
// rate Rπ(s) per second of the policy that the bias defines (equation 1).
func (m *admissionModel) admittedRates(bias []float64) (rate, reward []float64) {
	rate = make([]float64, m.maxState+1)
	reward = make([]float64, m.maxState+1)
	for s := range m.maxState {
		for i, classRate := range m.rates[s] {
			if m.admits(i, s, bias[s]) {
				rate[s] += classRate
				reward[s] += classRate * m.rewards[s][i]
			}
		}
	}
	return rate, reward
}

// gain is ρ by equation 11: the mean of Rπ(s) over the stationary distribution of the states.
func (m *admissionModel) gain(rate, reward []float64) float64 {
	stateWeight, sum, total := 1.0, 0.0, 0.0
	for s := 0; s <= m.maxState; s++ {
		if stateWeight > rescaleWeight {
			sum /= stateWeight
			total /= stateWeight
			stateWeight = 1
		}
		sum += stateWeight * reward[s]
		total += stateWeight
		if s < m.maxState {
			stateWeight *= rate[s] / m.departureRate(s+1)
		}
	}
	return sum / total
}

// solveBias solves equation 3 for ∇h(s). The recursion in increasing s damps rounding errors while
// the arrival rate exceeds the departure rate, and the recursion in decreasing s damps them in the
// other states. solveBias therefore runs both recursions, which meet at meetingState.
func (m *admissionModel) solveBias(bias, rate, reward []float64, gain float64) {
	meetingState := 0
	for meetingState < m.maxState && rate[meetingState] > m.departureRate(meetingState) {
		below := 0.0
		if meetingState > 0 {
			below = m.departureRate(meetingState) * bias[meetingState-1]
		}
		bias[meetingState] = (reward[meetingState] + below - gain) / rate[meetingState]
		meetingState++
	}
	for s := m.maxState; s > meetingState; s-- {
		above := 0.0
		if s < m.maxState {
			above = rate[s] * bias[s]
		}
		bias[s-1] = (gain - reward[s] + above) / m.departureRate(s)
	}
}
