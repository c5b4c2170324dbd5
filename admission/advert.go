package admission

import "math"

// The advertised value, updated at each gauge tick. Callers use it to withhold requests that would
// be rejected. Inputs: Settings.AdvertKind, the policy and the occupancy.

// minRelativeAdvertChange is the relative change above which a new value is advertised.
const minRelativeAdvertChange = 0.1

// minCreditPerLimit is the minimum total credit of all callers, as a multiple of the concurrency
// limit.
const minCreditPerLimit = 2

// noAdvert is the initial value of Controller.advertised. Every valid value differs from it.
const noAdvert = -1

// updateAdvert advertises the value if it has changed.
func (c *Controller) updateAdvert() {
	if c.settings.AdvertKind == AdvertNone {
		return
	}
	value := c.advertValue()
	if math.Abs(value-c.advertised) > minRelativeAdvertChange*c.advertised {
		c.advertised = value
		c.emit(Advertise{value})
	}
}

func (c *Controller) advertValue() float64 {
	switch c.settings.AdvertKind {
	case AdvertMinRank:
		return c.rejectedClassFraction()
	case AdvertWeight:
		return math.Min(1, c.serviceCapacity()/c.policy.model.arrivalRate)
	case AdvertCredit:
		return c.creditPerCaller()
	}
	return noAdvert // not reached: updateAdvert returns early for AdvertNone
}

// rejectedClassFraction is the fraction of the classes that the policy rejects in the current
// state. The classes divide the ranks from 0 to 1 into equal bands by increasing weight.
func (c *Controller) rejectedClassFraction() float64 {
	classes := len(c.settings.Classes)
	state := c.occupancy()
	rejected := 0
	for i := range classes {
		if state >= c.concurrencyLimit && state >= c.policy.threshold(i) {
			rejected++
		}
	}
	return float64(rejected) / float64(classes)
}

// creditPerCaller is the credit of each caller: the total credit divided by the number of callers.
// The total is the lowest threshold of all classes, or minCreditPerLimit times the concurrency
// limit if that is greater, plus the number of requests blocked on calls.
func (c *Controller) creditPerCaller() float64 {
	threshold := len(c.policy.bias)
	for i := range c.settings.Classes {
		threshold = min(threshold, c.policy.threshold(i))
	}
	blockedOnCalls := c.phaseCounts[phaseAwaitingCall] + c.phaseCounts[phaseInCall]
	credit := max(threshold, minCreditPerLimit*c.concurrencyLimit) + blockedOnCalls
	return float64(credit) / float64(max(1, c.settings.Callers))
}
