package dispatch

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
)

// carryOut does what the module decided.
func (c *Dispatcher) carryOut(now time.Duration, a admission.Action) {
	switch a := a.(type) {
	case admission.Take:
		if r := c.byID[a.ID]; r != nil {
			c.start(now, r)
		} else {
			c.tellSoon(admission.Completed{ID: a.ID, Outcome: admission.TooLate})
		}
	case admission.Suspend:
		r := c.byID[a.ID]
		atCall := r != nil && (r.phase == standing || r.phase == calling)
		// A pause takes runs off the cores: one at its call goes on, unless it is over.
		if r != nil && (r.phase == running || atCall && (c.set.Halt != admission.HaltPause || r.answered)) {
			r.suspended = true
			c.end(r)
		}
	case admission.Refuse:
		if r := c.byID[a.ID]; r != nil {
			c.refuse(r, a)
		}
	case admission.Abort:
		if r := c.byID[a.ID]; r != nil {
			c.settle(r, exchange.Response{Kind: exchange.Failed})
			if r.phase == standing || r.phase == calling {
				c.end(r)
			}
		}
	case admission.Call:
		if r := c.byID[a.ID]; r != nil && r.phase == standing && !r.answered {
			c.call(now, r, a.Expire)
		}
	case admission.Share:
		if r := c.byID[a.ID]; r != nil {
			c.share(now, r)
		}
	case admission.RecordKey, admission.Evict:
		// The table of replay keys knows when a key is first used, and when its request
		// has ended unrun, without being told.
	case admission.Publish:
		c.Exchange.SetFeedback(a.Amount)
	case admission.Status:
		c.active = a.Active
		c.health()
		if c.Settings.Info.Readiness {
			c.Registry.SetAvailable(a.Active)
		}
		c.Log.Info("health", zap.Bool("good", a.Active))
	case admission.Idle:
		c.idle = a.Lifetime
	case admission.Defer:
		c.after(now, a)
	case admission.Remark:
		c.Log.Info("module", zap.String("says", a.Text))
	default:
		c.Log.Error("action is not for this site", zap.String("type", fmt.Sprintf("%T", a)))
	}
}

// refuse gives an answer that promises that nothing ran. Guards against one that
// isn't true, whoever decided it.
func (c *Dispatcher) refuse(r *request, a admission.Refuse) {
	answer := exchange.Response{Kind: exchange.Rejected, RetryAfter: a.RetryIn, NoRetryElsewhere: a.Terminal}
	if c.set.Classes[r.Class].Effect != admission.Idempotent && (r.ran || r.other != nil && r.other.Started) {
		answer = exchange.Response{Kind: exchange.Failed}
	}
	c.settle(r, answer)
}

// health sets the answer to health checks: bad until the engine is there.
func (c *Dispatcher) health() { c.Exchange.SetHealthy(c.active && c.readyAt > 0) }

// after sets a timer of the module, with gauges that are fresh when it is due.
func (c *Dispatcher) after(now time.Duration, d admission.Defer) {
	if d.Span > gaugeLead {
		c.Timers.Schedule(now+d.Span-gaugeLead, c.Runner.RequestGauges)
	}
	c.Timers.Schedule(now+d.Span, func() {
		if c.Now()-c.gauged > gaugesMost { // guards against a link that is down, or an engine that hangs
			c.gauges = c.Settings.Gauges(nil)
		}
		c.tell(admission.Due{Ref: d.Ref, Gauges: c.gauges})
	})
}
