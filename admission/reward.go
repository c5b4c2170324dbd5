package admission

import "math"

// The reward r(i)(s) = R(i) - γ(i)·E[W(s)] of admitting a request of class i in state s (section
// 2.1). R(i) is the weight of the class; γ(i) is chosen so that a wait until the latency objective
// reduces the reward to 0.

// objectiveMargin is the fraction of the latency objective that is reserved for the network round
// trip to the client.
const objectiveMargin = 0.05

// classRewards returns, by class, the weight R(i) and the cost γ(i) per second of waiting.
func (c *Controller) classRewards(classProbabilities []float64) (weights, costs []float64) {
	meanRun := 0.0
	for i, probability := range classProbabilities {
		meanRun += probability * c.runTimes.meanRunSeconds[i]
	}
	weights = make([]float64, len(classProbabilities))
	costs = make([]float64, len(classProbabilities))
	for i := range classProbabilities {
		class := &c.settings.Classes[i]
		weights[i] = class.PriorityWeight * c.runTimes.successFraction[i]
		if !c.settings.WeightPerWork { // the model has a single μ: scale down the weight per run of classes with long runs
			weights[i] *= meanRun / c.runTimes.meanRunSeconds[i]
		}
		objective := class.LatencyObjective.Seconds()
		budget := objective*(1-objectiveMargin) - c.runTimes.meanRunSeconds[i]
		costs[i] = weights[i] / math.Max(budget, objective*objectiveMargin)
	}
	return weights, costs
}

// lateReward is the reward of a request that can't be answered within its latency objective.
const lateReward = -1

// reward is r(i)(s) of a single request, computed with the time that remains until its own latency
// objective.
func (c *Controller) reward(r *request, state int) float64 {
	budget := (min(r.objective, r.deadline) - c.now).Seconds() - c.runTimes.meanRunSeconds[r.class]
	if budget <= 0 {
		return lateReward
	}
	wait := expectedWait(state, c.concurrencyLimit, c.runTimes.serviceRate())
	return c.classWeights[r.class] * r.weightFraction * (1 - wait/budget)
}
