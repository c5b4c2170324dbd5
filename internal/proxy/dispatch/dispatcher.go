package dispatch

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/idempotency"
)

const (
	// sweepInterval is the time between two sweeps, which close idle and stalled connections.
	// frontend.maxStalledSweeps is a number of these intervals.
	sweepInterval = 200 * time.Millisecond
	// lateTimerThreshold is the delay of a timer above which a warning is logged.
	lateTimerThreshold = 20 * time.Millisecond
	// maxIterationInterval is the maximum time between two iterations of Run if no timer is set.
	maxIterationInterval = time.Minute
)

// Dispatcher connects frontends, admission controller, runner and dependency. It may be used only
// by the goroutine that calls Run; see the package comment.
type Dispatcher struct {
	Config
	controllerSettings admission.Settings
	tenants            map[string]int // index in the settings, by name
	idempotency        *idempotency.Table

	controller         *admission.Controller // nil before the first event
	pendingEvents      []admission.Event     // for the next call of the controller
	lastControllerCall time.Duration         // when the controller was last called
	eventBuf           []exchange.Event      // buffer reused for events dequeued from the exchange

	lastID       uint32
	byID         map[uint32]*request
	byTraceID    map[string]*request
	usedTraceIDs map[string]struct{} // trace ids that have run and must not run again; see atmostonce.go

	runnerWarmingUp   bool          // the runner was warming up when it became ready; before that, whether the settings ask for a slow start
	readyAt           time.Duration // when the runner became ready; 0 if it is not ready yet
	warmUpEndsAt      time.Duration // end of the runner's warm-up
	controllerHealthy bool          // health check status set by the controller
	idleTimeout       time.Duration // after which connections without open requests are closed
	gauges            gaugeReading
	drain             drainState
	rejections        rejectionLog
}

// New validates the settings and returns a Dispatcher.
func New(c Config) (*Dispatcher, error) {
	settings, err := ControllerSettings(c.SiteSettings)
	if err != nil {
		return nil, err
	}
	if c.RunnerCannotPause && settings.Preemption == admission.PreemptionPause {
		settings.Preemption = admission.PreemptionNone
	}
	raiseKeyMemory(&settings, c.MaxIdempotencyKeyBytes)
	tenants := map[string]int{}
	for i, t := range c.SiteSettings.Tenants {
		tenants[t.Name] = i
	}
	return &Dispatcher{
		Config:             c,
		controllerSettings: settings,
		tenants:            tenants,
		idempotency:        idempotency.New(c.MaxIdempotencyKeyBytes),
		byID:               map[uint32]*request{},
		byTraceID:          map[string]*request{},
		usedTraceIDs:       map[string]struct{}{},
		runnerWarmingUp:    settings.SlowStart,
		idleTimeout:        settings.MaxIdleTimeout,
		gauges:             gaugeReading{values: c.SiteSettings.GaugesFromValues(nil)},
		rejections:         rejectionLog{unlogged: map[rejectionKey]int{}},
	}, nil
}

// Run dispatches until the drain has finished.
func (d *Dispatcher) Run() {
	d.sweepConnections()
	timer := time.NewTimer(0)
	for !d.drain.finished {
		d.awaitMinInterval()
		d.runIteration()
		timer.Reset(d.timeUntilNextTimer())
		select {
		case <-d.Exchange.WakeupChan():
		case <-timer.C:
		}
	}
}

// awaitMinInterval sleeps until MinInterval of the controller's settings has passed since the last
// call of the controller. Events that are posted during the sleep are handled in one iteration.
func (d *Dispatcher) awaitMinInterval() {
	remaining := d.lastControllerCall + d.controllerSettings.MinInterval - d.Now()
	if d.lastControllerCall > 0 && remaining > 0 {
		time.Sleep(remaining)
	}
}

func (d *Dispatcher) timeUntilNextTimer() time.Duration {
	next, ok := d.Timers.NextDue()
	if !ok {
		return maxIterationInterval
	}
	return max(0, next-d.Now())
}

// runIteration runs one iteration of the loop in Run: it handles posted events, runs the timers that
// are due, and calls the controller once if there are events for it.
func (d *Dispatcher) runIteration() {
	d.handlePostedEvents()
	if next, ok := d.Timers.NextDue(); ok && d.Now()-next > lateTimerThreshold {
		d.Log.Warn("dispatcher timer ran late", zap.Int64("late_ms", (d.Now()-next).Milliseconds()))
	}
	d.Timers.RunDue(d.Now())
	d.handlePostedEvents() // again, because timers may post events
	if len(d.pendingEvents) > 0 {
		d.callController()
	}
	if d.drain.started {
		d.advanceDrain()
	}
}

// handlePostedEvents handles events until the exchange is empty.
func (d *Dispatcher) handlePostedEvents() {
	for {
		d.eventBuf = d.Exchange.Dequeue(d.eventBuf)
		if len(d.eventBuf) == 0 {
			return
		}
		for _, e := range d.eventBuf {
			d.handleEvent(e)
		}
	}
}

func (d *Dispatcher) handleEvent(e exchange.Event) {
	switch e := e.(type) {
	case *exchange.Request:
		d.handleArrival(e)
	case exchange.RequestCanceled:
		d.handleRequestCanceled(e.Request)
	case exchange.Outcome:
		d.handleOutcome(e)
	case exchange.Gauges:
		d.gauges = gaugeReading{values: d.SiteSettings.GaugesFromValues(e), readAt: d.Now()}
	case exchange.RunnerReady:
		d.handleRunnerReady(e)
	case exchange.Callback:
		e()
	}
}

// handleRunnerReady registers the service with the service registry. It also reports a timer event,
// which starts the controller if no request has arrived yet.
func (d *Dispatcher) handleRunnerReady(e exchange.RunnerReady) {
	d.runnerWarmingUp = e.WarmingUp
	d.readyAt = d.Now()
	d.warmUpEndsAt = d.readyAt
	if e.WarmingUp {
		d.warmUpEndsAt += max(0, d.controllerSettings.SlowStartDuration-e.Uptime)
	}
	d.updateHealth()
	d.Registry.Register()
	d.reportEvent(admission.TimerFired{Gauges: d.gauges.values})
}

// updateHealth sets the health check status. Health checks fail until the runner is ready.
func (d *Dispatcher) updateHealth() { d.Exchange.SetHealthy(d.controllerHealthy && d.readyAt > 0) }

// reportEvent adds an event for the controller. It must be called before the controller is called in
// the current iteration; see reportInNextIteration.
func (d *Dispatcher) reportEvent(e admission.Event) { d.pendingEvents = append(d.pendingEvents, e) }

// reportInNextIteration adds an event for the controller while the controller's actions are being
// executed, and wakes the dispatcher for another iteration that delivers the event.
func (d *Dispatcher) reportInNextIteration(e admission.Event) {
	d.reportEvent(e)
	d.Exchange.Wakeup()
}

// pendingEvent is an event with durations that depend on when the controller is called.
type pendingEvent interface {
	eventAt(now time.Duration) admission.Event
}

// callController calls the controller with all pending events and executes the returned actions.
func (d *Dispatcher) callController() {
	if d.controller == nil {
		d.startController()
	}
	now := d.Now()
	for i, e := range d.pendingEvents {
		if p, ok := e.(pendingEvent); ok {
			d.pendingEvents[i] = p.eventAt(now)
		}
	}
	d.lastControllerCall = now
	actions := d.controller.Handle(now, d.pendingEvents)
	d.pendingEvents = d.pendingEvents[:0]
	for _, a := range actions {
		d.executeAction(now, a)
	}
}

// unusedSeed is passed as the controller's seed. Only the simulator's protocol carries a seed; the
// controller makes no random decisions.
const unusedSeed = 0

// startController creates the controller before its first event. If the runner is already ready, the
// runner's state determines whether the controller starts with a slow start; otherwise the settings
// determine it.
func (d *Dispatcher) startController() {
	d.controllerSettings.SlowStart = d.runnerWarmingUp
	controller, err := admission.New(d.controllerSettings, unusedSeed)
	if err != nil {
		panic(err) // unreachable: ControllerSettings has validated the settings
	}
	d.controller = controller
}

// sweepConnections closes connections that are idle, stalled, or past their linger time, and
// schedules the next sweep.
func (d *Dispatcher) sweepConnections() {
	d.Lingering.ReapLingering(time.Now())
	for _, f := range d.Frontends {
		f.CloseIdleAndStalled(d.idleTimeout)
	}
	d.Timers.Schedule(d.Now()+sweepInterval, d.sweepConnections)
}
