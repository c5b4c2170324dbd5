package admission

import (
	"slices"
	"time"
)

// Controller decides for one server. Its calls must be serialised. Clock times
// are those given to Handle.
type Controller struct {
	settings  Settings
	started   bool
	startedAt time.Duration // clock time of the first call of Handle
	now       time.Duration // clock time of the current or latest call
	actions   []Action      // of the current batch

	requests    []*request // in the order in which they were read
	byID        map[uint32]*request
	phaseCounts [phaseCount]int
	requestsKB  float64 // memory of the requests, without keys
	storedKeys  []storedKey

	estimator              arrivalEstimator
	recentArrivals         arrivalWindow
	tenantArrivalFractions []float64 // fractions of the arrivals lately, by tenant
	runTimes               runTimes
	policy                 policy
	classWeights           []float64 // R(i) of the policy, by class
	lastLoggedPolicy       string    // text of the latest LogMessage

	concurrencyLimit  int     // c
	limitReached      bool    // a request found c reached since the last gauge tick
	readDelayFraction float64 // fraction of its objective that a request waits to be read, lately
	calls             callLimiter

	rejectedFraction float64 // of the requests read lately
	retryFraction    float64 // of the requests read lately, marked as retries

	healthy     bool
	advertised  float64
	idleTimeout time.Duration // 0 before it is first set

	draining       bool
	drainStartedAt time.Duration
	stopAt         time.Duration

	nextGaugeAt time.Duration
	timerAt     time.Duration // of the latest timer; 0 if it has fired
	timerID     uint64        // of the latest timer
}

// New returns the controller of a server that has just started. The seed is part of
// the simulator's protocol and not used: no decision is random. The error says which
// setting is out of range; see [SettingError].
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

// Handle takes a batch of events, those since the call before, and returns the actions
// in the order in which they must be carried out. now is the server's clock time; it
// never goes back. The result is valid until the next call.
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

// start sets the health and the policy of the first episode, which takes Λmax
// for Λ (algorithm 3).
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

// advanceClock moves the clock and accounts for the time that runs and calls took.
func (c *Controller) advanceClock(now time.Duration) {
	c.runTimes.addRunSeconds((now - c.now).Seconds() * float64(c.phaseCounts[phaseRunning]))
	c.calls.accrue(c.now, now, c.phaseCounts[phaseInCall])
	c.now = now
}

// handleEvent records one event.
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

// removeFinished forgets the requests that are finished.
func (c *Controller) removeFinished() {
	c.requests = slices.DeleteFunc(c.requests, func(r *request) bool {
		if r.phase == phaseFinished {
			delete(c.byID, r.id)
		}
		return r.phase == phaseFinished
	})
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }
