package dispatch

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/idempotency"
	"oxbowbridge/internal/proxy/timerqueue"
)

// request is one that has no final response, or whose run goes on after its response.
type request struct {
	*exchange.Request
	id            uint32 // names the request for the controller
	state         state
	answered      bool          // the final response was given
	started       bool          // a run was started, whether or not it still goes on
	preempted     bool          // by the controller: the end of its run puts it back into the queue
	arrivedAt     time.Duration // at the machine
	startedAt     time.Duration // when the run, or the wait for the original, began
	calledAt      time.Duration // when the call in flight was made
	callBody      []byte        // of the call that the run needs
	callTimer     *timerqueue.Timer
	ownedEntry    *idempotency.Entry // of the idempotency table, if this attempt may run
	originalEntry *idempotency.Entry // of the idempotency table, if this attempt duplicates another
}

// arrive records a request and reports it to the controller.
func (d *Dispatcher) arrive(q *exchange.Request) {
	if d.isDuplicateTrace(q.TraceID) {
		d.Log.Warn("duplicate trace id, request failed", zap.String("trace_id", q.TraceID))
		d.sendResponse(q, exchange.Response{Kind: exchange.Failed, InvalidRequest: true})
		return
	}
	r := &request{
		Request:   q,
		id:        d.nextID(),
		state:     queued,
		arrivedAt: d.Now() - time.Since(q.Arrived),
	}
	if d.effect(r) == admission.Deduplicated && !d.claimKey(r) {
		return
	}
	d.byID[r.id] = r
	d.byTraceID[r.TraceID] = r
	d.report(d.arrivalOf(r))
}

// nextID returns an identifier that no recorded request has. 0 is none.
func (d *Dispatcher) nextID() uint32 {
	for {
		d.lastID++
		if d.lastID != 0 && d.byID[d.lastID] == nil {
			return d.lastID
		}
	}
}

// pendingArrival is the event of a request until the controller is called. Its Age and
// Timeout are not set, as they depend on the time of that call.
type pendingArrival struct {
	admission.Arrival
	arrivedAt       time.Duration
	callerTimeoutAt time.Duration // when it is due; 0: not known, the deadline of the class counts
}

// arrivalOf is the controller's event of a request.
func (d *Dispatcher) arrivalOf(r *request) pendingArrival {
	p := pendingArrival{
		Arrival: admission.Arrival{
			ID:           r.id,
			Class:        r.Class,
			Tenant:       d.tenants[r.Tenant],
			ExpectedWork: r.ExpectedWork,
			MemoryKB:     r.ReservedKB,
			HasLookupKey: r.HasSubject,
			Retry:        r.IsRetry,
			Rank:         r.Rank,
		},
		arrivedAt: r.arrivedAt,
	}
	if d.passesTimeout(r) {
		p.callerTimeoutAt = r.arrivedAt + r.Timeout
	}
	if now := d.Now(); d.drainGraceOver(now) {
		p.callerTimeoutAt = d.dueAt(r)
		p.arrivedAt = now
	}
	if r.originalEntry != nil {
		p.DuplicateOf = r.originalEntry.Owner
	}
	return p
}

// passesTimeout tells whether the caller's own timeout counts.
func (d *Dispatcher) passesTimeout(r *request) bool {
	return d.SiteSettings.Server.PassesDeadline && r.Timeout > 0
}

// dueAt is when the request must have its response.
func (d *Dispatcher) dueAt(r *request) time.Duration {
	if d.passesTimeout(r) {
		return r.arrivedAt + r.Timeout
	}
	return r.arrivedAt + d.controllerSettings.Classes[r.Class].Deadline
}

// at completes the event for a call of the controller.
func (p pendingArrival) at(now time.Duration) admission.Event {
	a := p.Arrival
	a.Age = max(0, now-p.arrivedAt)
	if p.callerTimeoutAt != 0 {
		a.Timeout = max(1, p.callerTimeoutAt-now) // 0 would mean that it is not known
	}
	return a
}

// callerGone ends a request whose connection is lost, or that its caller cancelled: no
// response can reach the caller, and its resources go to others. To respond all the same
// releases the request's place in the exchange; the Responder drops the bytes.
func (d *Dispatcher) callerGone(q *exchange.Request) {
	r := d.byTraceID[q.TraceID]
	if r == nil || r.Request != q || r.answered {
		return
	}
	d.respond(r, exchange.Response{Kind: exchange.Failed})
	d.report(admission.Canceled{ID: r.id})
	if r.state.atCall() {
		d.stop(r)
	}
}

// effect says how often requests of r's class may run.
func (d *Dispatcher) effect(r *request) admission.ExecutionSemantics {
	return d.controllerSettings.Classes[r.Class].ExecutionSemantics
}
