package admission

import "time"

// Timers: the gauge tick, and the timer that wakes the controller.

const (
	// gaugeInterval is the time between gauge ticks: twice per averaging time of the gauges.
	gaugeInterval = 250 * time.Millisecond
	// minTimerDelay is the least time of a timer where MinInterval is 0.
	minTimerDelay = time.Microsecond
)

// handleTimerFired forgets the timer if it is the latest one, and takes the gauges if a
// gauge tick is due.
func (c *Controller) handleTimerFired(e TimerFired) {
	if e.TimerID == c.timerID {
		c.timerAt = 0
	}
	if c.now >= c.nextGaugeAt {
		c.gaugeTick(e.Gauges)
	}
}

// gaugeTick makes the decisions that hold until the next tick.
func (c *Controller) gaugeTick(g Gauges) {
	c.nextGaugeAt = c.now + gaugeInterval
	c.expireKeys()
	c.runTimes.limitHistory()
	c.adjustConcurrencyLimit(g)
	c.updatePolicy()
	c.updateHealth()
	c.updateAdvert()
	c.updateIdleTimeout()
	if c.recentArrivals[0] == 0 {
		c.readDelayFraction *= 1 - requestSmoothingFactor // decays without arrivals, so that health recovers
	}
	c.recentArrivals.startGaugeTick()
}

// armTimer asks for the earliest time at which something is due: the next gauge
// tick or the expiry of a request. An earlier timer that is still pending is enough.
func (c *Controller) armTimer() {
	next := c.nextGaugeAt
	for _, r := range c.requests {
		if !r.settled {
			next = min(next, c.expiry(r))
		}
	}
	next = max(next, c.now+max(c.settings.MinInterval, minTimerDelay))
	if c.timerAt == 0 || next < c.timerAt {
		c.timerID++
		c.timerAt = next
		c.emit(SetTimer{After: next - c.now, TimerID: c.timerID})
	}
}
