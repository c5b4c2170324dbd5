package dispatch

// state is the processing state of a request. Whether the final response was sent is recorded
// separately (request.answered), because a run may continue after the response.
type state uint8

const (
	queued           state = iota + 1 // has no run: not yet started, or requeued after a preemption
	running                           // the run was passed to the runner and is not known to have ended
	awaitingCall                      // the run waits for a call that is not in flight
	calling                           // the run waits for a call that is in flight
	paused                            // the run is paused, and the runner can resume it
	awaitingOriginal                  // waits for the result of the attempt that this one duplicates
	numStates
)

func (s state) String() string {
	switch s {
	case queued:
		return "queued"
	case running:
		return "running"
	case awaitingCall:
		return "awaiting call"
	case calling:
		return "calling"
	case paused:
		return "paused"
	case awaitingOriginal:
		return "awaiting original"
	}
	return "unknown"
}

// transition is an event that changes the state of a request.
type transition uint8

const (
	startRun        transition = iota // the controller starts the request
	resumeRun                         // the controller resumes the paused run
	needCall                          // the runner reports that the run needs a call
	sendCall                          // the controller starts the call
	callSucceeded                     // the reply is passed to the runner
	callFailed                        // the run waits until the controller fails the request
	stopRun                           // Runner.Stop is called; the runner reports the end later
	requeueRun                        // a preempted run has ended and can't be resumed
	pauseRun                          // a preempted run is paused and can be resumed
	joinOriginalRun                   // the controller lets the request share the original attempt's result
	numTransitions
)

// transitions maps each transition to the next state, by current state. A transition is not
// permitted in a state for which it has no entry.
var transitions = [numTransitions][numStates]state{
	startRun:        {queued: running},
	resumeRun:       {paused: running},
	needCall:        {running: awaitingCall},
	sendCall:        {awaitingCall: calling},
	callSucceeded:   {calling: running},
	callFailed:      {calling: awaitingCall},
	stopRun:         {running: running, awaitingCall: running, calling: running},
	requeueRun:      {running: queued, awaitingCall: queued, calling: queued, paused: queued},
	pauseRun:        {running: paused, awaitingCall: paused, calling: paused, paused: paused},
	joinOriginalRun: {queued: awaitingOriginal},
}

// permits reports whether transition t is permitted in state s.
func (s state) permits(t transition) bool { return transitions[t][s] != 0 }

// advance applies transition t. If t is not permitted, it returns false and leaves the state
// unchanged.
func (s *state) advance(t transition) bool {
	next := transitions[t][*s]
	if next == 0 {
		return false
	}
	*s = next
	return true
}

// hasRun reports whether the runner has a run of the request, including a paused one.
func (s state) hasRun() bool { return s != queued && s != awaitingOriginal }

// waitsForCall reports whether the run waits for a call.
func (s state) waitsForCall() bool { return s == awaitingCall || s == calling }
