package dispatch

import "oxbowbridge/admission"

// This file has the rules by which a request whose class is not idempotent runs at most
// once, whatever callers repeat and whatever the controller decides:
//
//   - a trace id names one attempt: a second arrival under it is answered and never run
//     (isDuplicateTrace), also after the first was forgotten (markSpent);
//   - an attempt that was started is not started again (mayStart);
//   - an attempt that duplicates another by its idempotency key is not started (mayStart);
//   - no response promises that nothing ran when something may have (mayRejectSafely);
//   - a run or call that may have happened is not sent again by a session (Job.Idempotent).
//
// A deduplicated class is one of them: its key keeps callers' attempts apart, and not what this
// process sends twice.

// mayRepeat tells whether runs and calls of the request may happen more than once.
func (d *Dispatcher) mayRepeat(r *request) bool { return d.effect(r) == admission.Idempotent }

// isDuplicateTrace tells whether an attempt with this trace id is recorded or has run.
// Callers send an attempt again when its connection was closed before a response: the first
// one may run, so the second gets a response that promises nothing.
func (d *Dispatcher) isDuplicateTrace(traceID string) bool {
	_, spent := d.spentTraces[traceID]
	return spent || d.byTraceID[traceID] != nil
}

// mayStart tells whether a run of the request may be started.
func (d *Dispatcher) mayStart(r *request) bool {
	if !r.state.permits(startRun) || r.answered {
		return false
	}
	return d.mayRepeat(r) || !r.started && r.originalEntry == nil
}

// mayRejectSafely tells whether a response may promise that nothing ran: neither this
// attempt nor the one that it duplicates.
func (d *Dispatcher) mayRejectSafely(r *request) bool {
	mayHaveRun := r.started || r.originalEntry != nil && r.originalEntry.Started
	return d.mayRepeat(r) || !mayHaveRun
}

// markSpent keeps the trace id of an attempt that ran for as long as its caller may send it
// again: the deadline of its class.
func (d *Dispatcher) markSpent(r *request) {
	if !r.started || d.mayRepeat(r) {
		return
	}
	traceID := r.TraceID
	d.spentTraces[traceID] = struct{}{}
	expiry := d.Now() + d.controllerSettings.Classes[r.Class].Deadline
	d.Timers.Schedule(expiry, func() { delete(d.spentTraces, traceID) })
}
