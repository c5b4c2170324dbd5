package dispatch

import (
	"time"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
)

// end stops a run that stands at a call and whose answer is given.
func (c *Core) end(r *request) {
	if r.phase == calling {
		c.Calls.GiveUp(r.Trace)
	}
	c.Deadlines.Cancel(r.expire)
	r.phase = running
	if c.set.Preemption != admission.PreemptionNone { // else the engine ends it at its call, being told of the answer
		c.Runner.Halt(r.Trace, r.answered)
	}
}

func (c *Core) outcome(o exchange.Outcome) {
	r := c.byTrace[o.Trace]
	if r == nil {
		return // over: its run was stopped or answered before
	}
	switch o.Stage {
	case exchange.Ran:
		c.ended(r, o)
	case exchange.Needs:
		if r.phase != running {
			return
		}
		if r.answered {
			c.end(r)
			return
		}
		r.phase, r.need = standing, o.Body
		c.tell(admission.CallNeeded{ID: r.id})
	case exchange.Called:
		if r.phase == calling {
			c.replied(r, o)
		}
	}
}

func (c *Core) ended(r *request, o exchange.Outcome) {
	if r.phase == held || r.phase == sharing {
		return
	}
	if r.phase == calling {
		c.Calls.GiveUp(r.Trace)
	}
	outcomes := map[exchange.End]admission.Outcome{exchange.OK: admission.OutcomeOK, exchange.Stopped: admission.OutcomeCanceled,
		exchange.Moot: admission.OutcomeNotStarted, exchange.NotBegun: admission.OutcomeNotStarted}
	out, ok := outcomes[o.End]
	if !ok {
		out = admission.OutcomeInternal
	}
	c.tell(admission.Completed{ID: r.id, Elapsed: c.Now() - r.began, Outcome: out})
	switch { // a run that the engine ended by itself is answered, not held for ever
	case o.End == exchange.OK:
		c.settle(r, exchange.Answer{Result: exchange.Served, Body: o.Body})
		c.keep(r, append([]byte{}, o.Body...)) // not nil, were it empty
	case o.End == exchange.Stopped && r.suspended && !r.answered:
		// A stopped run is held again, and may be started again if its class allows;
		// a paused one goes on when it is taken.
		c.Deadlines.Cancel(r.expire)
		r.phase, r.suspended = held, false
		if c.set.Preemption == admission.PreemptionPause {
			r.phase = paused
		}
		return
	default:
		c.settle(r, exchange.Answer{Result: exchange.Failed, Fault: o.End == exchange.NotBegun})
	}
	c.forget(r)
}

func (c *Core) replied(r *request, o exchange.Outcome) {
	c.Deadlines.Cancel(r.expire)
	outcomes := map[exchange.End]admission.Outcome{exchange.OK: admission.OutcomeOK, exchange.NotBegun: admission.OutcomeResourceExhausted,
		exchange.Unreachable: admission.OutcomeUnavailable, exchange.OutOfTime: admission.OutcomeDeadlineExceeded, exchange.Broken: admission.OutcomeAborted}
	out, ok := outcomes[o.End]
	if !ok {
		out = admission.OutcomeInternal
	}
	if out == admission.OutcomeOK {
		r.phase = running
		c.Runner.Feed(r.Trace, o.Body)
	} else {
		r.phase = standing
	}
	c.tell(admission.CallCompleted{ID: r.id, Elapsed: c.Now() - r.called, Outcome: out})
}

func (c *Core) start(now time.Duration, r *request) {
	unsafe := c.set.Classes[r.Class].Effect != admission.Idempotent
	if r.phase == paused {
		r.phase = running
		c.Runner.Resume(r.Trace)
		return
	}
	if r.phase != held || r.answered || unsafe && (r.ran || r.other != nil) {
		return // guards against a second run of what must run once
	}
	r.phase, r.ran, r.began = running, true, now
	if r.own != nil {
		r.own.Ran = true
	}
	c.Runner.Run(exchange.Attempt{Trace: r.Trace, Class: c.Settings.Classes[r.Class].Name, Safe: !unsafe, Body: r.Body})
}

func (c *Core) call(now time.Duration, r *request, expire time.Duration) {
	if expire == 0 {
		expire = now + c.set.Classes[r.Class].Deadline
	}
	r.phase, r.called = calling, now
	safe := c.set.Classes[r.Class].Effect == admission.Idempotent
	c.Calls.Call(exchange.Attempt{Trace: r.Trace, Safe: safe, Wait: expire - now, Body: r.need})
	r.expire = c.Deadlines.At(expire+callSlack, func() { // guards against a service below that says nothing
		c.Calls.GiveUp(r.Trace)
		c.replied(r, exchange.Outcome{End: exchange.OutOfTime})
	})
}
