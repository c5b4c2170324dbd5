package dispatch

// state is where a request is. Whether its caller has a response is kept apart from it
// (request.answered), as a run may go on after the response.
type state uint8

const (
	queued           state = iota + 1 // in no run: before the first, or between two
	running                           // handed to the runner, not known to have ended
	awaitingCall                      // its run waits for a call that is not in flight
	calling                           // its run waits for a call that is in flight
	paused                            // its run is stopped, and the runner keeps its progress
	awaitingOriginal                  // waits for the result of the attempt that it duplicates
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

// transition is what moves a request from one state to another.
type transition uint8

const (
	startRun        transition = iota // the controller starts the request
	resumeRun                         // the controller resumes its paused run
	needCall                          // the runner reports that the run needs a call
	sendCall                          // the controller has the call made
	callSucceeded                     // the reply goes to the runner
	callFailed                        // the run waits until the controller fails the request
	stopRun                           // Runner.Stop is called; the runner reports the end later
	requeueRun                        // a preempted run has ended without its progress
	pauseRun                          // a preempted run has ended, and its progress is kept
	joinOriginalRun                   // the controller has the request answered with the original's result
	numTransitions
)

// transitions has every change of state. A transition does not apply in a state for which
// it has no entry.
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

// permits tells whether t applies in state s.
func (s state) permits(t transition) bool { return transitions[t][s] != 0 }

// advance applies a transition. It reports false, and changes nothing, if t does not apply.
func (s *state) advance(t transition) bool {
	next := transitions[t][*s]
	if next == 0 {
		return false
	}
	*s = next
	return true
}

// hasRun tells whether the runner has a run of the request, be it stopped.
func (s state) hasRun() bool { return s != queued && s != awaitingOriginal }

// atCall tells whether the run waits for a call.
func (s state) atCall() bool { return s == awaitingCall || s == calling }
