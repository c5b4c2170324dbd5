package admission

import "math"

// The reward r(i)(s) = R(i) - γ(i)·E[W(s)] of admitting a request (section 2.1).
// R(i) is the weight of its class; γ(i) is such that a wait up to the objective
// costs all of it.

// objectiveMargin is the fraction of an objective that is reserved for the way to
// the client and back.
const objectiveMargin = 0.05

// classRewards returns R(i) and γ(i), weight and cost per second of waiting, by class.
func (c *Controller) classRewards(shares []float64) (weights, costs []float64) {
	meanRun := 0.0
	for i, share := range shares {
		meanRun += share * c.runTimes.meanRunSeconds[i]
	}
	weights = make([]float64, len(shares))
	costs = make([]float64, len(shares))
	for i := range shares {
		class := &c.settings.Classes[i]
		weights[i] = class.PriorityWeight * c.runTimes.successFraction[i]
		if !c.settings.WeightPerWork { // the model has one μ: a long class is worth less per run
			weights[i] *= meanRun / c.runTimes.meanRunSeconds[i]
		}
		objective := class.LatencyObjective.Seconds()
		budget := objective*(1-objectiveMargin) - c.runTimes.meanRunSeconds[i]
		costs[i] = weights[i] / math.Max(budget, objective*objectiveMargin)
	}
	return weights, costs
}

// lateReward is the reward of a request that can't be answered within its objective.
const lateReward = -1

// reward is r(i)(s) of one request, with the time that remains until its objective.
func (c *Controller) reward(r *request, state int) float64 {
	budget := (min(r.objective, r.deadline) - c.now).Seconds() - c.runTimes.meanRunSeconds[r.class]
	if budget <= 0 {
		return lateReward
	}
	wait := expectedWait(state, c.concurrencyLimit, c.runTimes.serviceRate())
	return c.classWeights[r.class] * r.weightFraction * (1 - wait/budget)
}
