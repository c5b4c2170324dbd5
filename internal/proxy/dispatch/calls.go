package dispatch

import (
	"time"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
)

// callReportSlack is how long after its expiry a call may still be reported as ended by
// the dependency; then it is given up here.
const callReportSlack = 50 * time.Millisecond

// callNeeded reports a run that waits for a call to the controller. The run of a request
// that is answered is stopped instead.
func (d *Dispatcher) callNeeded(r *request, body []byte) {
	if !r.state.permits(needCall) {
		return
	}
	if r.answered {
		d.stop(r)
		return
	}
	r.state.advance(needCall)
	r.callBody = body
	d.report(admission.CallNeeded{ID: r.id})
}

// call makes the call that a run needs. It expires at the given time, or after the deadline
// of the class if that is 0.
func (d *Dispatcher) call(now time.Duration, r *request, expiry time.Duration) {
	if r.answered || !r.state.advance(sendCall) {
		return
	}
	if expiry == 0 {
		expiry = now + d.controllerSettings.Classes[r.Class].Deadline
	}
	r.calledAt = now
	d.Dependency.Call(exchange.Job{
		TraceID:    r.TraceID,
		Idempotent: d.mayRepeat(r),
		Timeout:    expiry - now,
		Body:       r.callBody,
	})
	r.callTimer = d.Timers.Schedule(expiry+callReportSlack, func() {
		d.Dependency.Cancel(r.TraceID)
		d.callEnded(r, exchange.Outcome{Result: exchange.ResultTimedOut})
	})
}

// callEnded gives a reply to the runner, and reports the end to the controller, which fails
// the request if the call failed. Calls are retried by the DependencyClient alone, before
// they end.
func (d *Dispatcher) callEnded(r *request, o exchange.Outcome) {
	d.Timers.Cancel(r.callTimer)
	outcome := callOutcome(o.Result)
	if outcome == admission.OutcomeOK {
		r.state.advance(callSucceeded)
		d.Runner.DeliverReply(r.TraceID, o.Body)
	} else {
		r.state.advance(callFailed)
	}
	d.report(admission.CallCompleted{ID: r.id, Elapsed: d.Now() - r.calledAt, Outcome: outcome})
}

// callOutcome maps the end of a call to the controller's outcomes.
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
