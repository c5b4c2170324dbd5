package dispatch

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
)

// Drain takes the notice, which came so long ago, that the process will be stopped after
// the given time. All is counted from when it came: a turn that was late must not have
// later requests run. It is called in a Step.
func (c *Dispatcher) Drain(waited, stop time.Duration) {
	if c.draining {
		return
	}
	noticed := c.Now() - waited
	c.draining, c.stopAt = true, noticed+stop
	c.closeAt = min(noticed+c.set.DrainGracePeriod, c.stopAt-stopLead)
	left := c.stopAt - c.Now()
	c.Log.Info("drain", zap.Duration("stop_in", left), zap.Int("open", len(c.byID)))
	if c.Settings.Server.Readiness {
		c.Registry.SetAvailable(false) // whatever its reports say now is listed at once
	} else {
		c.Registry.Deregister()
	}
	c.tell(admission.Drain{StopIn: max(0, left-stopLead), Age: waited})
	c.drainTick()
}

func (c *Dispatcher) drainTick() { c.Timers.Schedule(c.Now()+drainSweep, c.drainTick) }

// finish closes what is idle once nothing new may run, and ends the process when
// all connections are closed or the stop is near.
func (c *Dispatcher) finish() {
	now := c.Now()
	if now < c.closeAt {
		return
	}
	c.stopListening()
	left, unsent := c.closeConnections(now)
	open := c.unanswered()
	if left > 0 || unsent > 0 || open > 0 {
		c.emptyAt = 0
	} else if c.emptyAt == 0 {
		c.emptyAt = now
	}
	empty := c.emptyAt > 0 && now >= c.emptyAt+closeCross
	if empty || now >= c.stopAt-exitLead {
		c.Log.Info("drained", zap.Int("open", open), zap.Duration("before_stop", c.stopAt-now))
		c.done = true
	}
}

// stopListening closes the listeners, once. Balancers hear of a drain late: until its grace
// is over what comes on new connections can still be served.
func (c *Dispatcher) stopListening() {
	if c.listenersClosed {
		return
	}
	c.listenersClosed = true
	for _, f := range c.Frontends {
		f.StopListening()
	}
}

// closeConnections ends what is idle, and near the stop what is half done too, which will
// not be a request any more. It tells how many connections are left, and how many bytes
// wait to be sent.
func (c *Dispatcher) closeConnections(now time.Duration) (left, unsent int) {
	left = c.Lingering.Reap(time.Now())
	for _, f := range c.Frontends {
		if now >= c.stopAt-exitLead-closeCross {
			f.DrainConnections()
		}
		frontLeft, frontUnsent := f.CloseIdle(0)
		left, unsent = left+frontLeft, unsent+frontUnsent
	}
	return left, unsent
}

// unanswered counts the requests that are owed an answer.
func (c *Dispatcher) unanswered() (open int) {
	for _, r := range c.byID {
		if !r.answered {
			open++
		}
	}
	return open
}
