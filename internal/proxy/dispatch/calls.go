package dispatch

import (
	"time"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
)

// callReportGracePeriod is how long after a call's expiry the dependency client may still report the
// end of the call. After that the dispatcher cancels the call and reports it as timed out.
const callReportGracePeriod = 50 * time.Millisecond

// handleCallNeeded tells the controller that a run waits for a call. If the request already has its
// response, the run is stopped instead.
func (d *Dispatcher) handleCallNeeded(r *request, body []byte) {
	if !r.state.permits(needCall) {
		return
	}
	if r.answered {
		d.stop(r)
		return
	}
	r.state.advance(needCall)
	r.callBody = body
	d.reportEvent(admission.CallNeeded{ID: r.id})
}

// startCall starts the call that a run needs. The call expires at the given time; if expiry is 0, it
// expires after the class deadline, measured from now.
func (d *Dispatcher) startCall(now time.Duration, r *request, expiry time.Duration) {
	if r.answered || !r.state.advance(sendCall) {
		return
	}
	if expiry == 0 {
		expiry = now + d.controllerSettings.Classes[r.Class].Deadline
	}
	r.callStartedAt = now
	d.Dependency.Call(exchange.Job{
		TraceID:    r.TraceID,
		Idempotent: d.isIdempotent(r),
		Timeout:    expiry - now,
		Body:       r.callBody,
	})
	r.callTimer = d.Timers.Schedule(expiry+callReportGracePeriod, func() {
		d.Dependency.Cancel(r.TraceID)
		d.handleCallEnded(r, exchange.Outcome{Result: exchange.ResultTimedOut})
	})
}

// handleCallEnded passes the reply of a successful call to the runner and reports the end of the call
// to the controller, which fails the request if the call failed. Only the DependencyClient retries
// calls, before it reports their end.
func (d *Dispatcher) handleCallEnded(r *request, o exchange.Outcome) {
	d.Timers.Cancel(r.callTimer)
	outcome := callOutcome(o.Result)
	if outcome == admission.OutcomeOK {
		r.state.advance(callSucceeded)
		d.Runner.DeliverReply(r.TraceID, o.Body)
	} else {
		r.state.advance(callFailed)
	}
	d.reportEvent(admission.CallCompleted{ID: r.id, Elapsed: d.Now() - r.callStartedAt, Outcome: outcome})
}

// callOutcome maps the result of a call to the controller's outcome.
func callOutcome(result exchange.Result) admission.Outcome {
	switch result {
	case exchange.ResultOK:
		return admission.OutcomeOK
	case exchange.ResultNotStarted:
		return admission.OutcomeResourceExhausted
	case exchange.ResultUnreachable:
		return admission.OutcomeUnavailable
	case exchange.ResultTimedOut:
		return admission.OutcomeDeadlineExceeded
	case exchange.ResultConnectionLost:
		return admission.OutcomeAborted
	}
	return admission.OutcomeInternal
}
