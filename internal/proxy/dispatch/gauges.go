package dispatch

import (
	"time"

	"oxbowbridge/admission"
)

const (
	// gaugeRequestLeadTime is how long before a controller timer is due the gauges are requested from
	// the runner, so that they have been received when the timer fires.
	gaugeRequestLeadTime = 8 * time.Millisecond
	// maxControllerGaugeAge is the maximum age of gauges that are passed to the controller. Older gauges
	// are reported as unknown.
	maxControllerGaugeAge = time.Second
	// maxLoadGaugeAge is the maximum age of gauges that Load returns as known.
	maxLoadGaugeAge = 10 * time.Second
)

// gaugeReading holds the gauges that were last received from the runner.
type gaugeReading struct {
	values admission.Gauges
	readAt time.Duration // 0 if no gauges have been received yet
}

// Load returns the CPU utilization as a fraction of all cores, whether that value is known, and
// whether the runner has warmed up. It must be called in the dispatcher's goroutine.
func (d *Dispatcher) Load() (cpuUtilization float64, known, warm bool) {
	d.Runner.RequestGauges() // for the next call of Load
	now := d.Now()
	known = d.gauges.readAt > 0 && now-d.gauges.readAt <= maxLoadGaugeAge
	warm = d.readyAt > 0 && now >= d.warmUpEndsAt
	return d.gauges.values.CPUUtilization, known, warm
}

// scheduleControllerTimer sets a timer for the controller. When the timer fires, the controller gets
// the gauges with the timer event.
func (d *Dispatcher) scheduleControllerTimer(now time.Duration, a admission.SetTimer) {
	if a.After > gaugeRequestLeadTime {
		d.Timers.Schedule(now+a.After-gaugeRequestLeadTime, d.Runner.RequestGauges)
	}
	d.Timers.Schedule(now+a.After, func() {
		// Gauges are outdated if the connection is down or the runner does not respond.
		if d.Now()-d.gauges.readAt > maxControllerGaugeAge {
			d.gauges.values = d.SiteSettings.GaugesFromValues(nil)
		}
		d.reportEvent(admission.TimerFired{TimerID: a.TimerID, Gauges: d.gauges.values})
	})
}
