package dispatch

import "oxbowbridge/admission"

// This file has the rules by which a request of a class that is not idempotent runs at most once,
// whatever callers send again and whatever the controller decides:
//
//   - A trace id names one attempt. A second arrival with the same trace id gets a response and is
//     never run (isDuplicateTraceID), even after the first attempt was removed (recordUsedTraceID).
//   - An attempt that was started is not started again (mayStart).
//   - An attempt that duplicates another by its idempotency key is not started (mayStart).
//   - No response promises that nothing ran if a run may have been executed (mayPromiseNotRun).
//   - A session does not resend a run or call that may have been executed (Job.Idempotent).
//
// The rules also apply to deduplicated classes: an idempotency key detects attempts that callers
// repeat, but not messages that this process sends twice.

// isIdempotent reports whether runs and calls of the request may be executed more than once.
func (d *Dispatcher) isIdempotent(r *request) bool { return d.effect(r) == admission.Idempotent }

// isDuplicateTraceID reports whether an attempt with this trace id is tracked or has run.
// Callers resend an attempt if its connection was closed before a response. The first arrival may be
// running, so the response to the second one must not promise that nothing ran.
func (d *Dispatcher) isDuplicateTraceID(traceID string) bool {
	_, used := d.usedTraceIDs[traceID]
	return used || d.byTraceID[traceID] != nil
}

// mayStart reports whether a run of the request may be started.
func (d *Dispatcher) mayStart(r *request) bool {
	if !r.state.permits(startRun) || r.answered {
		return false
	}
	return d.isIdempotent(r) || !r.started && r.originalEntry == nil
}

// mayPromiseNotRun reports whether a response may promise that nothing ran. For a class that is not
// idempotent, neither this attempt nor the attempt that it duplicates may have been started.
func (d *Dispatcher) mayPromiseNotRun(r *request) bool {
	mayHaveRun := r.started || r.originalEntry != nil && r.originalEntry.OwnerStarted
	return d.isIdempotent(r) || !mayHaveRun
}

// recordUsedTraceID stores the trace id of an attempt that ran, for as long as its caller may resend the
// attempt: the deadline of its class.
func (d *Dispatcher) recordUsedTraceID(r *request) {
	if !r.started || d.isIdempotent(r) {
		return
	}
	traceID := r.TraceID
	d.usedTraceIDs[traceID] = struct{}{}
	expiry := d.Now() + d.controllerSettings.Classes[r.Class].Deadline
	d.Timers.Schedule(expiry, func() { delete(d.usedTraceIDs, traceID) })
}
