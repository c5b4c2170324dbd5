package dispatch

import (
	"time"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
)

// end stops a run that stands at a call and whose answer is given.
func (c *Dispatcher) end(r *request) {
	if r.phase == calling {
		c.Dependency.Cancel(r.TraceID)
	}
	c.Timers.Cancel(r.expire)
	r.phase = running
	if c.set.Preemption != admission.PreemptionNone { // else the engine ends it at its call, being told of the answer
		c.Runner.Stop(r.TraceID, r.answered)
	}
}

func (c *Dispatcher) outcome(o exchange.Outcome) {
	r := c.byTrace[o.TraceID]
	if r == nil {
		return // over: its run was stopped or answered before
	}
	switch o.Stage {
	case exchange.RunEnded:
		c.ended(r, o)
	case exchange.CallNeeded:
		if r.phase != running {
			return
		}
		if r.answered {
			c.end(r)
			return
		}
		r.phase, r.need = standing, o.Body
		c.tell(admission.CallNeeded{ID: r.id})
	case exchange.CallEnded:
		if r.phase == calling {
			c.replied(r, o)
		}
	}
}

func (c *Dispatcher) ended(r *request, o exchange.Outcome) {
	if r.phase == held || r.phase == sharing {
		return
	}
	if r.phase == calling {
		c.Dependency.Cancel(r.TraceID)
	}
	outcomes := map[exchange.Result]admission.Outcome{exchange.ResultOK: admission.OutcomeOK, exchange.ResultStopped: admission.OutcomeCanceled,
		exchange.ResultObsolete: admission.OutcomeNotStarted, exchange.ResultNotStarted: admission.OutcomeNotStarted}
	out, ok := outcomes[o.Result]
	if !ok {
		out = admission.OutcomeInternal
	}
	c.tell(admission.Completed{ID: r.id, Elapsed: c.Now() - r.began, Outcome: out})
	switch { // a run that the engine ended by itself is answered, not held for ever
	case o.Result == exchange.ResultOK:
		c.settle(r, exchange.Response{Kind: exchange.Succeeded, Body: o.Body})
		c.keep(r, append([]byte{}, o.Body...)) // not nil, were it empty
	case o.Result == exchange.ResultStopped && r.suspended && !r.answered:
		// A stopped run is held again, and may be started again if its class allows;
		// a paused one goes on when it is taken.
		c.Timers.Cancel(r.expire)
		r.phase, r.suspended = held, false
		if c.set.Preemption == admission.PreemptionPause {
			r.phase = paused
		}
		return
	default:
		c.settle(r, exchange.Response{Kind: exchange.Failed, InvalidRequest: o.Result == exchange.ResultNotStarted})
	}
	c.forget(r)
}

func (c *Dispatcher) replied(r *request, o exchange.Outcome) {
	c.Timers.Cancel(r.expire)
	outcomes := map[exchange.Result]admission.Outcome{exchange.ResultOK: admission.OutcomeOK, exchange.ResultNotStarted: admission.OutcomeResourceExhausted,
		exchange.ResultUnreachable: admission.OutcomeUnavailable, exchange.ResultTimedOut: admission.OutcomeDeadlineExceeded, exchange.ResultConnectionLost: admission.OutcomeAborted}
	out, ok := outcomes[o.Result]
	if !ok {
		out = admission.OutcomeInternal
	}
	if out == admission.OutcomeOK {
		r.phase = running
		c.Runner.DeliverReply(r.TraceID, o.Body)
	} else {
		r.phase = standing
	}
	c.tell(admission.CallCompleted{ID: r.id, Elapsed: c.Now() - r.called, Outcome: out})
}

func (c *Dispatcher) start(now time.Duration, r *request) {
	unsafe := c.set.Classes[r.Class].Effect != admission.Idempotent
	if r.phase == paused {
		r.phase = running
		c.Runner.Resume(r.TraceID)
		return
	}
	if r.phase != held || r.answered || unsafe && (r.ran || r.other != nil) {
		return // guards against a second run of what must run once
	}
	r.phase, r.ran, r.began = running, true, now
	if r.own != nil {
		r.own.Started = true
	}
	c.Runner.Run(exchange.Attempt{TraceID: r.TraceID, Class: c.Settings.Classes[r.Class].Name, Idempotent: !unsafe, Body: r.Body})
}

func (c *Dispatcher) call(now time.Duration, r *request, expire time.Duration) {
	if expire == 0 {
		expire = now + c.set.Classes[r.Class].Deadline
	}
	r.phase, r.called = calling, now
	safe := c.set.Classes[r.Class].Effect == admission.Idempotent
	c.Dependency.Call(exchange.Attempt{TraceID: r.TraceID, Idempotent: safe, Timeout: expire - now, Body: r.need})
	r.expire = c.Timers.Schedule(expire+callSlack, func() { // guards against a service below that says nothing
		c.Dependency.Cancel(r.TraceID)
		c.replied(r, exchange.Outcome{Result: exchange.ResultTimedOut})
	})
}
