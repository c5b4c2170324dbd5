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
	case admission.Run:
		if r := c.byID[a.ID]; r != nil {
			c.start(now, r)
		} else {
			c.tellSoon(admission.Completed{ID: a.ID, Outcome: admission.OutcomeNotStarted})
		}
	case admission.Preempt:
		r := c.byID[a.ID]
		atCall := r != nil && (r.phase == standing || r.phase == calling)
		// A pause takes runs off the cores: one at its call goes on, unless it is over.
		if r != nil && (r.phase == running || atCall && (c.set.Preemption != admission.PreemptionPause || r.answered)) {
			r.suspended = true
			c.end(r)
		}
	case admission.Reject:
		if r := c.byID[a.ID]; r != nil {
			c.refuse(r, a)
		}
	case admission.Fail:
		if r := c.byID[a.ID]; r != nil {
			c.settle(r, exchange.Response{Kind: exchange.Failed})
			if r.phase == standing || r.phase == calling {
				c.end(r)
			}
		}
	case admission.StartCall:
		if r := c.byID[a.ID]; r != nil && r.phase == standing && !r.answered {
			c.call(now, r, a.Deadline)
		}
	case admission.ShareResult:
		if r := c.byID[a.ID]; r != nil {
			c.share(now, r)
		}
	case admission.StoreKey, admission.EvictKey:
	// The table of replay keys knows when a key is first used, and when its request
	// has ended unrun, without being told.
	case admission.Advertise:
		c.Exchange.SetFeedback(a.Value)
	case admission.SetHealth:
		c.active = a.Healthy
		c.health()
		if c.Settings.Server.Readiness {
			c.Registry.SetAvailable(a.Healthy)
		}
		c.Log.Info("health", zap.Bool("good", a.Healthy))
	case admission.SetIdleTimeout:
		c.idle = a.Timeout
	case admission.SetTimer:
		c.after(now, a)
	case admission.LogMessage:
		c.Log.Info("module", zap.String("says", a.Text))
	default:
		c.Log.Error("action is not for this site", zap.String("type", fmt.Sprintf("%T", a)))
	}
}

// refuse gives an answer that promises that nothing ran. Guards against one that
// isn't true, whoever decided it.
func (c *Dispatcher) refuse(r *request, a admission.Reject) {
	answer := exchange.Response{Kind: exchange.Rejected, RetryAfter: a.RetryAfter, NoRetryElsewhere: a.DoNotRetry}
	if c.set.Classes[r.Class].Effect != admission.Idempotent && (r.ran || r.other != nil && r.other.Started) {
		answer = exchange.Response{Kind: exchange.Failed}
	}
	c.settle(r, answer)
}

// health sets the answer to health checks: bad until the engine is there.
func (c *Dispatcher) health() { c.Exchange.SetHealthy(c.active && c.readyAt > 0) }

// after sets a timer of the module, with gauges that are fresh when it is due.
func (c *Dispatcher) after(now time.Duration, d admission.SetTimer) {
	if d.After > gaugeLead {
		c.Timers.Schedule(now+d.After-gaugeLead, c.Runner.RequestGauges)
	}
	c.Timers.Schedule(now+d.After, func() {
		if c.Now()-c.gauged > gaugesMost { // guards against a link that is down, or an engine that hangs
			c.gauges = c.Settings.Gauges(nil)
		}
		c.tell(admission.TimerFired{TimerID: d.TimerID, Gauges: c.gauges})
	})
}
