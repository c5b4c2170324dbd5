// Package core is the service without any wire: requests come in, attempts go
// out, outcomes come back. One goroutine runs it and owns the decision module,
// the links and the deadlines. It decides nothing itself.
package core

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/deadline"
	"oxbowbridge/internal/dedup"
	"oxbowbridge/internal/exchange"
	"oxbowbridge/internal/wire"
	"oxbowbridge/rules"
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
type Front interface {
	// StopListening takes no more connections.
	StopListening()
	// CloseIdle closes connections that have had no open request for so long, and
	// tells how many are left and how many bytes wait to be sent.
	CloseIdle(idle time.Duration) (left, unsent int)
	// Sweep does so too, and ends what callers have left half done.
	Sweep(idle time.Duration)
	// Finish ends all connections, once what was read on them is answered.
	Finish()
}

// Endings are the connections, of fronts and links, that have ended on this side and
// wait for their peers.
type Endings interface {
	// Sweep closes those whose peers have had their time, and tells how many are left.
	Sweep(now time.Time) (left int)
}

// Directory is where the service is listed.
type Directory interface {
	Open()
	Serves(ok bool) // or is listed as taking no work
	Shut()
}

// Parts are what the core is wired to.
type Parts struct {
	Exchange  *exchange.Exchange
	Deadlines *deadline.Set
	Runner    exchange.Runner
	Calls     exchange.Caller
	Directory Directory
	Fronts    []Front
	Endings   Endings
	KeysMost  int                  // bytes of the table of replay keys
	Now       func() time.Duration // monotonic, since the start of the process
	Log       *zap.Logger
	Seed      uint64
	Settings  *wire.Settings
}

type phase uint8

const (
	held     phase = iota
	running        // ordered, and not known to have ended
	standing       // at a call that isn't made
	calling        // its call is out
	paused         // stopped, with its progress kept
	sharing        // waits for the try that runs in its place
)

// request is one that is not settled, or whose run goes on after its answer.
type request struct {
	*exchange.Request
	id        uint32
	phase     phase
	answered  bool
	ran       bool
	suspended bool          // by the module: its end puts it back in the hold
	arrived   time.Duration // at the machine
	own       *dedup.Entry  // of its replay key, if it is the first try
	other     *dedup.Entry  // the same, if another try is
	began     time.Duration // of the run, then of the call
	called    time.Duration
	need      []byte // the body of the call that it stands at
	expire    *deadline.Entry
}

// Core is the service.
type Core struct {
	Parts
	set     rules.Settings
	control *rules.Controller
	fresh   bool
	readyAt time.Duration // since when the engine is there; 0 before
	warmAt  time.Duration
	byID    map[uint32]*request
	byTrace map[string]*request
	spent   map[string]struct{} // traces that ran and must not run twice
	keys    *dedup.Table
	active  bool // the module would have health checks good
	lastID  uint32
	events  []rules.Event
	batch   []exchange.Event
	gauges  rules.Gauges
	gauged  time.Duration // when they came
	idle    time.Duration // how long connections may stay unused
	tenants map[string]int
	last    time.Duration // the last call of Handle

	draining bool
	deaf     bool // the fronts take no more connections
	stopAt   time.Duration
	closeAt  time.Duration // from then on idle connections are closed: nothing that comes may run
	emptyAt  time.Duration // since when nothing is left to do while draining
	done     bool
}

// Check tells what of the settings can't be served. What they allow and the protocol
// has no word for is left unused: results of reads are not shared, calls not left out.
func Check(w *wire.Settings) (rules.Settings, error) {
	set, err := w.Rules()
	if err == nil {
		err = w.Check()
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
		set.Classes[i].SkipWorth = 0
	}
	set.ShareFor = 0
	_, err = rules.New(set, 0)
	return set, err
}

// New checks the settings and returns a Core.
func New(p Parts) (*Core, error) {
	set, err := Check(p.Settings)
	if err != nil {
		return nil, err
	}
	for _, k := range set.Classes {
		if k.Effect == rules.Deduplicated { // the module's memory is full when the table is
			set.KeyKB = max(set.KeyKB, set.MemoryKB/float64(max(1, p.KeysMost/dedup.EntryMost)))
		}
	}
	tenants := map[string]int{}
	for i, t := range p.Settings.Tenants {
		tenants[t.Name] = i
	}
	return &Core{Parts: p, set: set, fresh: set.Fresh, byID: map[uint32]*request{}, byTrace: map[string]*request{},
		spent: map[string]struct{}{}, keys: dedup.New(p.KeysMost), gauges: p.Settings.Gauges(nil), idle: set.IdleMax, tenants: tenants}, nil
}

// Run turns until the service has drained.
func (c *Core) Run() {
	c.sweepIdle()
	timer := time.NewTimer(0)
	for !c.done {
		now := c.Now()
		// The module is promised a least time between two calls; what comes within
		// it is one turn.
		if wait := c.last + c.set.Tick - now; c.last > 0 && wait > 0 {
			time.Sleep(wait)
		}
		c.turn()
		wait := time.Minute
		if next, ok := c.Deadlines.Next(); ok {
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
func (c *Core) turn() {
	c.take()
	if next, ok := c.Deadlines.Next(); ok && c.Now()-next > gapMost {
		c.Log.Warn("turn is late", zap.Duration("by", c.Now()-next))
	}
	c.Deadlines.Sweep(c.Now())
	c.take()
	if len(c.events) > 0 {
		c.decide()
	}
	if c.draining {
		c.finish()
	}
}

func (c *Core) take() {
	for {
		c.batch = c.Exchange.Take(c.batch)
		if len(c.batch) == 0 {
			return
		}
		for _, e := range c.batch {
			c.note(e)
		}
	}
}

func (c *Core) decide() {
	if c.control == nil {
		c.set.Fresh = c.fresh
		control, err := rules.New(c.set, c.Seed)
		if err != nil {
			panic(err) // New tried the same settings
		}
		c.control = control
	}
	now := c.Now()
	for i, e := range c.events {
		if a, ok := e.(rules.Arrive); ok {
			a.Waited = max(0, now-a.Waited) // noted as the time of arrival
			if a.TimeLeft != 0 {
				a.TimeLeft = max(1, a.TimeLeft-now) // noted as the time at which it ends; 0 would be none
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

func (c *Core) tell(e rules.Event) { c.events = append(c.events, e) }

// Load tells what share of the cores is in use, if that is known, and whether the service
// is warm. It belongs into a step of the exchange.
func (c *Core) Load() (busy float64, known, warm bool) {
	c.Runner.AskGauges() // for the next time
	return c.gauges.CoreUse, c.gauged > 0 && c.Now()-c.gauged <= gaugesOld, c.readyAt > 0 && c.Now() >= c.warmAt
}

// note books one event of the exchange.
func (c *Core) note(e exchange.Event) {
	switch e := e.(type) {
	case *exchange.Request:
		c.arrive(e)
	case exchange.Gone:
		c.gone(e.Request)
	case exchange.Outcome:
		c.outcome(e)
	case exchange.Gauges:
		c.gauges, c.gauged = c.Settings.Gauges(e), c.Now()
	case exchange.Ready:
		c.fresh = e.Cold
		if c.readyAt, c.warmAt = c.Now(), c.Now(); e.Cold {
			c.warmAt += max(0, c.set.ColdFor-e.Since)
		}
		c.health()
		c.Directory.Open()
		c.tell(rules.Due{Gauges: c.gauges}) // a first event: the module starts
	case exchange.Step:
		e()
	}
}

func (c *Core) arrive(q *exchange.Request) {
	_, ran := c.spent[q.Trace]
	if ran || c.byTrace[q.Trace] != nil {
		// A caller sends a try again when its connection was closed under it. The
		// first one may run: this one gets an answer that promises nothing.
		c.Log.Warn("request came twice", zap.String("trace", q.Trace))
		c.turnDown(q, exchange.Answer{Result: exchange.Failed, Fault: true})
		return
	}
	for c.lastID++; c.lastID == 0 || c.byID[c.lastID] != nil; c.lastID++ {
	}
	r := &request{Request: q, id: c.lastID, arrived: c.Now() - time.Since(q.Arrived)}
	if c.set.Classes[r.Class].Effect == rules.Deduplicated && !c.claim(r) {
		return
	}
	c.byID[r.id], c.byTrace[r.Trace] = r, r
	a := rules.Arrive{ID: r.id, Class: q.Class, Tenant: c.tenants[q.Tenant], Hint: q.Hint, Waited: r.arrived, HeldKB: q.HeldKB,
		Keyed: q.Keyed, Repeat: q.Repeat, Place: q.Place}
	if c.Settings.Info.PassesDeadline && q.Wait > 0 { // else its class's deadline counts
		a.TimeLeft = r.arrived + q.Wait
	}
	if r.other != nil {
		a.DupOf = r.other.Owner
	}
	c.tell(a)
}

// turnDown answers a request of which the module never hears.
func (c *Core) turnDown(q *exchange.Request, a exchange.Answer) {
	c.Exchange.Settled()
	q.From.Answer(a)
}

// claim finds the replay key's place for a try, or answers it if there is none.
func (c *Core) claim(r *request) bool {
	now := c.Now()
	e, verdict := c.keys.Claim(now, dedup.Request{Key: r.Replay, Class: r.Class, Body: r.Body}, r.id)
	switch verdict {
	case dedup.First:
		r.own = e
	case dedup.Repeat:
		r.other = e
	case dedup.Differs:
		c.Log.Warn("replay key of another request", zap.String("trace", r.Trace))
		c.turnDown(r.Request, exchange.Answer{Result: exchange.Failed, Fault: true})
	case dedup.Full:
		// Guards the memory, and every key that is inside its window.
		c.Log.Warn("request turned down: no room for its replay key", zap.Int("keys", c.keys.Len()))
		next, _ := c.keys.Next()
		c.turnDown(r.Request, exchange.Answer{Result: exchange.Refused, HoldOff: min(max(0, next-now), c.set.AdviceMax)})
	}
	return e != nil
}

// gone ends a request whose connection is lost, or that was taken back: no answer
// can reach its caller, and what it holds is wanted by others.
func (c *Core) gone(q *exchange.Request) {
	r := c.byTrace[q.Trace]
	if r == nil || r.Request != q || r.answered {
		return
	}
	c.settle(r, exchange.Answer{Result: exchange.Failed})
	c.tell(rules.Lapsed{ID: r.id})
	if r.phase == standing || r.phase == calling {
		c.end(r)
	}
}

// settle gives the final answer, once.
func (c *Core) settle(r *request, a exchange.Answer) {
	if r.answered {
		return // a DONE after an ABORT, mostly
	}
	r.answered = true
	c.Exchange.Settled()
	r.From.Answer(a)
	switch r.phase {
	case paused:
		c.Runner.Drop(r.Trace)
		c.forget(r)
	case held, sharing:
		c.forget(r)
	}
}

// forget drops what is over. A trace that ran and must not run twice is kept as
// long as its caller may send it again.
func (c *Core) forget(r *request) {
	c.Deadlines.Cancel(r.expire)
	delete(c.byID, r.id)
	delete(c.byTrace, r.Trace)
	if r.phase == sharing {
		c.keys.Leave(r.other, r.id)
	}
	c.keep(r, nil)
	if !r.ran || c.set.Classes[r.Class].Effect == rules.Idempotent {
		return
	}
	trace := r.Trace
	c.spent[trace] = struct{}{}
	c.Deadlines.At(c.Now()+c.set.Classes[r.Class].Deadline, func() { delete(c.spent, trace) })
}

// keep notes what came of the try that owns a replay key, and answers those that
// waited for it. Tries may come while the window is open, which is counted from the
// arrival of the one that ran, and are never run later than their deadline after that.
func (c *Core) keep(r *request, result []byte) {
	if r.own == nil {
		return
	}
	k := &c.set.Classes[r.Class]
	for _, id := range c.keys.End(r.own, result, r.arrived+k.Window+k.Deadline) {
		c.shared(c.byID[id])
	}
}

// share answers a request with what came of the try that it repeats, now or later.
func (c *Core) share(now time.Duration, r *request) {
	if r.other == nil || r.phase != held || r.answered {
		return
	}
	r.phase, r.began = sharing, now
	if r.other.Ended {
		c.shared(r)
	} else {
		c.keys.Wait(r.other, r.id)
	}
}

// shared ends a request that waited for another try.
func (c *Core) shared(r *request) {
	if r == nil || r.phase != sharing {
		return
	}
	a, out := exchange.Answer{Result: exchange.Failed}, rules.Internal
	if r.other.Result != nil {
		a, out = exchange.Answer{Result: exchange.Served, Body: r.other.Result}, rules.OK
	}
	c.tellSoon(rules.Completed{ID: r.id, Took: c.Now() - r.began, Outcome: out})
	c.settle(r, a)
}

// tellSoon has the module told in a turn that surely comes.
func (c *Core) tellSoon(e rules.Event) {
	c.tell(e)
	c.Exchange.Post(exchange.Step(func() {}))
}

// end stops a run that stands at a call and whose answer is given.
func (c *Core) end(r *request) {
	if r.phase == calling {
		c.Calls.GiveUp(r.Trace)
	}
	c.Deadlines.Cancel(r.expire)
	r.phase = running
	if c.set.Halt != rules.HaltNone { // else the engine ends it at its call, being told of the answer
		c.Runner.Halt(r.Trace, r.answered)
	}
}

func (c *Core) outcome(o exchange.Outcome) {
	r := c.byTrace[o.Trace]
	if r == nil {
		return // over: its run was stopped or answered before
	}
	switch o.Stage {
	case exchange.Ran:
		c.ended(r, o)
	case exchange.Needs:
		if r.phase != running {
			return
		}
		if r.answered {
			c.end(r)
			return
		}
		r.phase, r.need = standing, o.Body
		c.tell(rules.Awaiting{ID: r.id})
	case exchange.Called:
		if r.phase == calling {
			c.replied(r, o)
		}
	}
}

func (c *Core) ended(r *request, o exchange.Outcome) {
	if r.phase == held || r.phase == sharing {
		return
	}
	if r.phase == calling {
		c.Calls.GiveUp(r.Trace)
	}
	outcomes := map[exchange.End]rules.Outcome{exchange.OK: rules.OK, exchange.Stopped: rules.Cancelled,
		exchange.Moot: rules.TooLate, exchange.NotBegun: rules.TooLate}
	out, ok := outcomes[o.End]
	if !ok {
		out = rules.Internal
	}
	c.tell(rules.Completed{ID: r.id, Took: c.Now() - r.began, Outcome: out})
	switch { // a run that the engine ended by itself is answered, not held for ever
	case o.End == exchange.OK:
		c.settle(r, exchange.Answer{Result: exchange.Served, Body: o.Body})
		c.keep(r, append([]byte{}, o.Body...)) // not nil, were it empty
	case o.End == exchange.Stopped && r.suspended && !r.answered:
		// A stopped run is held again, and may be started again if its class allows;
		// a paused one goes on when it is taken.
		c.Deadlines.Cancel(r.expire)
		r.phase, r.suspended = held, false
		if c.set.Halt == rules.HaltPause {
			r.phase = paused
		}
		return
	default:
		c.settle(r, exchange.Answer{Result: exchange.Failed, Fault: o.End == exchange.NotBegun})
	}
	c.forget(r)
}

func (c *Core) replied(r *request, o exchange.Outcome) {
	c.Deadlines.Cancel(r.expire)
	outcomes := map[exchange.End]rules.Outcome{exchange.OK: rules.OK, exchange.NotBegun: rules.Full,
		exchange.Unreachable: rules.Unreachable, exchange.OutOfTime: rules.DeadlineExceeded, exchange.Broken: rules.Broken}
	out, ok := outcomes[o.End]
	if !ok {
		out = rules.Internal
	}
	if out == rules.OK {
		r.phase = running
		c.Runner.Feed(r.Trace, o.Body)
	} else {
		r.phase = standing
	}
	c.tell(rules.Replied{ID: r.id, Took: c.Now() - r.called, Outcome: out})
}

// carryOut does what the module decided.
func (c *Core) carryOut(now time.Duration, a rules.Action) {
	switch a := a.(type) {
	case rules.Take:
		if r := c.byID[a.ID]; r != nil {
			c.start(now, r)
		} else {
			c.tellSoon(rules.Completed{ID: a.ID, Outcome: rules.TooLate})
		}
	case rules.Suspend:
		r := c.byID[a.ID]
		atCall := r != nil && (r.phase == standing || r.phase == calling)
		// A pause takes runs off the cores: one at its call goes on, unless it is over.
		if r != nil && (r.phase == running || atCall && (c.set.Halt != rules.HaltPause || r.answered)) {
			r.suspended = true
			c.end(r)
		}
	case rules.Refuse:
		if r := c.byID[a.ID]; r != nil {
			c.refuse(r, a)
		}
	case rules.Abort:
		if r := c.byID[a.ID]; r != nil {
			c.settle(r, exchange.Answer{Result: exchange.Failed})
			if r.phase == standing || r.phase == calling {
				c.end(r)
			}
		}
	case rules.Call:
		if r := c.byID[a.ID]; r != nil && r.phase == standing && !r.answered {
			c.call(now, r, a.Expire)
		}
	case rules.Share:
		if r := c.byID[a.ID]; r != nil {
			c.share(now, r)
		}
	case rules.RecordKey, rules.Evict:
		// The table of replay keys knows when a key is first used, and when its request
		// has ended unrun, without being told.
	case rules.Publish:
		c.Exchange.Publish(a.Amount)
	case rules.Status:
		c.active = a.Active
		c.health()
		if c.Settings.Info.Readiness {
			c.Directory.Serves(a.Active)
		}
		c.Log.Info("health", zap.Bool("good", a.Active))
	case rules.Idle:
		c.idle = a.Lifetime
	case rules.Defer:
		c.after(now, a)
	case rules.Remark:
		c.Log.Info("module", zap.String("says", a.Text))
	default:
		c.Log.Error("action is not for this site", zap.String("type", fmt.Sprintf("%T", a)))
	}
}

// refuse gives an answer that promises that nothing ran. Guards against one that
// isn't true, whoever decided it.
func (c *Core) refuse(r *request, a rules.Refuse) {
	answer := exchange.Answer{Result: exchange.Refused, HoldOff: a.RetryIn, Stay: a.Terminal}
	if c.set.Classes[r.Class].Effect != rules.Idempotent && (r.ran || r.other != nil && r.other.Ran) {
		answer = exchange.Answer{Result: exchange.Failed}
	}
	c.settle(r, answer)
}

// health sets the answer to health checks: bad until the engine is there.
func (c *Core) health() { c.Exchange.SetHealthy(c.active && c.readyAt > 0) }

func (c *Core) start(now time.Duration, r *request) {
	unsafe := c.set.Classes[r.Class].Effect != rules.Idempotent
	if r.phase == paused {
		r.phase = running
		c.Runner.Resume(r.Trace)
		return
	}
	if r.phase != held || r.answered || unsafe && (r.ran || r.other != nil) {
		return // guards against a second run of what must run once
	}
	r.phase, r.ran, r.began = running, true, now
	if r.own != nil {
		r.own.Ran = true
	}
	c.Runner.Run(exchange.Attempt{Trace: r.Trace, Class: c.Settings.Classes[r.Class].Name, Safe: !unsafe, Body: r.Body})
}

func (c *Core) call(now time.Duration, r *request, expire time.Duration) {
	if expire == 0 {
		expire = now + c.set.Classes[r.Class].Deadline
	}
	r.phase, r.called = calling, now
	safe := c.set.Classes[r.Class].Effect == rules.Idempotent
	c.Calls.Call(exchange.Attempt{Trace: r.Trace, Safe: safe, Wait: expire - now, Body: r.need})
	r.expire = c.Deadlines.At(expire+callSlack, func() { // guards against a service below that says nothing
		c.Calls.GiveUp(r.Trace)
		c.replied(r, exchange.Outcome{End: exchange.OutOfTime})
	})
}

// after sets a timer of the module, with gauges that are fresh when it is due.
func (c *Core) after(now time.Duration, d rules.Defer) {
	if d.Span > gaugeLead {
		c.Deadlines.At(now+d.Span-gaugeLead, c.Runner.AskGauges)
	}
	c.Deadlines.At(now+d.Span, func() {
		if c.Now()-c.gauged > gaugesMost { // guards against a link that is down, or an engine that hangs
			c.gauges = c.Settings.Gauges(nil)
		}
		c.tell(rules.Due{Ref: d.Ref, Gauges: c.gauges})
	})
}

func (c *Core) sweepIdle() {
	c.Endings.Sweep(time.Now())
	for _, f := range c.Fronts {
		f.Sweep(c.idle)
	}
	c.Deadlines.At(c.Now()+sweepEvery, c.sweepIdle)
}

// Drain takes the notice, which came so long ago, that the process will be stopped after
// the given time. All is counted from when it came: a turn that was late must not have
// later requests run. It is called in a Step.
func (c *Core) Drain(waited, stop time.Duration) {
	if c.draining {
		return
	}
	noticed := c.Now() - waited
	c.draining, c.stopAt = true, noticed+stop
	c.closeAt = min(noticed+c.set.DrainGrace, c.stopAt-stopLead)
	left := c.stopAt - c.Now()
	c.Log.Info("drain", zap.Duration("stop_in", left), zap.Int("open", len(c.byID)))
	if c.Settings.Info.Readiness {
		c.Directory.Serves(false) // whatever its reports say now is listed at once
	} else {
		c.Directory.Shut()
	}
	c.tell(rules.Drain{TimeLeft: max(0, left-stopLead), Waited: waited})
	c.drainTick()
}

func (c *Core) drainTick() { c.Deadlines.At(c.Now()+drainSweep, c.drainTick) }

// finish closes what is idle once nothing new may run, and ends the process when
// all connections are closed or the stop is near.
func (c *Core) finish() {
	now := c.Now()
	if now < c.closeAt {
		return
	}
	if !c.deaf {
		// Not earlier: balancers hear of a drain late, and until then what comes on
		// new connections can still be served.
		c.deaf = true
		for _, f := range c.Fronts {
			f.StopListening()
		}
	}
	left, unsent := c.Endings.Sweep(time.Now()), 0
	for _, f := range c.Fronts {
		if now >= c.stopAt-exitLead-closeCross { // all is answered; what is half done will not be a request
			f.Finish()
		}
		l, u := f.CloseIdle(0)
		left, unsent = left+l, unsent+u
	}
	open := 0
	for _, r := range c.byID {
		if !r.answered {
			open++
		}
	}
	if left > 0 || unsent > 0 || open > 0 {
		c.emptyAt = 0
	} else if c.emptyAt == 0 {
		c.emptyAt = now
	}
	if c.emptyAt > 0 && now >= c.emptyAt+closeCross || now >= c.stopAt-exitLead {
		c.Log.Info("drained", zap.Int("open", open), zap.Duration("before_stop", c.stopAt-now))
		c.done = true
	}
}
