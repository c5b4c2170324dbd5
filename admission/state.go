package admission

import (
	"fmt"
	"time"
)

// This file holds what a controller keeps, and its bookkeeping. It decides nothing.

type phase uint8

const (
	fresh    phase = iota // read in this batch, not decided
	held                  // admitted, waits for a core
	running               // on the cores
	paused                // gave way, keeps its progress and memory
	standing              // at a call that isn't made
	calling               // its call is in hand
	sharing               // waits for the request that it repeats
	over
	phases
)

type request struct {
	id       uint32
	class    int
	share    float64 // of its worth that is expected, by its tenant's use
	dupOf    uint32
	arrived  time.Duration // at the machine
	due      time.Duration // an answer is owed by then
	aim      time.Duration // full worth until then
	kb       float64
	phase    phase
	ran      bool          // was taken
	yields   bool          // told to give way
	kept     bool          // has a table entry
	answered bool          // or its caller is gone
	spent    time.Duration // on the cores, before since
	since    time.Duration // on the cores since then
}

type keptKey struct {
	id    uint32
	until time.Duration
}

// Controller decides for one server. Its calls must be serialised.
type Controller struct {
	set   Settings
	now   time.Duration
	birth time.Duration
	begun bool
	out   []Action

	reqs []*request // in order of reading
	byID map[uint32]*request
	n    [phases]int
	mem  float64 // kB of requests, without keys
	keys []keptKey

	est     estimator
	plan    plan
	worth   []float64 // R(i) of the plan, by class
	limit   int       // c
	intake  float64   // share of its aim that a request waits unread, lately
	waited  bool      // a request found c full since the last gauge tick
	done    float64   // runs completed, fading
	expose  float64   // run-seconds on the cores, fading
	quiet   float64   // run-seconds since anything left the cores
	service []float64 // mean seconds on the cores, by class
	success []float64 // share of runs whose client got an answer, by class
	window  [burstWindow]int
	usage   []float64 // parts of the arrivals, by tenant, lately

	lingering []time.Duration // ends of abandoned calls that may still be in hand
	calls     float64         // bound on calls in hand, with a share of one and more
	callTime  float64         // seconds in hand saved up, with a share below one
	draining  bool
	drainedAt time.Duration
	stopAt    time.Duration
	healthy   bool
	said      float64
	idle      time.Duration
	refused   float64 // share of the requests read that was refused, lately
	repeats   float64 // share of the requests read that others had refused, lately
	nextGauge time.Duration
	timerAt   time.Duration
	ref       uint64
	remarked  string
}

func (c *Controller) do(a Action) { c.out = append(c.out, a) }

func (c *Controller) move(r *request, to phase) {
	if r.phase == running {
		r.spent += c.now - r.since
	}
	if to == running {
		r.since = c.now
	}
	c.n[r.phase]--
	c.mem -= c.weigh(r)
	r.phase = to
	c.n[to]++
	c.mem += c.weigh(r)
}

// heard books an arrival in the shares kept of them; a refusal of it adds to its own.
func (c *Controller) heard(repeat bool) {
	c.refused -= c.refused * requestMemory
	c.repeats -= c.repeats * requestMemory
	if repeat {
		c.repeats += requestMemory
	}
}

// weigh is the memory that a request occupies.
func (c *Controller) weigh(r *request) float64 {
	switch r.phase {
	case over:
		return 0
	case fresh, held, sharing:
		return r.kb
	}
	return r.kb * c.set.RunMemoryFactor
}

// note books one event.
func (c *Controller) note(e Event) {
	switch e := e.(type) {
	case Arrival:
		c.arrive(e)
	case Completed:
		if r := c.byID[e.ID]; r != nil && e.Outcome == OutcomeNotStarted {
			c.withdraw(r)
		}
		c.completed(e)
	case Canceled:
		if r := c.byID[e.ID]; r != nil {
			if !r.ran {
				c.withdraw(r)
			}
			c.lapsed(r)
		}
	case CallNeeded:
		if r := c.byID[e.ID]; r != nil && r.phase == running {
			c.quiet = 0
			c.move(r, standing)
		}
	case CallCompleted:
		c.replied(e)
	case Drain:
		c.drain(e)
	case TimerFired:
		if e.TimerID == c.ref {
			c.timerAt = 0
		}
		if c.now >= c.nextGauge {
			c.gauge(e.Gauges)
		}
	}
}

// withdraw takes an arrival out of the estimates: the request was taken back
// unrun, or was none that could be run. Guards the plan against callers that ask
// by the hundred and mean nothing by it. The gaps before and after it are one gap.
func (c *Controller) withdraw(r *request) {
	e := &c.est
	if r.dupOf != 0 || r.answered {
		return
	}
	c.window[0]-- // below 0 if it came in an earlier tick: the sum counts
	e.counts[r.class]--
	e.total--
	if r.arrived >= e.started && e.tau > 1 {
		e.tau--
		e.gap *= float64(e.tau+1) / float64(e.tau)
	}
}

func (c *Controller) remark() {
	m := &c.plan.model
	text := fmt.Sprintf("episode %d Λ̃ %.1f cμ %.1f c %d ρ %.2f thresholds", c.est.episode, m.lambda,
		float64(m.c)*m.mu, m.c, c.plan.gain)
	for i := range m.shares {
		text += fmt.Sprintf(" %d", c.plan.threshold(i))
	}
	if text != c.remarked {
		c.remarked = text
		c.do(LogMessage{text})
	}
}
