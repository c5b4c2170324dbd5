package dispatch

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
)

// The drain lasts from the termination signal (SIGTERM) to the exit of the process. All times are
// measured from the signal, even if it is handled late. cmd/oxbowbridge passes a signal time that is
// never later than the actual one. Below, "stop" means the time at which the process is killed from
// outside, which is the signal time plus the drain timeout.
//
//   - Immediately: the registry lists the service as unavailable, and the controller gets a stop time
//     that is earlier by stopReserve. Requests are still accepted, because balancers learn of a drain
//     with a delay.
//   - After DrainGracePeriod (settings), but no later than stopReserve before the stop: listeners
//     close, which takes 50 ms, and connections close when they are idle. Requests that are read
//     after DrainGracePeriod do not run.
//   - drainConnectionsLeadTime before the stop: DrainConnections is called, which drops incomplete
//     messages.
//   - The process exits when it has had no connection, unsent byte or unanswered request for
//     quietPeriod, and in any case exitLeadTime before the stop.
//
// Two related times are defined elsewhere. The controller rejects requests that arrive after
// DrainGracePeriod, which it does not shorten for a near stop, and responds to all requests by
// responseMarginBeforeStop before the stop time that it got (admission/drain.go). A service with a store is
// stopped earlier, to leave time to close the store (cmd/oxbowbridge).
const (
	// stopReserve is the part of the drain timeout reserved for the last responses and for closing
	// connections.
	stopReserve = 250 * time.Millisecond
	// exitLeadTime is how long before the stop the process exits, even if requests or connections remain.
	exitLeadTime = 100 * time.Millisecond
	// quietPeriod is how long the process must have had no connections and no pending work before
	// it exits. A request sent while its connection was being closed is lost, and the caller resends it
	// on another connection.
	quietPeriod = 2 * exchange.CloseRaceWindow
	// drainConnectionsLeadTime is how long before the stop connections with incomplete messages are closed.
	drainConnectionsLeadTime = exitLeadTime + quietPeriod
	// drainPollInterval is the interval at which the dispatcher checks for remaining work.
	drainPollInterval = 20 * time.Millisecond
)

// drainState is the progress of a drain.
type drainState struct {
	started           bool
	gracePeriodEndsAt time.Duration // requests read later must not run
	stopAt            time.Duration // when the process will be killed from outside
	closeAt           time.Duration // when listeners and idle connections are closed
	idleSince         time.Duration // since when there has been no remaining work; 0 if there is some
	listenersClosed   bool          // StopListening was called on all frontends
	finished          bool
}

// Drain starts the drain. The termination signal was received at signaledAt, by the clock of Now, and
// the process will be killed `timeout` later. Calls after the first are ignored. Drain must be
// called in the dispatcher's goroutine.
func (d *Dispatcher) Drain(signaledAt, timeout time.Duration) {
	if d.drain.started {
		return
	}
	wallTime := time.Now() // read before d.Now, so that the logged signal time is never too late
	sinceSignal := d.Now() - signaledAt
	stopAt := signaledAt + timeout
	d.drain.started = true
	d.drain.stopAt = stopAt
	d.drain.gracePeriodEndsAt = signaledAt + d.controllerSettings.DrainGracePeriod
	d.drain.closeAt = min(d.drain.gracePeriodEndsAt, stopAt-stopReserve)
	remaining := stopAt - d.Now()
	d.Log.Info("drain started", zap.Int64("stop_in_ms", remaining.Milliseconds()), zap.Int("open_requests", len(d.byID)),
		zap.Int64("noticed_unix_ms", wallTime.Add(-sinceSignal).UnixMilli()), zap.Int64("handled_after_ms", sinceSignal.Milliseconds()))
	if d.SiteSettings.Server.ReportsAvailability {
		d.Registry.SetAvailable(false)
	} else {
		d.Registry.Deregister()
	}
	d.reportEvent(pendingDrain{signaledAt: signaledAt, stopAt: stopAt - stopReserve})
	d.scheduleDrainPoll()
}

// drainGracePeriodOver reports whether the drain's grace period is over, so that a request read now
// must not run. The request's own arrival time is not used here: the caller sends it, reads it from its
// own clock, and it may be long before the last byte of the request.
func (d *Dispatcher) drainGracePeriodOver(now time.Duration) bool {
	return d.drain.started && now > d.drain.gracePeriodEndsAt
}

// pendingDrain is a Drain event that waits for the next call of the controller.
type pendingDrain struct {
	admission.Drain
	signaledAt time.Duration
	stopAt     time.Duration // stop time for the controller, earlier than the actual stop
}

// eventAt returns the event for a call of the controller at the given time.
func (p pendingDrain) eventAt(now time.Duration) admission.Event {
	return admission.Drain{StopIn: max(0, p.stopAt-now), Age: now - p.signaledAt}
}

// scheduleDrainPoll reschedules itself every drainPollInterval. The timer causes an iteration of Run,
// which calls advanceDrain.
func (d *Dispatcher) scheduleDrainPoll() {
	d.Timers.Schedule(d.Now()+drainPollInterval, d.scheduleDrainPoll)
}

// advanceDrain closes listeners and idle connections after closeAt. It finishes the drain when no
// work remains or the stop is near.
func (d *Dispatcher) advanceDrain() {
	now := d.Now()
	if now < d.drain.closeAt {
		return
	}
	d.closeListeners()
	connections, unsentBytes := d.closeIdle(now)
	unanswered := d.countUnanswered()
	if connections > 0 || unsentBytes > 0 || unanswered > 0 {
		d.drain.idleSince = 0
	} else if d.drain.idleSince == 0 {
		d.drain.idleSince = now
	}
	quiet := d.drain.idleSince > 0 && now >= d.drain.idleSince+quietPeriod
	if quiet || now >= d.drain.stopAt-exitLeadTime {
		beforeStop := d.drain.stopAt - now
		d.Log.Info("drain finished", zap.Int("open_requests", unanswered), zap.Int64("before_stop_ms", beforeStop.Milliseconds()))
		d.logRejections()
		d.drain.finished = true
	}
}

// closeListeners closes the listeners of all frontends on its first call.
func (d *Dispatcher) closeListeners() {
	if d.drain.listenersClosed {
		return
	}
	d.drain.listenersClosed = true
	for _, f := range d.Frontends {
		f.StopListening()
	}
}

// closeIdle closes idle connections. Near the stop it also closes connections with incomplete
// messages, which can't become requests in time. It returns the number of remaining connections and
// of bytes not yet sent.
func (d *Dispatcher) closeIdle(now time.Duration) (remaining, unsentBytes int) {
	remaining = d.Lingering.ReapLingering(time.Now())
	for _, f := range d.Frontends {
		if now >= d.drain.stopAt-drainConnectionsLeadTime {
			f.DrainConnections()
		}
		frontendRemaining, frontendUnsent := f.CloseIdle(0)
		remaining += frontendRemaining
		unsentBytes += frontendUnsent
	}
	return remaining, unsentBytes
}

// countUnanswered returns the number of requests without a final response.
func (d *Dispatcher) countUnanswered() int {
	count := 0
	for _, r := range d.byID {
		if !r.answered {
			count++
		}
	}
	return count
}
