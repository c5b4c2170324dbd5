package admission

import "math"

// The advertised value, set at each gauge tick: callers use it to withhold
// requests that would be rejected. Inputs: Settings.Advert, the policy, the occupancy.

// minRelativeAdvertChange is the relative change of the value that is advertised anew.
const minRelativeAdvertChange = 0.1

// minCreditPerLimit times the concurrency limit is the least credit of all callers together.
const minCreditPerLimit = 2

// noAdvert stands for a value that was never advertised; any value differs from it.
const noAdvert = -1

// updateAdvert advertises a value that has changed.
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
	return noAdvert // updateAdvert does not ask for AdvertNone
}

// rejectedClassFraction is the fraction of the classes that are rejected now.
// Classes take equal bands of ranks, the least weight first.
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

// creditPerCaller is each caller's part of the requests that the server may have: those
// queued or running before any class is rejected, at least minCreditPerLimit times the
// concurrency limit, and those at calls.
func (c *Controller) creditPerCaller() float64 {
	threshold := len(c.policy.bias)
	for i := range c.settings.Classes {
		threshold = min(threshold, c.policy.threshold(i))
	}
	blockedOnCalls := c.phaseCounts[phaseAwaitingCall] + c.phaseCounts[phaseInCall]
	credit := max(threshold, minCreditPerLimit*c.concurrencyLimit) + blockedOnCalls
	return float64(credit) / float64(max(1, c.settings.Callers))
}
