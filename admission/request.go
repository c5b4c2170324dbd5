package admission

import (
	"fmt"
	"time"
)

// phase is where a request stands on its way through the server.
type phase uint8

// The phases of a request.
const (
	phaseUndecided      phase = iota // read in this batch
	phaseQueued                      // admitted, waits for a core
	phaseRunning                     // on the cores
	phasePaused                      // preempted, keeps its progress and memory
	phaseAwaitingCall                // off the cores, its call is not yet made
	phaseInCall                      // off the cores, its call is in flight
	phaseAwaitingResult              // waits for the request that it duplicates
	phaseFinished
	phaseCount
)

// String returns the phase in lower case.
func (p phase) String() string {
	names := [phaseCount]string{"undecided", "queued", "running", "paused", "awaiting call", "in call",
		"awaiting result", "finished"}
	if p < phaseCount {
		return names[p]
	}
	return fmt.Sprintf("phase(%d)", uint8(p))
}

// transition is a change of phase.
type transition uint8

// The steps of a request.
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

func newPhaseSet(members ...phase) (set phaseSet) {
	for _, p := range members {
		set |= 1 << p
	}
	return set
}

// transitions holds all changes of phase: the phases that allow a step and the
// phase that follows. A request may finish from any phase, and is forgotten at
// the end of the batch; one that is preempted may have left the cores for a call
// by the time that the server stops it.
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

// allowedFrom reports whether the step may be taken from the phase.
func (s transition) allowedFrom(p phase) bool { return transitions[s].from&(1<<p) != 0 }

// request is one that the server holds, answered or not.
type request struct {
	id             uint32
	class          int
	weightFraction float64       // of its class's weight, by its tenant's quota
	duplicateOf    uint32        // 0 if none
	arrivedAt      time.Duration // clock time at which it reached the machine
	deadline       time.Duration // clock time until which an answer is needed
	objective      time.Duration // clock time until which an answer earns the full weight
	memoryKB       float64       // while queued

	phase     phase
	everRan   bool // was started
	preempted bool // Preempt was sent and is not yet confirmed, or it is paused
	keyStored bool
	settled   bool // answered, or canceled by its caller

	earlierCoreTime     time.Duration // on the cores, before onCoresSince
	currentRunStartedAt time.Duration // clock time; of a running request
}

// changePhase moves a request to its next phase, and accounts for its phase, memory and
// core time.
func (c *Controller) changePhase(r *request, s transition) {
	to := transitions[s].to
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

// totalCoreTime is how long a running request has been on the cores.
func (c *Controller) totalCoreTime(r *request) time.Duration {
	return r.earlierCoreTime + c.now - r.currentRunStartedAt
}
