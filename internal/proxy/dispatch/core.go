// Package dispatch is the service without any wire: requests come in, attempts go
// out, outcomes come back. One goroutine runs it and owns the decision module,
// the links and the deadlines. It decides nothing itself.
package dispatch

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/admission"
	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/idempotency"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/simproto"
)

const (
	gaugeLead  = 8 * time.Millisecond   // gauges are asked for this long before a timer carries them
	callSlack  = 50 * time.Millisecond  // a call not ended so long after its time is given up here
	stopLead   = 250 * time.Millisecond // what is kept of stop_ms for writing and closing
	exitLead   = 100 * time.Millisecond // before the stop: the process ends whatever is left
	closeCross = 100 * time.Millisecond // a request may cross a close, and be sent again meanwhile
	sweepEvery = 200 * time.Millisecond // of connections: idle, or left half done
	drainSweep = 20 * time.Millisecond  // the same while draining
	gapMost    = 20 * time.Millisecond  // a turn this late is worth a line in the log
	gaugesMost = time.Second            // gauges older than this say nothing of the present
	gaugesOld  = 10 * time.Second       // and older than this, nothing of the load
)

// Front is the server side as the core sees it.
type Frontend interface {
	// StopListening takes no more connections.
	StopListening()
	// CloseIdle closes connections that have had no open request for so long, and
	// tells how many are left and how many bytes wait to be sent.
	CloseIdle(idle time.Duration) (left, unsent int)
	// Sweep does so too, and ends what callers have left half done.
	Reap(idle time.Duration)
	// DrainConnections ends all connections, once what was read on them is answered.
	DrainConnections()
}

// Endings are the connections, of fronts and links, that have ended on this side and
// wait for their peers.
type LingeringConns interface {
	// Sweep closes those whose peers have had their time, and tells how many are left.
	Reap(now time.Time) (left int)
}

// Directory is where the service is listed.
type Registry interface {
	Register()
	SetAvailable(ok bool) // or is listed as taking no work
	Deregister()
}

// Parts are what the core is wired to.
type Config struct {
	Exchange               *exchange.Exchange
	Timers                 *timerqueue.Queue
	Runner                 exchange.Runner
	Dependency             exchange.DependencyClient
	Registry               Registry
	Frontends              []Frontend
	Lingering              LingeringConns
	MaxIdempotencyKeyBytes int                  // bytes of the table of replay keys
	Now                    func() time.Duration // monotonic, since the start of the process
	Log                    *zap.Logger
	Seed                   uint64
	Settings               *simproto.Settings
}

// Core is the service.
type Dispatcher struct {
	Config
	set     admission.Settings
	control *admission.Controller
	fresh   bool
	readyAt time.Duration // since when the engine is there; 0 before
	warmAt  time.Duration
	byID    map[uint32]*request
	byTrace map[string]*request
	spent   map[string]struct{} // traces that ran and must not run twice
	keys    *idempotency.Table
	active  bool // the module would have health checks good
	lastID  uint32
	events  []admission.Event
	batch   []exchange.Event
	gauges  admission.Gauges
	gauged  time.Duration // when they came
	idle    time.Duration // how long connections may stay unused
	tenants map[string]int
	last    time.Duration // the last call of Handle

	draining        bool
	listenersClosed bool // or closing: the fronts take no more connections
	stopAt          time.Duration
	closeAt         time.Duration // from then on idle connections are closed: nothing that comes may run
	emptyAt         time.Duration // since when nothing is left to do while draining
	done            bool
}

// Check tells what of the settings can't be served. What they allow and the protocol
// has no word for is left unused: results of reads are not shared, calls not left out.
func ParseSettings(w *simproto.Settings) (admission.Settings, error) {
	set, err := w.Admission()
	if err == nil {
		err = w.Validate()
	}
	if err != nil {
		return set, err
	}
	seen := map[string]bool{}
	for i := range set.Classes {
		name := w.Classes[i].Name
		switch {
		case name == "":
			return set, fmt.Errorf("classes.%d.name: missing", i)
		case strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c == 0x7f }):
			return set, fmt.Errorf("classes.%d.name: %q is not a word", i, name)
		case seen[name]:
			return set, fmt.Errorf("classes.%d.name: %q is there twice", i, name)
		}
		seen[name] = true
		set.Classes[i].DegradedFraction = 0
	}
	set.ResultReuseWindow = 0
	_, err = admission.New(set, 0)
	return set, err
}

// New checks the settings and returns a Core.
func New(p Config) (*Dispatcher, error) {
	set, err := ParseSettings(p.Settings)
	if err != nil {
		return nil, err
	}
	for _, k := range set.Classes {
		if k.Effect == admission.Deduplicated { // the module's memory is full when the table is
			set.KeyMemoryKB = max(set.KeyMemoryKB, set.MemoryKB/float64(max(1, p.MaxIdempotencyKeyBytes/idempotency.MaxEntryBytes)))
		}
	}
	tenants := map[string]int{}
	for i, t := range p.Settings.Tenants {
		tenants[t.Name] = i
	}
	return &Dispatcher{Config: p, set: set, fresh: set.SlowStart, byID: map[uint32]*request{}, byTrace: map[string]*request{},
		spent: map[string]struct{}{}, keys: idempotency.New(p.MaxIdempotencyKeyBytes), gauges: p.Settings.Gauges(nil), idle: set.MaxIdleTimeout, tenants: tenants}, nil
}

// Run turns until the service has drained.
func (c *Dispatcher) Run() {
	c.sweepIdle()
	timer := time.NewTimer(0)
	for !c.done {
		now := c.Now()
		// The module is promised a least time between two calls; what comes within
		// it is one turn.
		if wait := c.last + c.set.MinInterval - now; c.last > 0 && wait > 0 {
			time.Sleep(wait)
		}
		c.turn()
		wait := time.Minute
		if next, ok := c.Timers.NextDue(); ok {
			wait = max(0, next-c.Now())
		}
		timer.Reset(wait)
		select {
		case <-c.Exchange.Wake():
		case <-timer.C:
		}
	}
}

// turn takes what was posted, sweeps the deadlines, asks the module once and
// carries its actions out in order.
func (c *Dispatcher) turn() {
	c.take()
	if next, ok := c.Timers.NextDue(); ok && c.Now()-next > gapMost {
		c.Log.Warn("turn is late", zap.Duration("by", c.Now()-next))
	}
	c.Timers.RunDue(c.Now())
	c.take()
	if len(c.events) > 0 {
		c.decide()
	}
	if c.draining {
		c.finish()
	}
}

func (c *Dispatcher) take() {
	for {
		c.batch = c.Exchange.Dequeue(c.batch)
		if len(c.batch) == 0 {
			return
		}
		for _, e := range c.batch {
			c.note(e)
		}
	}
}

func (c *Dispatcher) decide() {
	if c.control == nil {
		c.set.SlowStart = c.fresh
		control, err := admission.New(c.set, c.Seed)
		if err != nil {
			panic(err) // New tried the same settings
		}
		c.control = control
	}
	now := c.Now()
	for i, e := range c.events {
		if a, ok := e.(admission.Arrival); ok {
			a.Age = max(0, now-a.Age) // noted as the time of arrival
			if a.Timeout != 0 {
				a.Timeout = max(1, a.Timeout-now) // noted as the time at which it ends; 0 would be none
			}
			c.events[i] = a
		}
	}
	c.last = now
	actions := c.control.Handle(now, c.events)
	c.events = c.events[:0]
	for _, a := range actions {
		c.carryOut(now, a)
	}
}

func (c *Dispatcher) tell(e admission.Event) { c.events = append(c.events, e) }

// Load tells what share of the cores is in use, if that is known, and whether the service
// is warm. It belongs into a step of the exchange.
func (c *Dispatcher) Load() (busy float64, known, warm bool) {
	c.Runner.RequestGauges() // for the next time
	return c.gauges.CPUUtilization, c.gauged > 0 && c.Now()-c.gauged <= gaugesOld, c.readyAt > 0 && c.Now() >= c.warmAt
}

// note books one event of the exchange.
func (c *Dispatcher) note(e exchange.Event) {
	switch e := e.(type) {
	case *exchange.Request:
		c.arrive(e)
	case exchange.ClientGone:
		c.gone(e.Request)
	case exchange.Outcome:
		c.outcome(e)
	case exchange.Gauges:
		c.gauges, c.gauged = c.Settings.Gauges(e), c.Now()
	case exchange.RunnerReady:
		c.fresh = e.ColdStart
		if c.readyAt, c.warmAt = c.Now(), c.Now(); e.ColdStart {
			c.warmAt += max(0, c.set.SlowStartDuration-e.Uptime)
		}
		c.health()
		c.Registry.Register()
		c.tell(admission.TimerFired{Gauges: c.gauges}) // a first event: the module starts
	case exchange.Callback:
		e()
	}
}

// tellSoon has the module told in a turn that surely comes.
func (c *Dispatcher) tellSoon(e admission.Event) {
	c.tell(e)
	c.Exchange.Post(exchange.Callback(func() {}))
}

func (c *Dispatcher) sweepIdle() {
	c.Lingering.Reap(time.Now())
	for _, f := range c.Frontends {
		f.Reap(c.idle)
	}
	c.Timers.Schedule(c.Now()+sweepEvery, c.sweepIdle)
}
