package dispatch

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/idempotency"
	"oxbowbridge/internal/proxy/timerqueue"
)

// request is the dispatcher's record of a request. It exists until the final response is sent and
// the run, if any, has ended.
type request struct {
	*exchange.Request
	id            uint32 // identifies the request to the controller
	state         state
	answered      bool          // the final response was sent
	started       bool          // a run was started; stays set after the run has ended
	preempted     bool          // the controller preempted the run; the request is requeued when the run ends
	arrivedAt     time.Duration // when the request arrived at this machine
	startedAt     time.Duration // start of the run, or of the wait for the original attempt
	callStartedAt time.Duration // start of the call in flight
	callBody      []byte        // body of the call that the run needs
	callTimer     *timerqueue.Timer
	ownedEntry    *idempotency.Entry // idempotency table entry that this attempt owns; nil if none
	originalEntry *idempotency.Entry // entry owned by the attempt that this one duplicates; nil if none
}

// handleArrival starts tracking a request and reports it to the controller. A request with a duplicate
// trace id fails. A request whose idempotency key can't be claimed fails or is rejected.
func (d *Dispatcher) handleArrival(q *exchange.Request) {
	if d.isDuplicateTraceID(q.TraceID) {
		d.Log.Warn("duplicate trace id, request failed", zap.String("trace_id", q.TraceID))
		d.sendResponse(q, exchange.Response{Kind: exchange.Failed, InvalidRequest: true})
		return
	}
	r := &request{
		Request:   q,
		id:        d.nextID(),
		state:     queued,
		arrivedAt: d.Now() - time.Since(q.ArrivedAt),
	}
	if d.effect(r) == admission.Deduplicated && !d.claimKey(r) {
		return
	}
	d.byID[r.id] = r
	d.byTraceID[r.TraceID] = r
	d.reportEvent(d.newPendingArrival(r))
}

// nextID returns an identifier that no tracked request uses. It never returns 0, which stands
// for "no request".
func (d *Dispatcher) nextID() uint32 {
	for {
		d.lastID++
		if d.lastID != 0 && d.byID[d.lastID] == nil {
			return d.lastID
		}
	}
}

// pendingArrival is an Arrival event that waits for the next call of the controller. Age and
// Timeout are not set yet, because they depend on the time of that call.
type pendingArrival struct {
	admission.Arrival
	arrivedAt       time.Duration
	callerTimeoutAt time.Duration // when the caller stops waiting; 0 if unknown, the class deadline applies
}

// newPendingArrival returns the Arrival event of a request. A request that is read after the drain's
// grace period counts as arrived now, and its timeout is its response deadline.
func (d *Dispatcher) newPendingArrival(r *request) pendingArrival {
	p := pendingArrival{
		Arrival: admission.Arrival{
			ID:           r.id,
			Class:        r.Class,
			Tenant:       d.tenants[r.Tenant],
			ExpectedWork: r.ExpectedWork,
			MemoryKB:     r.ReservedKB,
			HasLookupKey: r.HasLookupKey,
			Retry:        r.IsRetry,
			Rank:         r.Rank,
		},
		arrivedAt: r.arrivedAt,
	}
	if d.usesCallerTimeout(r) {
		p.callerTimeoutAt = r.arrivedAt + r.Timeout
	}
	if now := d.Now(); d.drainGracePeriodOver(now) {
		p.callerTimeoutAt = d.responseDeadline(r)
		p.arrivedAt = now
	}
	if r.originalEntry != nil {
		p.DuplicateOf = r.originalEntry.Owner
	}
	return p
}

// usesCallerTimeout reports whether the caller's own timeout applies instead of the class deadline.
func (d *Dispatcher) usesCallerTimeout(r *request) bool {
	return d.SiteSettings.Server.UsesCallerTimeout && r.Timeout > 0
}

// responseDeadline returns the time by which the request must have its response.
func (d *Dispatcher) responseDeadline(r *request) time.Duration {
	if d.usesCallerTimeout(r) {
		return r.arrivedAt + r.Timeout
	}
	return r.arrivedAt + d.controllerSettings.Classes[r.Class].Deadline
}

// eventAt returns the event for a call of the controller at the given time.
func (p pendingArrival) eventAt(now time.Duration) admission.Event {
	a := p.Arrival
	a.Age = max(0, now-p.arrivedAt)
	if p.callerTimeoutAt != 0 {
		a.Timeout = max(1, p.callerTimeoutAt-now) // 0 would mean that the timeout is unknown
	}
	return a
}

// handleRequestCanceled ends a request that its caller canceled or whose connection was closed. No
// response can reach the caller, but respond must still be called to release the request's slot in the
// exchange; the Responder drops the bytes. A run that waits for a call is stopped to free its
// resources.
func (d *Dispatcher) handleRequestCanceled(q *exchange.Request) {
	r := d.byTraceID[q.TraceID]
	if r == nil || r.Request != q || r.answered {
		return
	}
	d.respond(r, exchange.Response{Kind: exchange.Failed})
	d.reportEvent(admission.Canceled{ID: r.id})
	if r.state.waitsForCall() {
		d.stop(r)
	}
}

// effect returns the execution semantics of r's class, which say how often its requests may run.
func (d *Dispatcher) effect(r *request) admission.ExecutionSemantics {
	return d.controllerSettings.Classes[r.Class].ExecutionSemantics
}
