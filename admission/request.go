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

// step is a change of phase.
type step uint8

// The steps of a request.
const (
	stepAdmit step = iota
	stepShareResult
	stepRun
	stepPreempted
	stepNeedCall
	stepStartCall
	stepCallSucceeded
	stepCallFailed
	stepDegrade
	stepFinish
)

// phaseSet is a set of phases.
type phaseSet uint16

func phases(members ...phase) (set phaseSet) {
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
	stepAdmit:         {phases(phaseUndecided), phaseQueued},
	stepShareResult:   {phases(phaseUndecided), phaseAwaitingResult},
	stepRun:           {phases(phaseQueued, phasePaused), phaseRunning},
	stepPreempted:     {phases(phaseRunning, phasePaused, phaseAwaitingCall, phaseInCall), phasePaused},
	stepNeedCall:      {phases(phaseRunning), phaseAwaitingCall},
	stepStartCall:     {phases(phaseAwaitingCall), phaseInCall},
	stepCallSucceeded: {phases(phaseInCall), phaseRunning},
	stepCallFailed:    {phases(phaseInCall), phaseAwaitingCall},
	stepDegrade:       {phases(phaseAwaitingCall), phaseRunning},
	stepFinish: {phases(phaseUndecided, phaseQueued, phaseRunning, phasePaused, phaseAwaitingCall, phaseInCall,
		phaseAwaitingResult, phaseFinished), phaseFinished},
}

// allows reports whether the step may be taken from the phase.
func (s step) allows(p phase) bool { return transitions[s].from&(1<<p) != 0 }

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
	ran       bool // was started
	preempted bool // Preempt was sent and is not yet confirmed, or it is paused
	keyStored bool
	settled   bool // answered, or canceled by its caller

	coreTime     time.Duration // on the cores, before onCoresSince
	onCoresSince time.Duration // clock time; of a running request
}

// advance moves a request to its next phase, and accounts for its phase, memory and
// core time.
func (c *Controller) advance(r *request, s step) {
	to := transitions[s].to
	if r.phase == phaseRunning {
		r.coreTime += c.now - r.onCoresSince
	}
	if to == phaseRunning {
		r.onCoresSince = c.now
	}
	c.phaseCounts[r.phase]--
	c.requestsKB -= c.memoryOf(r)
	r.phase = to
	c.phaseCounts[to]++
	c.requestsKB += c.memoryOf(r)
}

// runningFor is how long a running request has been on the cores.
func (c *Controller) runningFor(r *request) time.Duration {
	return r.coreTime + c.now - r.onCoresSince
}
