package exchange

import "time"

// Job is work for a backend client: a run for a Runner, or a call for a DependencyClient.
type Job struct {
	// TraceID is the trace id of the request.
	TraceID string
	// Class is the name of the request's class. It is empty for calls.
	Class string
	// Idempotent says that the job may be resent even if it may have run. It is false for deduplicated
	// classes: idempotency keys detect what callers resend, not what a session resends.
	Idempotent bool
	// Restarted says that an earlier run of the request was stopped. A stop command that is executed
	// late may still stop the new run.
	Restarted bool
	// Timeout is how long the job may take. A run may continue after the timeout while the runner is
	// known to have it. A run that may have been lost is given up after the timeout.
	Timeout time.Duration
	// Body is the body of the request for a run, and the body that the run provided for a call.
	Body []byte
}

// Runner runs requests: the engine, or AJP upstreams. It posts Outcome events of the stages RunEnded
// and CallNeeded. Its methods do not block. Only the dispatcher's goroutine calls them.
type Runner interface {
	// Run starts a run.
	Run(Job)
	// Stop ends a run, or pauses it if the runner supports pauses. If the request has its response
	// (answered), the run is never resumed.
	Stop(traceID string, answered bool)
	// Resume continues a paused run.
	Resume(traceID string)
	// Discard drops a paused run whose request has its response.
	Discard(traceID string)
	// DeliverReply passes a reply to the run that waits for it.
	DeliverReply(traceID string, body []byte)
	// RequestGauges requests a Gauges event.
	RequestGauges()
}

// DependencyClient sends the calls of runs to the service that they depend on. It posts Outcome
// events of the stage CallEnded. Its methods do not block. Only the dispatcher's goroutine calls
// them.
type DependencyClient interface {
	// Call starts a call.
	Call(Job)
	// Cancel cancels a call. No outcome is reported for it.
	Cancel(traceID string)
}

// Stage says what an outcome reports.
type Stage uint8

const (
	// RunEnded reports the end of a run and its result.
	RunEnded Stage = iota
	// CallNeeded reports that a run waits for a call, whose body is in the outcome.
	CallNeeded
	// CallEnded reports the end of a call and its reply.
	CallEnded
)

// String returns the stage in lower case.
func (s Stage) String() string {
	switch s {
	case RunEnded:
		return "run ended"
	case CallNeeded:
		return "call needed"
	case CallEnded:
		return "call ended"
	}
	return "unknown"
}

// Result is how a run or a call ended.
type Result uint8

const (
	// ResultOK means that the run or call succeeded.
	ResultOK Result = iota
	// ResultError means that the run or call failed and may have had an effect.
	ResultError
	// ResultStopped means that the run was stopped.
	ResultStopped
	// ResultObsolete means that the run was not started because its request had already ended.
	ResultObsolete
	// ResultUnknownRequest means that the run was not started because the runner does not know the
	// request: no balancer sent its trace id.
	ResultUnknownRequest
	// ResultNotStarted means that the call was rejected before it was read. Nothing ran.
	ResultNotStarted
	// ResultUnreachable means that no connection was available. Nothing ran.
	ResultUnreachable
	// ResultTimedOut means that the run or call was given up and may have had an effect.
	ResultTimedOut
	// ResultConnectionLost means that the connection of the run or call was lost. The run or call may
	// have had an effect.
	ResultConnectionLost
)

// String returns the result in lower case.
func (r Result) String() string {
	switch r {
	case ResultOK:
		return "ok"
	case ResultError:
		return "error"
	case ResultStopped:
		return "stopped"
	case ResultObsolete:
		return "obsolete"
	case ResultUnknownRequest:
		return "unknown request"
	case ResultNotStarted:
		return "not started"
	case ResultUnreachable:
		return "unreachable"
	case ResultTimedOut:
		return "timed out"
	case ResultConnectionLost:
		return "connection lost"
	}
	return "unknown"
}
