package dispatch

import (
	"time"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
)

// startOrResumeRun starts a run of the request or resumes its paused run. It does nothing if the
// request may not be started.
func (d *Dispatcher) startOrResumeRun(now time.Duration, r *request) {
	if r.state.advance(resumeRun) {
		d.Runner.Resume(r.TraceID)
		return
	}
	if !d.mayStart(r) {
		return
	}
	r.state.advance(startRun)
	restarted := r.started
	r.started = true
	r.startedAt = now
	if r.ownedEntry != nil {
		r.ownedEntry.OwnerStarted = true
	}
	d.Runner.Run(exchange.Job{
		TraceID:    r.TraceID,
		Class:      d.SiteSettings.Classes[r.Class].Name,
		Idempotent: d.isIdempotent(r),
		Restarted:  restarted,
		Timeout:    d.responseDeadline(r) - now,
		Body:       r.Body,
	})
}

// preempt stops a run so that it uses no CPU. With PreemptionPause, a run that waits for a call uses
// no CPU anyway and is stopped only if its request already has a response.
func (d *Dispatcher) preempt(r *request) {
	mayKeepWaiting := d.controllerSettings.Preemption == admission.PreemptionPause && !r.answered
	if r.state == running || r.state.waitsForCall() && !mayKeepWaiting {
		r.preempted = true
		d.stop(r)
	}
}

// stop cancels the call of a run and tells the runner to stop the run; the runner reports the end
// later. With PreemptionNone, runs can't be stopped: the run continues, and its result is discarded
// when the runner reports its end.
func (d *Dispatcher) stop(r *request) {
	if r.state == calling {
		d.Dependency.Cancel(r.TraceID)
	}
	d.Timers.Cancel(r.callTimer)
	r.state.advance(stopRun)
	if d.controllerSettings.Preemption != admission.PreemptionNone {
		d.Runner.Stop(r.TraceID, r.answered)
	}
}

// handleOutcome handles an outcome reported by the runner or the dependency client.
func (d *Dispatcher) handleOutcome(o exchange.Outcome) {
	r := d.byTraceID[o.TraceID]
	if r == nil {
		return // the request was already removed
	}
	switch o.Stage {
	case exchange.RunEnded:
		if r.state.hasRun() {
			d.handleRunEnded(r, o)
		}
	case exchange.CallNeeded:
		d.handleCallNeeded(r, o.Body)
	case exchange.CallEnded:
		if r.state == calling {
			d.handleCallEnded(r, o)
		}
	}
}

// handleRunEnded reports the end of a run to the controller. A request whose run was preempted is requeued.
// Any other end determines the final response.
func (d *Dispatcher) handleRunEnded(r *request, o exchange.Outcome) {
	if r.state == calling {
		d.Dependency.Cancel(r.TraceID)
	}
	d.reportEvent(admission.Completed{ID: r.id, Elapsed: d.Now() - r.startedAt, Outcome: runOutcome(o.Result)})
	switch {
	case o.Result == exchange.ResultOK:
		d.respond(r, exchange.Response{Kind: exchange.Succeeded, Body: o.Body})
		d.completeKey(r, append([]byte{}, o.Body...)) // non-nil even if empty, as nil means no result
	case o.Result == exchange.ResultStopped && r.preempted && !r.answered:
		d.requeue(r)
		return
	default:
		invalid := o.Result == exchange.ResultUnknownRequest // the caller invented the trace id
		d.respond(r, exchange.Response{Kind: exchange.Failed, InvalidRequest: invalid})
	}
	d.removeRequest(r)
}

// requeue puts a request whose run was preempted back into the queue. The run can be resumed if the
// runner paused it; otherwise it can be started again if the request's class allows that.
func (d *Dispatcher) requeue(r *request) {
	d.Timers.Cancel(r.callTimer)
	r.preempted = false
	if d.controllerSettings.Preemption == admission.PreemptionPause {
		r.state.advance(pauseRun)
	} else {
		r.state.advance(requeueRun)
	}
}

// runOutcome maps the result of a run to the controller's outcome.
func runOutcome(result exchange.Result) admission.Outcome {
	switch result {
	case exchange.ResultOK:
		return admission.OutcomeOK
	case exchange.ResultStopped:
		return admission.OutcomeCanceled
	case exchange.ResultObsolete, exchange.ResultUnknownRequest:
		return admission.OutcomeNotStarted
	}
	return admission.OutcomeInternal
}
