package dispatch

import (
	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
)

// This file has the rules for responses:
//
//   - Each request gets exactly one response. The first one is final (respond).
//   - A request without a run is removed with its response. A request with a run is removed when the
//     runner reports the end of the run (handleRunEnded).
//   - A Rejected response promises that nothing ran. If that may be untrue, the response is Failed
//     instead (reject).

// respond sends the final response, unless one was already sent.
func (d *Dispatcher) respond(r *request, response exchange.Response) {
	if r.answered {
		return // typically a run that ends after the controller failed its request
	}
	r.answered = true
	d.sendResponse(r.Request, response)
	switch r.state {
	case paused:
		d.Runner.Discard(r.TraceID)
		d.removeRequest(r)
	case queued, awaitingOriginal:
		d.removeRequest(r)
	}
}

// sendResponse sends the response and releases the request's slot in the exchange. For a tracked
// request, only respond may call sendResponse.
func (d *Dispatcher) sendResponse(q *exchange.Request, response exchange.Response) {
	d.Exchange.ReleaseRequest()
	q.Responder.Respond(response)
}

// reject executes a Reject action of the controller.
func (d *Dispatcher) reject(r *request, a admission.Reject) {
	if !r.answered {
		d.recordRejection(r.Class, a.Reason)
	}
	if !d.mayPromiseNotRun(r) {
		d.respond(r, exchange.Response{Kind: exchange.Failed})
		return
	}
	d.respond(r, exchange.Response{Kind: exchange.Rejected, RetryAfter: a.RetryAfter, NoRetryElsewhere: a.DoNotRetry})
}

// fail executes a Fail action of the controller.
func (d *Dispatcher) fail(r *request) {
	d.respond(r, exchange.Response{Kind: exchange.Failed})
	if r.state.waitsForCall() {
		d.stop(r)
	}
}

// removeRequest removes a request that has its response and no run.
func (d *Dispatcher) removeRequest(r *request) {
	d.Timers.Cancel(r.callTimer)
	delete(d.byID, r.id)
	delete(d.byTraceID, r.TraceID)
	if r.state == awaitingOriginal {
		d.idempotency.RemoveWaiter(r.originalEntry, r.id)
	}
	d.completeKey(r, nil)
	d.recordUsedTraceID(r)
}
