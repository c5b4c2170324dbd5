package admission

import (
	"math"
	"time"
)

// Arrivals: what is recorded of a request when it is read, before the decision on it.

// recordArrival records a request. Events with a known id or an unknown class are ignored.
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

// deadlineOf is the clock time until which an answer is needed: the caller's
// timeout or, where that is not known, the deadline of the class.
func (c *Controller) deadlineOf(r *request, timeout time.Duration) time.Duration {
	if timeout != 0 {
		return c.now + timeout
	}
	return max(c.now, r.arrivedAt+c.settings.Classes[r.class].Deadline)
}

// objectiveFromArrival is the time from arrival within which an answer earns the full
// weight, less the way to the client and back.
func objectiveFromArrival(class *Class, expectedWork time.Duration) time.Duration {
	objective := class.LatencyObjective + time.Duration(class.ObjectiveStretch*float64(expectedWork))
	return min(objective, class.Deadline) - time.Duration(objectiveMargin*float64(class.LatencyObjective))
}

// withdrawArrival takes an arrival out of the estimates: it was canceled before it ran, or
// could not be started. It guards the policy against callers that send requests by
// the hundred and cancel them.
func (c *Controller) withdrawArrival(r *request) {
	if r.duplicateOf != 0 || r.settled {
		return
	}
	c.recentArrivals[0]--
	c.estimator.withdrawArrival(r.arrivedAt, r.class)
}
