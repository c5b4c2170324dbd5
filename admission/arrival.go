package admission

import (
	"math"
	"time"
)

// Arrivals: the request and the arrival statistics are recorded before the admission decision.

// recordArrival records a request. It ignores events with the id of a current request or with an
// unknown class.
func (c *Controller) recordArrival(e Arrival) {
	if c.byID[e.ID] != nil || e.Class >= len(c.settings.Classes) {
		return
	}
	class := &c.settings.Classes[e.Class]
	c.observeTenant(e.Tenant)
	weightFraction := c.tenantWeightFraction(e.Tenant)
	r := &request{
		id:             e.ID,
		class:          e.Class,
		weightFraction: weightFraction,
		duplicateOf:    e.DuplicateOf,
		memoryKB:       e.MemoryKB,
		arrivedAt:      c.now - e.Age,
	}
	r.deadline = c.deadlineOf(r, e.Timeout)
	r.objective = min(r.arrivedAt+objectiveFromArrival(class, e.ExpectedWork), r.deadline)
	if c.draining {
		r.deadline = min(r.deadline, c.responseCutoff())
	}
	updateMean(&c.readDelayFraction, math.Min(1, float64(e.Age)/float64(class.LatencyObjective)))
	c.observeRetryMark(e.Retry)
	c.requests = append(c.requests, r)
	c.byID[r.id] = r
	c.phaseCounts[phaseUndecided]++
	c.requestsKB += r.memoryKB
	if r.duplicateOf == 0 {
		c.estimator.observe(r.arrivedAt, r.class)
		c.recentArrivals[0]++
	}
}

// deadlineOf is the clock time by which a response is needed: it is derived from the caller's
// timeout or, if that is unknown, from the deadline of the class.
func (c *Controller) deadlineOf(r *request, timeout time.Duration) time.Duration {
	if timeout != 0 {
		return c.now + timeout
	}
	return max(c.now, r.arrivedAt+c.settings.Classes[r.class].Deadline)
}

// objectiveFromArrival is the time from arrival within which a response earns the full priority
// weight, less the margin for the network round trip.
func objectiveFromArrival(class *Class, expectedWork time.Duration) time.Duration {
	objective := class.LatencyObjective + time.Duration(class.ObjectiveStretch*float64(expectedWork))
	return min(objective, class.Deadline) - time.Duration(objectiveMargin*float64(class.LatencyObjective))
}

// withdrawArrival removes an arrival from the arrival statistics: the request was canceled before
// it ran, or its run could not be started. Otherwise a caller that sends and cancels hundreds of
// requests would distort the policy.
func (c *Controller) withdrawArrival(r *request) {
	if r.duplicateOf != 0 || r.settled {
		return
	}
	c.recentArrivals[0]--
	c.estimator.withdrawArrival(r.arrivedAt, r.class)
}
