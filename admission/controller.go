package admission

import (
	"slices"
	"time"
)

// Controller makes the admission decisions of one server. Its methods must not be called
// concurrently. All clock times are values of the now argument of Handle or derived from them.
type Controller struct {
	settings  Settings
	started   bool
	startedAt time.Duration // clock time of the first call of Handle
	now       time.Duration // clock time of the current or latest call of Handle
	actions   []Action      // actions of the current batch

	requests    []*request // requests in the server, in the order of their Arrival events
	byID        map[uint32]*request
	phaseCounts [phaseCount]int
	requestsKB  float64 // memory of the requests, without stored keys
	storedKeys  []storedKey

	estimator              arrivalEstimator
	recentArrivals         arrivalWindow
	tenantArrivalFractions []float64 // moving average of each tenant's fraction of the arrivals
	runTimes               runTimes
	policy                 policy
	classWeights           []float64 // R(i) of the policy, by class
	lastLoggedPolicy       string    // text of the latest LogMessage

	concurrencyLimit  int     // c: maximum number of concurrent runs
	limitReached      bool    // a request found the concurrency limit reached since the last gauge tick
	readDelayFraction float64 // moving average of the time until a request is read, as a fraction of its latency objective
	calls             callLimiter

	rejectedFraction float64 // moving average of the fraction of requests that are rejected
	retryFraction    float64 // moving average of the fraction of requests that are marked as retries

	healthy     bool          // health in the latest SetHealth action
	advertised  float64       // value of the latest Advertise action, or noAdvert
	idleTimeout time.Duration // timeout of the latest SetIdleTimeout action; 0 before the first

	draining       bool
	drainStartedAt time.Duration // clock time of the shutdown signal
	stopAt         time.Duration // clock time at which the server will be stopped

	nextGaugeAt time.Duration // clock time from which the next TimerFired is a gauge tick
	timerAt     time.Duration // clock time at which the latest timer fires; 0 after it has fired
	timerID     uint64        // id of the latest timer
}

// New returns the controller of a server that has just started. It ignores the seed, which is part
// of the simulator's protocol: no decision is random. If a setting is out of range the error names
// that setting; see [SettingError].
func New(s Settings, _ uint64) (*Controller, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	return &Controller{
		settings:               s,
		byID:                   map[uint32]*request{},
		concurrencyLimit:       s.Cores,
		healthy:                true,
		advertised:             noAdvert,
		calls:                  newCallLimiter(&s),
		estimator:              arrivalEstimator{classCounts: make([]float64, len(s.Classes))},
		tenantArrivalFractions: make([]float64, len(s.Tenants)),
		runTimes:               newRunTimes(s.Classes),
	}, nil
}

// Handle processes a batch of events, which are all events since the previous call, and returns the
// actions in the order in which they must be executed. now is the server's clock time and must not
// decrease. The result is valid until the next call.
func (c *Controller) Handle(now time.Duration, events []Event) []Action {
	c.actions = nil
	if !c.started {
		c.start(now)
	}
	c.advanceClock(now)
	firstNew := len(c.requests)
	for _, e := range events {
		c.handleEvent(e)
	}
	c.rejectOrFailExpired()
	c.startRuns()
	for _, r := range c.requests[firstNew:] {
		if r.phase == phaseUndecided {
			c.decide(r)
		}
	}
	c.startCalls()
	c.removeFinished()
	c.armTimer()
	return c.actions
}

// start reports the server as healthy and solves the policy of the first episode, which uses Λmax
// as the arrival rate (algorithm 3).
func (c *Controller) start(now time.Duration) {
	c.started = true
	c.startedAt = now
	c.now = now
	c.estimator.lastArrival = now
	c.nextGaugeAt = now + gaugeInterval
	c.emit(SetHealth{Healthy: true, Cached: true})
	c.startEpisode(firstEpisodeLength)
	c.solvePolicy(c.estimator.maxRate)
}

// advanceClock sets the clock and accounts for the time that runs and calls took since the previous
// call of Handle.
func (c *Controller) advanceClock(now time.Duration) {
	c.runTimes.addRunSeconds((now - c.now).Seconds() * float64(c.phaseCounts[phaseRunning]))
	c.calls.accrue(c.now, now, c.phaseCounts[phaseInCall])
	c.now = now
}

// handleEvent processes one event.
func (c *Controller) handleEvent(e Event) {
	switch e := e.(type) {
	case Arrival:
		c.recordArrival(e)
	case Completed:
		c.handleCompleted(e)
	case Canceled:
		c.handleCanceled(e)
	case CallNeeded:
		c.handleCallNeeded(e)
	case CallCompleted:
		c.handleCallCompleted(e)
	case Drain:
		c.startDraining(e)
	case TimerFired:
		c.handleTimerFired(e)
	}
}

// removeFinished removes the finished requests.
func (c *Controller) removeFinished() {
	c.requests = slices.DeleteFunc(c.requests, func(r *request) bool {
		if r.phase == phaseFinished {
			delete(c.byID, r.id)
		}
		return r.phase == phaseFinished
	})
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }
