package dispatch

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/idempotency"
	"oxbowbridge/internal/proxy/timerqueue"
)

type phase uint8

const (
	held     phase = iota
	running        // ordered, and not known to have ended
	standing       // at a call that isn't made
	calling        // its call is out
	paused         // stopped, with its progress kept
	sharing        // waits for the try that runs in its place
)

// request is one that is not settled, or whose run goes on after its answer.
type request struct {
	*exchange.Request
	id        uint32
	phase     phase
	answered  bool
	ran       bool
	suspended bool               // by the module: its end puts it back in the hold
	arrived   time.Duration      // at the machine
	own       *idempotency.Entry // of its replay key, if it is the first try
	other     *idempotency.Entry // the same, if another try is
	began     time.Duration      // of the run, then of the call
	called    time.Duration
	need      []byte // the body of the call that it stands at
	expire    *timerqueue.Timer
}

func (c *Dispatcher) arrive(q *exchange.Request) {
	_, ran := c.spent[q.TraceID]
	if ran || c.byTrace[q.TraceID] != nil {
		// A caller sends a try again when its connection was closed under it. The
		// first one may run: this one gets an answer that promises nothing.
		c.Log.Warn("request came twice", zap.String("trace", q.TraceID))
		c.turnDown(q, exchange.Response{Kind: exchange.Failed, InvalidRequest: true})
		return
	}
	for c.lastID++; c.lastID == 0 || c.byID[c.lastID] != nil; c.lastID++ {
	}
	r := &request{Request: q, id: c.lastID, arrived: c.Now() - time.Since(q.Arrived)}
	if c.set.Classes[r.Class].Effect == admission.Deduplicated && !c.claim(r) {
		return
	}
	c.byID[r.id], c.byTrace[r.TraceID] = r, r
	a := admission.Arrival{ID: r.id, Class: q.Class, Tenant: c.tenants[q.Tenant], ExpectedWork: q.ExpectedWork, Age: r.arrived, MemoryKB: q.ReservedKB,
		HasKey: q.HasSubject, Retry: q.IsRetry, Rank: q.Rank}
	if c.Settings.Server.PassesDeadline && q.Timeout > 0 { // else its class's deadline counts
		a.Timeout = r.arrived + q.Timeout
	}
	if r.other != nil {
		a.DuplicateOf = r.other.Owner
	}
	c.tell(a)
}

// turnDown answers a request of which the module never hears.
func (c *Dispatcher) turnDown(q *exchange.Request, a exchange.Response) {
	c.Exchange.Release()
	q.Responder.Respond(a)
}

// gone ends a request whose connection is lost, or that was taken back: no answer
// can reach its caller, and what it holds is wanted by others.
func (c *Dispatcher) gone(q *exchange.Request) {
	r := c.byTrace[q.TraceID]
	if r == nil || r.Request != q || r.answered {
		return
	}
	c.settle(r, exchange.Response{Kind: exchange.Failed})
	c.tell(admission.Canceled{ID: r.id})
	if r.phase == standing || r.phase == calling {
		c.end(r)
	}
}

// settle gives the final answer, once.
func (c *Dispatcher) settle(r *request, a exchange.Response) {
	if r.answered {
		return // a DONE after an ABORT, mostly
	}
	r.answered = true
	c.Exchange.Release()
	r.Responder.Respond(a)
	switch r.phase {
	case paused:
		c.Runner.Discard(r.TraceID)
		c.forget(r)
	case held, sharing:
		c.forget(r)
	}
}

// forget drops what is over. A trace that ran and must not run twice is kept as
// long as its caller may send it again.
func (c *Dispatcher) forget(r *request) {
	c.Timers.Cancel(r.expire)
	delete(c.byID, r.id)
	delete(c.byTrace, r.TraceID)
	if r.phase == sharing {
		c.keys.RemoveWaiter(r.other, r.id)
	}
	c.keep(r, nil)
	if !r.ran || c.set.Classes[r.Class].Effect == admission.Idempotent {
		return
	}
	trace := r.TraceID
	c.spent[trace] = struct{}{}
	c.Timers.Schedule(c.Now()+c.set.Classes[r.Class].Deadline, func() { delete(c.spent, trace) })
}
