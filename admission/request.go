package admission

import (
	"fmt"
	"time"
)

// phase is the state of a request between its arrival and its end.
type phase uint8

// The phases of a request.
const (
	phaseUndecided      phase = iota // arrived in this batch, not yet admitted or rejected
	phaseQueued                      // admitted, waits for a core
	phaseRunning                     // runs on a core
	phasePaused                      // preempted, keeps its progress and memory
	phaseAwaitingCall                // released its core, its call has not started
	phaseInCall                      // released its core, its call is in flight
	phaseAwaitingResult              // a duplicate that waits for the result of its original
	phaseFinished
	phaseCount // number of phases
)

// String returns the name of the phase in lower case.
func (p phase) String() string {
	names := [phaseCount]string{"undecided", "queued", "running", "paused", "awaiting call", "in call",
		"awaiting result", "finished"}
	if p < phaseCount {
		return names[p]
	}
	return fmt.Sprintf("phase(%d)", uint8(p))
}

// transition is a change of a request's phase.
type transition uint8

// The transitions between phases.
const (
	transitionAdmit transition = iota
	transitionShareResult
	transitionRun
	transitionPreempted
	transitionNeedCall
	transitionStartCall
	transitionCallSucceeded
	transitionCallFailed
	transitionDegrade
	transitionFinish
)

// phaseSet is a set of phases.
type phaseSet uint16

// newPhaseSet returns the set of the given phases.
func newPhaseSet(members ...phase) (set phaseSet) {
	for _, p := range members {
		set |= 1 << p
	}
	return set
}

// transitions defines, for each transition, the phases in which it is allowed and the phase that
// follows. A request may finish from any phase; it is removed at the end of the batch. A preempted
// request may already wait for a call when the server confirms the preemption.
var transitions = [...]struct {
	from phaseSet
	to   phase
}{
	transitionAdmit:         {newPhaseSet(phaseUndecided), phaseQueued},
	transitionShareResult:   {newPhaseSet(phaseUndecided), phaseAwaitingResult},
	transitionRun:           {newPhaseSet(phaseQueued, phasePaused), phaseRunning},
	transitionPreempted:     {newPhaseSet(phaseRunning, phasePaused, phaseAwaitingCall, phaseInCall), phasePaused},
	transitionNeedCall:      {newPhaseSet(phaseRunning), phaseAwaitingCall},
	transitionStartCall:     {newPhaseSet(phaseAwaitingCall), phaseInCall},
	transitionCallSucceeded: {newPhaseSet(phaseInCall), phaseRunning},
	transitionCallFailed:    {newPhaseSet(phaseInCall), phaseAwaitingCall},
	transitionDegrade:       {newPhaseSet(phaseAwaitingCall), phaseRunning},
	transitionFinish: {newPhaseSet(phaseUndecided, phaseQueued, phaseRunning, phasePaused, phaseAwaitingCall, phaseInCall,
		phaseAwaitingResult, phaseFinished), phaseFinished},
}

// allowedFrom reports whether the transition is allowed in the phase.
func (t transition) allowedFrom(p phase) bool { return transitions[t].from&(1<<p) != 0 }

// request is a request in the server, from its Arrival event until it finishes. It may already be
// answered.
type request struct {
	id             uint32
	class          int
	weightFraction float64       // fraction of the class's priority weight that the request earns, by its tenant's quota
	duplicateOf    uint32        // id of the request that this one duplicates; 0 if it is no duplicate
	arrivedAt      time.Duration // clock time at which the request reached the machine
	deadline       time.Duration // clock time by which a response is needed
	objective      time.Duration // clock time by which a response earns the full priority weight
	memoryKB       float64       // memory of the request while it is queued

	phase     phase
	everRan   bool // a run has been started
	preempted bool // Preempt was sent and is not yet confirmed, or the request is paused
	keyStored bool // the key of the request is in storedKeys
	settled   bool // no response is needed any more: the request is answered, or canceled by its caller

	earlierCoreTime     time.Duration // time spent running before currentRunStartedAt
	currentRunStartedAt time.Duration // clock time of the latest transition to phaseRunning
}

// changePhase moves a request to the phase that follows the transition and updates the phase
// counts, the memory in use and the request's core time.
func (c *Controller) changePhase(r *request, t transition) {
	to := transitions[t].to
	if r.phase == phaseRunning {
		r.earlierCoreTime += c.now - r.currentRunStartedAt
	}
	if to == phaseRunning {
		r.currentRunStartedAt = c.now
	}
	c.phaseCounts[r.phase]--
	c.requestsKB -= c.occupiedMemory(r)
	r.phase = to
	c.phaseCounts[to]++
	c.requestsKB += c.occupiedMemory(r)
}

// totalCoreTime returns the total run time of a running request, including earlier runs that were
// paused or blocked on a call.
func (c *Controller) totalCoreTime(r *request) time.Duration {
	return r.earlierCoreTime + c.now - r.currentRunStartedAt
}
