package dispatch

import (
	"time"

	"oxbowbridge/admission"
)

const (
	// gaugePollLead is how long before a controller's timer the runner is polled for its
	// gauges, so that the answer has come when the timer is due.
	gaugePollLead = 8 * time.Millisecond
	// maxDecisionGaugeAge is the age up to which gauges describe the present for the
	// controller; older ones count as unknown.
	maxDecisionGaugeAge = time.Second
	// maxLoadGaugeAge is the age up to which gauges describe the load for Load.
	maxLoadGaugeAge = 10 * time.Second
)

// gaugeReading is the runner's latest measurement.
type gaugeReading struct {
	values admission.Gauges
	readAt time.Duration // 0: there was none yet
}

// Load returns the fraction of the cores in use, whether that is known, and whether the
// runner is warm. It must be called in the dispatcher's goroutine.
func (d *Dispatcher) Load() (coreUse float64, known, warm bool) {
	d.Runner.RequestGauges() // for the next call
	now := d.Now()
	known = d.gauges.readAt > 0 && now-d.gauges.readAt <= maxLoadGaugeAge
	warm = d.readyAt > 0 && now >= d.warmAt
	return d.gauges.values.CPUUtilization, known, warm
}

// scheduleControllerTimer sets a timer for the controller, which gets the gauges when it is due.
func (d *Dispatcher) scheduleControllerTimer(now time.Duration, a admission.SetTimer) {
	if a.After > gaugePollLead {
		d.Timers.Schedule(now+a.After-gaugePollLead, d.Runner.RequestGauges)
	}
	d.Timers.Schedule(now+a.After, func() {
		// Guards against a connection that is down, or a runner that does not respond.
		if d.Now()-d.gauges.readAt > maxDecisionGaugeAge {
			d.gauges.values = d.SiteSettings.Gauges(nil)
		}
		d.report(admission.TimerFired{TimerID: a.TimerID, Gauges: d.gauges.values})
	})
}
