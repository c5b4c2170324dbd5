package admission

import "time"

// Timers: the gauge tick, and the timer for the next due time.

const (
	// gaugeInterval is the time between gauge ticks: half of the averaging time of the gauges.
	gaugeInterval = 250 * time.Millisecond
	// minTimerDelay is the minimum delay of a timer if MinInterval is 0.
	minTimerDelay = time.Microsecond
)

// handleTimerFired clears the pending timer if the event is from the latest timer, and performs a
// gauge tick if one is due.
func (c *Controller) handleTimerFired(e TimerFired) {
	if e.TimerID == c.timerID {
		c.timerAt = 0
	}
	if c.now >= c.nextGaugeAt {
		c.gaugeTick(e.Gauges)
	}
}

// gaugeTick updates the decisions that hold until the next gauge tick.
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

// armTimer requests a timer for the earliest due time, which is the next gauge tick or the expiry
// of a request. It requests none if an earlier timer is pending.
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
