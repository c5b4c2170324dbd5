// The types, events and actions that this file decides on stand in api.go.

package admission

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Tuned values. None is tied to a deployment.
const (
	firstEpisode   = time.Second / 2        // t1: some tens of arrivals, and a plan soon after the start
	gaugeEvery     = 250 * time.Millisecond // twice per averaging time of the gauges
	confidence     = 1.0 / 64               // scales ε: the paper's constant never narrows within minutes
	rateFloor      = 0.1                    // Λmin, of cμ: a server below it has no decision to take
	rateCeiling    = 2.5                    // Λmax, of cμ: beyond it the thresholds hardly move
	aimsPerWork    = 6.0                    // first guess: an aim is this many mean runs
	priorRuns      = 3.0                    // completed runs that the first guess of μ is worth
	rateMemory     = 40.0                   // completed runs that μ remembers: error 1/√40
	driftBound     = 0.25                   // change of μ that ends an episode: beyond its error
	burstSigmas    = 3.5                    // Poisson deviations that end an episode
	burstWindow    = 4                      // gauge ticks over which arrivals are watched: 1 s
	silenceRuns    = 5.0                    // expected runs without one done before μ is doubted
	stuckRuns      = 20.0                   // the same, before the server calls itself unhealthy
	idleUse        = 0.9                    // core use below which more may run at once
	busyUse        = 0.985                  // core use above which more running can't help
	crowdShare     = 0.7                    // of the crowd survived that may run or stand at calls
	memoryShare    = 0.92                   // of the memory that is handed out
	readKeyShare   = 0.5                    // of the memory that keys of plain reads may fill
	aimMargin      = 0.05                   // of the aim: the way to the client and back
	tenantMemory   = 0.003                  // weight of one arrival in its tenant's part: an error of some 6%
	crowds         = 4                      // S in crowds survived: what is held beyond has no worth left
	stateMost      = 400                    // S at most: bounds the time of a plan
	planRounds     = 60                     // PI-B iterations at most: it settles in under ten
	callWeight     = 0.25                   // of a run: what a request at a call will soon want of the cores
	callCrowd      = 0.1                    // of the aim: a call that takes longer stands in a crowd
	callYield      = 0.25                   // of a call in hand, given up for each of those
	callLeast      = 20 * time.Millisecond  // a call given less time is not worth making
	stopMargin     = 40 * time.Millisecond  // before the stop: all is answered by then
	intakeShare    = 0.22                   // of the aim: a wait to be read that starves the rest
	sayChange      = 0.1                    // change of the published value that is worth telling
	intakeLost     = 0.7                    // of the aim: a wait to be read that leaves too little for use
	advicePer      = 100 * time.Millisecond // advice to stay away, for each capacity of excess arrivals
	successFloor   = 0.1                    // of the worth that a class keeps when all fails: it must recover
	callersPerCore = 16                     // one of more callers comes again too seldom
	idleLeast      = 10 * time.Millisecond  // the shortest time that may be told
	refusedVain    = 0.2                    // of what is read: others refuse too, trying them is in vain
	repeatsVain    = 0.1                    // of what is read: so many come back, others refuse as much
	refusedMost    = 0.85                   // the same: opening more connections costs more than it brings
	refusedLeast   = 0.5                    // the same, under which more callers find room
	yieldAfter     = 3.0                    // mean runs after which a run gives way: nine in ten are shorter
	requestMemory  = 0.05                   // weight of one request in the means kept of them
)

// ---- Planner: PI-B on the admission MDP (sections 2, 3 and 5) ----

// model is the M/M/c/S queue with classes; r holds r(i)(s) by state.
type model struct {
	c, S    int
	mu      float64 // μ, per second and run
	lambda  float64 // Λ̃
	shares  []float64
	eps     float64 // radius of the L1 ball around shares (eq. 9)
	r       func(i, s int) float64
	rates   [][]float64 // λ̃(i)(s)
	rewards [][]float64 // r(i)(s)
}

// plan is a solved model: class i is admitted in s while r(i)(s) ≥ bias[s].
type plan struct {
	gain   float64   // ρ
	bias   []float64 // ∇h(s), s = 0 … S-1
	rounds int
	model  model
}

// erlangWait is E[W(s)], the mean of Erlang(s-c+1, cμ).
func erlangWait(s, c int, mu float64) float64 {
	if s < c {
		return 0
	}
	return float64(s-c+1) / (float64(c) * mu)
}

// tilt moves up to eps/2 of probability from the worst class to the best,
// which maximises the shares by order of r (theorem 4.3).
func tilt(shares []float64, eps float64, order []int) []float64 {
	p := append([]float64(nil), shares...)
	best := order[0]
	move := math.Min(eps/2, 1-p[best])
	p[best] += move
	for k := len(order) - 1; k > 0 && move > 0; k-- {
		take := math.Min(move, p[order[k]])
		p[order[k]] -= take
		move -= take
	}
	return p
}

func (m *model) prepare() {
	n := len(m.shares)
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	for s := 0; s < m.S; s++ {
		r := make([]float64, n)
		for i := range r {
			r[i] = m.r(i, s)
		}
		sort.SliceStable(order, func(a, b int) bool { return r[order[a]] > r[order[b]] })
		rates := tilt(m.shares, m.eps, order)
		for i := range rates {
			rates[i] *= m.lambda
		}
		m.rates, m.rewards = append(m.rates, rates), append(m.rewards, r)
	}
}

// solve runs PI-B: evaluate by equations 11 and 3, accept every class with
// r(i)(s) ≥ ∇h(s), repeat until stable.
func solve(m model) plan {
	m.prepare()
	p := plan{bias: make([]float64, m.S), model: m}
	for p.rounds = 1; ; p.rounds++ {
		next := make([]float64, m.S)
		p.gain = m.evaluate(p.bias, next)
		stable := p.rounds > 1
		for s := 0; s < m.S && stable; s++ {
			for i := range m.shares {
				stable = stable && m.accepts(i, s, next[s]) == m.accepts(i, s, p.bias[s])
			}
		}
		p.bias = next
		if stable || p.rounds == planRounds {
			return p
		}
	}
}

// threshold is the first state in which class i is refused.
func (p *plan) threshold(i int) int {
	s := 0
	for s < p.model.S && p.model.accepts(i, s, p.bias[s]) {
		s++
	}
	return s
}

// accepts breaks ties, and rounding errors, in favour of the class.
func (m *model) accepts(i, s int, bias float64) bool {
	return m.rewards[s][i] >= bias-1e-9*(1+math.Abs(bias))
}

// evaluate fills next with ∇h of the policy that prev accepts by.
func (m *model) evaluate(prev, next []float64) (gain float64) {
	rate, reward := make([]float64, m.S+1), make([]float64, m.S+1) // Λπ(s), Rπ(s)
	for s := 0; s < m.S; s++ {
		for i, l := range m.rates[s] {
			if m.accepts(i, s, prev[s]) {
				rate[s] += l
				reward[s] += l * m.rewards[s][i]
			}
		}
	}
	mu := func(s int) float64 { return float64(min(s, m.c)) * m.mu }
	weight, sum, total := 1.0, 0.0, 0.0 // equation 11, scaled down before a product can overflow
	for s := 0; s <= m.S; s++ {
		if weight > 1e100 {
			weight, sum, total = 1, sum/weight, total/weight
		}
		sum, total = sum+weight*reward[s], total+weight
		if s < m.S {
			weight *= rate[s] / mu(s+1)
		}
	}
	gain = sum / total
	meet := 0 // equation 3 damps errors upward below it, downward above it
	for meet < m.S && rate[meet] > mu(meet) {
		below := 0.0
		if meet > 0 {
			below = mu(meet) * next[meet-1]
		}
		next[meet] = (reward[meet] + below - gain) / rate[meet]
		meet++
	}
	for s := m.S; s > meet; s-- {
		above := 0.0
		if s < m.S {
			above = rate[s] * next[s]
		}
		next[s-1] = (gain - reward[s] + above) / mu(s)
	}
	return gain
}

// ---- Estimator: arrivals by doubling episodes (section 4, proposition 7.1) ----

type estimator struct {
	episode     int           // k
	started     time.Duration // of the episode
	length      time.Duration // tk
	tau         int           // arrivals in the episode
	gap         float64       // 1/Λ̂, the truncated running mean of equation 10
	last        time.Duration // latest arrival
	counts      []float64     // arrivals by class since the start
	total       float64
	least, most float64 // Λmin, Λmax
	logConf     float64 // log 1/δk
}

// begin starts an episode: the gap's mean is reset, δk = 1/(μ·tk).
func (e *estimator) begin(now, length time.Duration, mu, least, most float64) {
	e.episode++
	e.started, e.length, e.tau, e.gap = now, length, 0, 0
	e.least, e.most = least, most
	e.logConf = math.Max(1, math.Log(mu*length.Seconds()))
}

func (e *estimator) arrive(at time.Duration, class int) {
	gap := math.Max(0, (at - e.last).Seconds())
	e.last = max(e.last, at)
	e.counts[class]++
	e.total++
	e.tau++
	if gap > math.Sqrt(2*float64(e.tau)/(e.least*e.least*e.logConf)) {
		gap = 0 // truncated
	}
	e.gap += (gap - e.gap) / float64(e.tau)
}

// upper is Λ̃ by proposition 7.1 from the episode so far.
func (e *estimator) upper() float64 {
	if e.tau == 0 || e.gap <= 0 {
		return e.most
	}
	rate := 1 / e.gap
	eps := confidence * 4 / e.least * math.Sqrt(2/float64(e.tau)*e.logConf)
	upper := math.Min(e.most, rate+e.most*e.most*eps)
	if rate*eps < 1 {
		upper = math.Min(upper, rate/(1-rate*eps))
	}
	return math.Max(upper, e.least)
}

// shares are p̂ and the radius of equation 9.
func (e *estimator) shares() ([]float64, float64) {
	p := make([]float64, len(e.counts))
	if e.total == 0 {
		for i := range p {
			p[i] = 1 / float64(len(p))
		}
		return p, 2
	}
	for i, n := range e.counts {
		p[i] = n / e.total
	}
	m := float64(len(p))
	return p, math.Min(2, confidence*math.Sqrt(2*m/e.total*(e.logConf+math.Ln2)))
}

// ---- Controller ----

// New returns the controller of a server that has just started.
func New(s Settings, seed uint64) (*Controller, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	c := &Controller{set: s, byID: map[uint32]*request{}, limit: s.Cores, healthy: true, said: -1,
		calls: s.CallQuota, est: estimator{counts: make([]float64, len(s.Classes))},
		usage: make([]float64, len(s.Tenants)), service: make([]float64, len(s.Classes)),
		success: make([]float64, len(s.Classes))}
	for i, k := range s.Classes {
		c.success[i] = 1
		c.service[i] = k.LatencyObjective.Seconds() / aimsPerWork
		c.expose += c.service[i] * priorRuns / float64(len(s.Classes))
	}
	c.done = priorRuns
	return c, nil
}

// Handle takes the events of one instant and returns the actions of it.
// The result is valid until the next call.
func (c *Controller) Handle(now time.Duration, events []Event) []Action {
	c.out = nil
	if !c.begun {
		c.begin(now)
	}
	lived := (now - c.now).Seconds() * float64(c.n[running])
	c.expose, c.quiet = c.expose+lived, c.quiet+lived
	c.countCalls(now)
	c.now = now
	first := len(c.reqs)
	for _, e := range events {
		c.note(e)
	}
	c.answerDue()
	c.start()
	for _, r := range c.reqs[first:] {
		if r.phase == fresh {
			c.decide(r)
		}
	}
	c.makeCalls()
	c.reqs = slices.DeleteFunc(c.reqs, func(r *request) bool {
		if r.phase == over {
			delete(c.byID, r.id)
		}
		return r.phase == over
	})
	c.setTimer()
	return c.out
}

func (c *Controller) begin(now time.Duration) {
	c.begun, c.birth, c.now = true, now, now
	c.est.last = now
	c.nextGauge = now + gaugeEvery
	c.do(SetHealth{Healthy: true, Cached: true})
	c.beginEpisode(firstEpisode)
	c.replan(c.est.most)
}

func (c *Controller) arrive(e Arrival) {
	if c.byID[e.ID] != nil || e.Class >= len(c.set.Classes) {
		return
	}
	k := &c.set.Classes[e.Class]
	r := &request{id: e.ID, class: e.Class, share: c.inShare(e.Tenant), dupOf: e.DuplicateOf, kb: e.MemoryKB,
		arrived: c.now - e.Age}
	r.due = c.now + e.Timeout
	if e.Timeout == 0 {
		r.due = max(c.now, r.arrived+k.Deadline)
	}
	aim := k.LatencyObjective + time.Duration(k.ObjectiveStretch*float64(e.ExpectedWork))
	aim = min(aim, k.Deadline) - time.Duration(aimMargin*float64(k.LatencyObjective))
	r.aim = min(r.arrived+aim, r.due)
	if c.draining {
		r.due = min(r.due, max(c.now, c.stopAt-stopMargin))
	}
	c.intake += (math.Min(1, float64(e.Age)/float64(k.LatencyObjective)) - c.intake) * requestMemory
	c.heard(e.Retry)
	c.reqs = append(c.reqs, r)
	c.byID[r.id] = r
	c.n[fresh]++
	c.mem += r.kb
	if r.dupOf == 0 {
		c.est.arrive(r.arrived, r.class)
		c.window[0]++
	}
}

// inShare books an arrival of the tenant and returns what part of its worth is
// to be expected. Tenants are measured against each other, by what they may send
// and what of them came here: a storm of all alone puts none over its share.
func (c *Controller) inShare(tenant int) float64 {
	if tenant >= len(c.usage) {
		return 1
	}
	allowed := 1e-9
	for i, t := range c.set.Tenants {
		allowed += t.QuotaPerSecond
		c.usage[i] -= c.usage[i] * tenantMemory
	}
	c.usage[tenant] += tenantMemory
	within := math.Min(1, c.set.Tenants[tenant].QuotaPerSecond/allowed/c.usage[tenant])
	return within + (1-within)*c.set.OverQuotaFraction
}

func (c *Controller) completed(e Completed) {
	r := c.byID[e.ID]
	if r == nil {
		return
	}
	if r.yields && e.Outcome == OutcomeCanceled && !r.answered {
		c.move(r, paused)
		return
	}
	switch r.phase {
	case running:
		c.quiet = 0
	case calling:
		c.linger()
	}
	if r.phase == running && (e.Outcome == OutcomeOK || e.Outcome == OutcomeInternal) {
		c.done++
		c.service[r.class] += (e.Elapsed.Seconds() - c.service[r.class]) * requestMemory
	}
	if r.phase != sharing && e.Outcome != OutcomeNotStarted { // a class whose calls fail must not crowd out the others
		useful := successFloor
		if e.Outcome == OutcomeOK && !r.answered {
			useful = 1
		}
		c.success[r.class] += (useful - c.success[r.class]) * requestMemory
	}
	r.answered = true
	c.move(r, over)
}

// lapsed ends what no caller waits for, and stops its work where that can be done.
func (c *Controller) lapsed(r *request) {
	r.answered = true
	if r.phase == running {
		c.stop(r)
	} else if r.phase != standing && r.phase != calling {
		c.forget(r)
		c.move(r, over)
	}
}

// stop frees the cores of answered work. Deduplicated work goes on: its next
// try shares the result.
func (c *Controller) stop(r *request) {
	if c.set.Preemption != PreemptionNone && c.set.Classes[r.class].Effect != Deduplicated {
		c.do(Preempt{r.id})
	}
}

// refuse answers a request that never ran.
func (c *Controller) refuse(r *request) {
	c.refused += requestMemory
	c.forget(r)
	r.answered = true
	vain := c.set.TiersAbove > 0 || c.refused > refusedLeast ||
		c.refused > refusedVain && (c.repeats > repeatsVain || !c.set.RetriesMarked)
	c.do(Reject{ID: r.id, RetryAfter: c.advice(r.class), DoNotRetry: !c.draining && vain})
	c.move(r, over)
}

// abort answers a request that ran, or may have.
func (c *Controller) abort(r *request) {
	r.answered = true
	c.do(Fail{r.id})
	switch r.phase {
	case running:
		c.stop(r)
	case standing, calling: // ends with a Completed
	default:
		c.move(r, over)
	}
}

// fail gives the final answer that the rules allow.
func (c *Controller) fail(r *request) {
	if r.ran || r.dupOf != 0 {
		c.abort(r)
	} else {
		c.refuse(r)
	}
}

// advice is when to come back: once the runs that keep the class out have ended.
func (c *Controller) advice(class int) time.Duration {
	if c.draining {
		return c.set.MaxRetryAfter
	}
	wait := (c.rate()/c.capacity() - 1) * advicePer.Seconds()
	if c.est.episode > 1 { // before that μ is a guess
		wait = math.Max(wait, float64(max(0, c.state()-c.plan.threshold(class))+1)/c.capacity())
	}
	return min(c.set.MaxRetryAfter, time.Duration(math.Max(0, wait)*float64(time.Second)))
}

// forget drops the table entry of a request that never ran.
func (c *Controller) forget(r *request) {
	if !r.kept || r.ran {
		return
	}
	r.kept = false
	c.do(EvictKey{r.id})
	c.keys = slices.DeleteFunc(c.keys, func(k keptKey) bool { return k.id == r.id })
}

// ---- Admission ----

// mu is the service rate of one run: completions per run-second, doubted
// when nothing has left the cores for much longer than that explains. It
// guards against hangs, stalls and sudden slowness.
func (c *Controller) mu() float64 {
	mu := c.done / c.expose
	if c.silence() > silenceRuns {
		mu = math.Min(mu, silenceRuns/c.quiet)
	}
	return mu
}

// silence is how many runs should have left the cores since the last one did.
func (c *Controller) silence() float64 { return c.quiet * c.done / math.Max(c.expose-c.quiet, 1e-9) }

func (c *Controller) state() int { return c.n[held] + c.n[running] }

// reward is r(i)(s): the worth less the part of it that waiting is expected
// to cost, γ being the worth over the time that may be waited.
func (c *Controller) reward(r *request, s int) float64 {
	budget := (min(r.aim, r.due) - c.now).Seconds() - c.service[r.class]
	if budget <= 0 {
		return -1
	}
	return c.worth[r.class] * r.share * (1 - erlangWait(s, c.limit, c.mu())/budget)
}

// decide answers, starts or holds a request that was just read. An idle server takes late ones, to learn.
func (c *Controller) decide(r *request) {
	k := &c.set.Classes[r.class]
	if r.dupOf != 0 {
		c.repeat(r)
		return
	}
	if c.draining && r.arrived > c.drainedAt+c.set.DrainGracePeriod {
		c.refuse(r)
		return
	}
	room := c.room()
	need := r.kb * (c.set.RunMemoryFactor - 1)
	if k.Effect == Deduplicated {
		need += c.set.KeyMemoryKB
	}
	if need > room {
		c.refuse(r)
		return
	}
	s, full := c.state(), !c.canRun() || c.n[held] > 0
	c.waited = c.waited || full
	late := c.reward(r, s) < 0 &&
		(c.draining || c.now >= c.expiry(r) || c.behind() || s > 0 && c.refused > refusedVain)
	if late || full && !c.yield() && (s >= len(c.plan.bias) || c.reward(r, s) < c.plan.bias[s]) {
		c.refuse(r)
		return
	}
	if k.Effect == Deduplicated {
		c.keep(r, k.DedupWindow)
	} else if c.set.ResultReuseWindow > 0 && k.Effect == Idempotent && room-need > c.set.MemoryKB*readKeyShare {
		c.keep(r, r.due-c.now+c.set.ResultReuseWindow)
	}
	c.move(r, held)
	c.start()
}

// repeat answers a try of a kept request. It is never run itself.
func (c *Controller) repeat(r *request) {
	o := c.byID[r.dupOf]
	if o != nil && o.phase == fresh {
		c.decide(o)
	}
	if o != nil && o.phase == over && !o.ran && o.dupOf == 0 {
		c.refuse(r)
		return
	}
	if c.room() < 0 || c.now >= c.expiry(r) {
		c.abort(r)
		return
	}
	c.do(ShareResult{r.id})
	c.move(r, sharing)
}

func (c *Controller) keep(r *request, life time.Duration) {
	r.kept = true
	c.keys = append(c.keys, keptKey{r.id, c.now + life})
	c.do(StoreKey{r.id, life})
}

// room is the memory left to hand out.
func (c *Controller) room() float64 {
	return c.set.MemoryKB*memoryShare - c.mem - float64(len(c.keys))*c.set.KeyMemoryKB
}

// capacity is cμ, in runs per second.
func (c *Controller) capacity() float64 { return float64(c.limit) * c.mu() }

// crowd is the number of runs on the cores that the server survives now.
func (c *Controller) crowd() float64 {
	speed := 1.0
	if c.set.SlowStart && c.now < c.birth+c.set.SlowStartDuration {
		grown := float64(c.now-c.birth) / float64(c.set.SlowStartDuration)
		speed = c.set.SlowStartMinSpeed + (1-c.set.SlowStartMinSpeed)*grown
	}
	return float64(c.set.Cores) * (1 + (c.set.MaxRunsPerCore-1)*speed)
}

// canRun tells whether one more may go on the cores: c isn't full, with a part
// of it kept for what will be back from its calls, and all that could come back
// at once stays under the crowd.
func (c *Controller) canRun() bool {
	calls := c.n[standing] + c.n[calling]
	all := c.n[running] + c.n[paused] + calls
	return float64(c.n[running])+callWeight*float64(calls) < float64(c.limit) &&
		float64(all) <= max(1, c.crowd()*crowdShare)-1
}

// start runs what is held, oldest first, and resumes what is paused after it.
func (c *Controller) start() {
	for _, from := range []phase{held, paused} {
		for _, r := range c.reqs {
			if !c.canRun() {
				return
			}
			if r.phase != from || from == held && r.kb*(c.set.RunMemoryFactor-1) > c.room() {
				continue
			}
			if c.n[running] == 0 {
				c.quiet = 0
			}
			r.ran, r.yields = true, false
			c.do(Run{r.id})
			c.move(r, running)
		}
	}
}

// yield pauses a run far longer than its class's mean, for a request that finds
// c full: where work is uneven the longest runs hold most of a small server, and
// those that ran long have longest to go. Where worth is counted by work they
// are worth it.
func (c *Controller) yield() bool {
	for _, r := range c.reqs {
		if r.phase == running && c.set.Preemption == PreemptionPause && !c.set.WeightPerWork && !r.answered && !r.yields &&
			(r.spent+c.now-r.since).Seconds() > yieldAfter*c.service[r.class] {
			r.yields = true
			c.do(Preempt{r.id})
			return true
		}
	}
	return false
}

// ---- Guards ----

// answerDue answers what must not wait longer: all at its due time, and the
// held before its worth is lost.
func (c *Controller) answerDue() {
	for _, r := range c.reqs {
		if r.answered || r.phase == over || r.phase == fresh {
			continue
		}
		if c.now >= c.expiry(r) {
			c.fail(r)
		}
	}
}

// expiry is when answerDue ends a request.
func (c *Controller) expiry(r *request) time.Duration {
	due := r.due - 2*c.set.MinInterval
	if r.phase == held {
		due = min(due, r.aim-time.Duration(c.service[r.class]/2*float64(time.Second)))
	}
	return due
}

func (c *Controller) drain(e Drain) {
	if c.draining {
		return
	}
	c.draining, c.drainedAt, c.stopAt = true, c.now-e.Age, c.now+e.StopIn
	for _, r := range c.reqs {
		r.due = min(r.due, max(c.now, c.stopAt-stopMargin))
	}
	c.do(SetHealth{Healthy: false, Cached: true})
}

// makeCalls makes the calls that wait for room, oldest first.
func (c *Controller) makeCalls() {
	for _, r := range c.reqs {
		if r.phase != standing || r.answered {
			continue
		}
		if !c.callRoom() {
			if c.set.Classes[r.class].DegradedFraction > 0 {
				c.do(Degrade{r.id})
				c.move(r, running)
			}
			continue
		}
		c.do(StartCall{ID: r.id, Deadline: c.callEnd(r)})
		c.move(r, calling)
	}
}

// callRoom keeps the calls in hand under their bound, at most the told share of what all may
// have there; abandoned calls that linger count too. Below one, the mean over the
// window is kept instead: call time is saved up at half the share.
func (c *Controller) callRoom() bool {
	if c.set.Dependency != DependencyShared {
		return true
	}
	if c.set.CallQuota >= 1 {
		return float64(c.n[calling]+len(c.lingering)+1) <= c.calls
	}
	return c.n[calling]+len(c.lingering) == 0 && c.callTime >= c.set.CallLinger.Seconds()+callLeast.Seconds()
}

// behind tells whether more wait for calls than are at them: cores may be free, the server isn't.
func (c *Controller) behind() bool {
	return c.set.Dependency == DependencyShared && c.set.CallQuota >= 1 && float64(c.n[standing]) > c.calls
}

// callTook moves the bound on calls in hand, of which the share is a ceiling, not a target: what all
// share slows down well before it dies. Calls that are turned away, or take long, lower it.
func (c *Controller) callTook(e CallCompleted, class int) {
	if e.Outcome == OutcomeResourceExhausted || e.Elapsed.Seconds() > callCrowd*c.set.Classes[class].LatencyObjective.Seconds() {
		c.calls = math.Max(1, c.calls-callYield)
	} else if e.Outcome != OutcomeUnavailable {
		c.calls = math.Max(1, math.Min(c.set.CallQuota, c.calls+1/math.Max(1, c.calls)))
	}
}

func (c *Controller) linger() { c.lingering = append(c.lingering, c.now+c.set.CallLinger) }

// callEnd is when a call that starts now is abandoned.
func (c *Controller) callEnd(r *request) time.Duration {
	end := r.due - 2*c.set.MinInterval
	if c.set.Dependency == DependencyShared && c.set.CallQuota < 1 {
		spare := c.callTime - c.set.CallLinger.Seconds()
		end = min(end, c.now+time.Duration(spare*float64(time.Second)))
	}
	return end
}

// countCalls books the time that calls spent in hand since the last event.
func (c *Controller) countCalls(now time.Duration) {
	c.lingering = slices.DeleteFunc(c.lingering, func(until time.Duration) bool { return until <= now })
	passed := (now - c.now).Seconds()
	most := c.set.CallQuota * c.set.CallWindow.Seconds() / 2
	inHand := float64(c.n[calling] + len(c.lingering))
	c.callTime = math.Min(most, c.callTime+passed*(c.set.CallQuota/2-inHand))
}

func (c *Controller) replied(e CallCompleted) {
	r := c.byID[e.ID]
	if r == nil || r.phase != calling {
		return
	}
	c.callTook(e, r.class)
	if e.Outcome == OutcomeOK {
		c.move(r, running)
		return
	}
	c.move(r, standing)
	if e.Outcome == OutcomeDeadlineExceeded || e.Outcome == OutcomeAborted {
		c.linger()
	}
	if r.answered {
		return
	}
	if c.set.Classes[r.class].DegradedFraction > 0 {
		c.do(Degrade{r.id})
		c.move(r, running)
	} else {
		c.abort(r) // to call again costs what is crowded, and may act twice
	}
}

// ---- Episodes, run limit and signals, at each gauge tick ----

func (c *Controller) gauge(g Gauges) {
	c.nextGauge = c.now + gaugeEvery
	c.keys = slices.DeleteFunc(c.keys, func(k keptKey) bool { return k.until <= c.now })
	if c.done > rateMemory {
		c.expose *= rateMemory / c.done
		c.done = rateMemory
	}
	c.adjustLimit(g)
	c.endEpisode()
	c.signal()
	c.connections()
	if c.window[0] == 0 {
		c.intake *= 1 - requestMemory // nothing comes: forget, so as to be asked again
	}
	copy(c.window[1:], c.window[:])
	c.window[0] = 0
}

// adjustLimit grows c by the cores that are free while requests find it full, if
// what is at calls would find room too; it shrinks c to the cores while they are busy,
// and below while requests wait long to be read: the intake shares the cores, and
// once it can't keep up all that is read is stale, whatever crowded it.
func (c *Controller) adjustLimit(g Gauges) {
	cores := c.set.Cores
	free := int(float64(cores) - g.RunQueue - callWeight*float64(c.n[calling]))
	switch {
	case c.intake > intakeShare:
		c.limit = max(1, cores/3, c.limit-1)
	case c.limit < cores:
		c.limit++
	case c.waited && g.CPUUtilization >= 0 && g.CPUUtilization < idleUse && free > 0:
		c.limit = min(c.limit+free, max(cores, int(c.crowd()*crowdShare)))
	case g.CPUUtilization > busyUse && c.limit > cores:
		c.limit--
	}
	c.waited = false
}

// connections sets how long an idle connection stays open. Where callers are
// many one seldom comes again soon, and an idle connection costs core time and,
// once the table is full, its place: it is closed at once. While nearly all that
// is read is refused, opening connections is the greater cost: then they are
// kept, and a full table turns callers away at no cost to the cores.
func (c *Controller) connections() {
	if c.set.Callers <= callersPerCore*c.set.Cores {
		return
	}
	idle := c.idle
	switch {
	case c.refused > refusedMost:
		idle *= 4
	case c.refused < refusedLeast:
		idle -= idle / 10
	}
	idle = min(max(idle, idleLeast), c.set.MaxIdleTimeout)
	if idle != c.idle {
		c.idle = idle
		c.do(SetIdleTimeout{idle})
	}
}

// beginEpisode learns Λmax too (appendix H): no less than what was just seen.
func (c *Controller) beginEpisode(length time.Duration) {
	full := c.capacity()
	c.est.begin(c.now, length, c.mu(), full*rateFloor, math.Max(full*rateCeiling, 2*c.rate()))
}

// rate is the rate of arrivals over the window.
func (c *Controller) rate() float64 {
	recent := 0
	for _, n := range c.window {
		recent += n
	}
	return float64(recent) / (gaugeEvery.Seconds() * burstWindow)
}

// endEpisode plans anew when the episode has run its time, or early when what
// is observed has left the confidence set of the plan.
func (c *Controller) endEpisode() {
	rate := c.rate()
	m := &c.plan.model
	burst := c.est.episode > 1 && rate > m.lambda+burstSigmas*math.Sqrt(m.lambda)
	drift := c.mu()/m.mu > 1+driftBound || m.mu/c.mu() > 1+driftBound || m.c != c.limit
	over := c.now >= c.est.started+c.est.length
	if !burst && !drift && !over {
		return
	}
	lambda := c.est.upper()
	if burst {
		lambda = math.Max(lambda, rate)
	}
	length := c.est.length
	switch {
	case c.est.episode > 1 && over:
		length *= 2
	case burst:
		length = firstEpisode
	}
	if over || burst {
		c.beginEpisode(length)
	} else {
		lambda = m.lambda // only μ or c moved: the same episode, a new plan
	}
	c.replan(lambda)
	c.remark()
}

// replan solves the optimistic model.
func (c *Controller) replan(lambda float64) {
	shares, eps := c.est.shares()
	mean := 0.0
	for i, p := range shares {
		mean += p * c.service[i]
	}
	worth, gamma := make([]float64, len(shares)), make([]float64, len(shares))
	for i := range shares {
		k := &c.set.Classes[i]
		worth[i] = k.PriorityWeight * c.success[i]
		if !c.set.WeightPerWork { // the planner has one μ: a long class is worth less per run
			worth[i] *= mean / c.service[i]
		}
		budget := k.LatencyObjective.Seconds()*(1-aimMargin) - c.service[i]
		gamma[i] = worth[i] / math.Max(budget, k.LatencyObjective.Seconds()*aimMargin)
	}
	c.worth = worth
	mu, limit := c.mu(), c.limit
	states := max(limit+1, min(stateMost, int(crowds*float64(c.set.Cores)*c.set.MaxRunsPerCore)))
	c.plan = solve(model{c: limit, S: states, mu: mu, lambda: lambda, shares: shares, eps: eps,
		r: func(i, s int) float64 { return worth[i] - gamma[i]*erlangWait(s, limit, mu) }})
}

// signal tells callers what would be in vain.
func (c *Controller) signal() {
	starved := c.intake > intakeLost || !c.healthy && c.intake > intakeShare
	healthy := !c.draining && c.silence() < stuckRuns && !starved
	if healthy != c.healthy {
		c.healthy = healthy
		c.do(SetHealth{Healthy: healthy, Cached: true})
	}
	if c.set.Advert == AdvertNone {
		return
	}
	amount := c.advert()
	if math.Abs(amount-c.said) > sayChange*c.said {
		c.said = amount
		c.do(Advertise{amount})
	}
}

func (c *Controller) advert() float64 {
	classes, least, refused := len(c.set.Classes), len(c.plan.bias), 0
	for i := 0; i < classes; i++ {
		least = min(least, c.plan.threshold(i))
		if s := c.state(); s >= c.limit && s >= c.plan.threshold(i) {
			refused++
		}
	}
	switch {
	case c.set.Advert == AdvertMinRank:
		return float64(refused) / float64(classes)
	case c.set.Advert == AdvertWeight:
		return math.Min(1, c.capacity()/c.plan.model.lambda)
	}
	// A credit lets in as much as is held before a class is refused, and the calls.
	room := max(least, 2*c.limit) + c.n[standing] + c.n[calling]
	return float64(room) / float64(max(1, c.set.Callers))
}

// setTimer asks for the earliest time at which something is due.
func (c *Controller) setTimer() {
	next := c.nextGauge
	for _, r := range c.reqs {
		if !r.answered {
			next = min(next, c.expiry(r))
		}
	}
	next = max(next, c.now+max(c.set.MinInterval, time.Microsecond))
	if c.timerAt == 0 || next < c.timerAt {
		c.ref++
		c.timerAt = next
		c.do(SetTimer{After: next - c.now, TimerID: c.ref})
	}
}
