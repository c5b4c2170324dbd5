package admission

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// site is a small server: two cores, a cheap and a dear class.
func site() Settings {
	return Settings{
		MinInterval: 2 * ms, Cores: 2, Servers: 4, Callers: 3,
		Classes: []Class{
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1},
			{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 10},
		},
		MaxRunsPerCore: 8, OverloadWindow: 2 * time.Second, SlowStartMinSpeed: 0.2, SlowStartDuration: 10 * time.Second,
		MemoryKB: 10000, RunMemoryFactor: 4, KeyMemoryKB: 10, AnswerGracePeriod: 60 * ms,
		DrainGracePeriod: time.Second, MaxRetryAfter: time.Second,
		Dependency: DependencyNone, CallWindow: 5 * time.Second, CallLinger: 200 * ms,
	}
}

// rig drives a controller by script.
type rig struct {
	t   *testing.T
	c   *Controller
	now time.Duration
}

func newRig(t *testing.T, change func(*Settings)) *rig {
	t.Helper()
	s := site()
	if change != nil {
		change(&s)
	}
	c, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, c: c, now: 100 * time.Second}
	r.c.Handle(r.now, nil)
	return r
}

// at moves the clock, hands over the events and returns the actions that
// concern requests and signals, without timers and remarks.
func (r *rig) at(after time.Duration, events ...Event) []Action {
	r.now += after
	var out []Action
	for _, a := range r.c.Handle(r.now, events) {
		switch a.(type) {
		case SetTimer, LogMessage:
		default:
			out = append(out, a)
		}
	}
	return out
}

func (r *rig) want(got []Action, want ...Action) {
	r.t.Helper()
	if len(got) == 0 && len(want) == 0 {
		return
	}
	if !reflect.DeepEqual(got, want) {
		r.t.Errorf("at %v: actions %#v, want %#v", r.now, got, want)
	}
}

func ask(id uint32, class int) Arrival {
	return Arrival{ID: id, Class: class, Timeout: 2 * time.Second, MemoryKB: 10}
}

func (r *rig) fill() {
	r.t.Helper()
	r.want(r.at(0, ask(901, 1), ask(902, 1)), Run{901}, Run{902})
}

func count[T Action](actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

func TestFreeCoresRunAtOnce(t *testing.T) {
	r := newRig(t, nil)
	r.want(r.at(0, ask(1, 0)), Run{1})
	r.want(r.at(ms, Completed{ID: 1, Elapsed: ms, Outcome: OutcomeOK}))
	if len(r.c.requests) != 0 || r.c.requestsKB != 0 {
		t.Errorf("%d requests and %v kB left", len(r.c.requests), r.c.requestsKB)
	}
}

func TestAdmissionFollowsThePlan(t *testing.T) {
	r := newRig(t, nil)
	r.fill()
	// The first episode takes Λmax and all arrivals to be dear: cheap work is refused.
	got := r.at(0, ask(1, 0))
	if count[Reject](got) != 1 {
		t.Errorf("cheap request with c full: %v, want a refusal", got)
	}
	s := r.c.occupancy()
	if r.c.policy.threshold(1) <= s {
		t.Fatalf("the plan refuses the dear class in state %d", s)
	}
	r.want(r.at(0, ask(2, 1)))
	// Held work starts, oldest first, once a core is free.
	r.want(r.at(ms, Completed{ID: 901, Elapsed: ms, Outcome: OutcomeOK}), Run{2})
}

func TestAdmissionMatchesRewardAndBias(t *testing.T) {
	r := newRig(t, nil)
	r.fill()
	for i := uint32(0); i < 60; i++ {
		s := r.c.occupancy()
		probe := &request{class: 1, weightFraction: 1, objective: r.now + 950*ms, deadline: r.now + 2*time.Second}
		admit := s < len(r.c.policy.bias) && r.c.reward(probe, s) >= r.c.policy.bias[s] && r.c.reward(probe, s) >= 0
		got := r.at(0, ask(10+i, 1))
		if refused := count[Reject](got) == 1; refused == admit {
			t.Fatalf("state %d: refused %v, r ≥ ∇h %v", s, refused, admit)
		}
		if !admit {
			return
		}
	}
	t.Error("the dear class was never refused")
}

func TestEveryRequestIsAnsweredByItsDueTime(t *testing.T) {
	r := newRig(t, nil)
	r.fill()
	r.at(0, ask(1, 1))
	answered := map[uint32]time.Duration{}
	start := r.now
	for r.now < start+2*time.Second { // the work hangs: only timers come
		for _, a := range r.at(2*ms, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 2}}) {
			switch a := a.(type) {
			case Fail:
				answered[a.ID] = r.now - start
			case Reject:
				answered[a.ID] = r.now - start
			}
		}
	}
	for _, id := range []uint32{901, 902, 1} {
		if at, ok := answered[id]; !ok || at > 2*time.Second {
			t.Errorf("request %d answered %v after %v", id, ok, at)
		}
	}
	if answered[1] >= 950*ms {
		t.Errorf("held request refused after %v, when its worth was lost", answered[1])
	}
	if r.c.healthy {
		t.Error("the server calls itself healthy while nothing moves")
	}
}

func TestMissingTimeLeftMeansTheDeadline(t *testing.T) {
	r := newRig(t, nil)
	a := ask(1, 0)
	a.Timeout, a.Age = 0, 500*ms
	r.at(0, a)
	if got, want := r.c.byID[1].deadline, r.now+1500*ms; got != want {
		t.Errorf("due at %v, want %v", got, want)
	}
}

func TestMemoryOfOneBatchIsShared(t *testing.T) {
	// 92 kB to hand out; a run takes 40 kB: two fit, the third has no room.
	r := newRig(t, func(s *Settings) { s.MemoryKB, s.Cores = 100, 4 })
	got := r.at(0, ask(1, 1), ask(2, 1), ask(3, 1))
	if count[Run](got) != 2 || count[Reject](got) != 1 {
		t.Errorf("actions %v, want two runs and a refusal", got)
	}
	if r.c.requestsKB > 100 {
		t.Errorf("%v kB in use", r.c.requestsKB)
	}
}

func TestColdServerRunsFewer(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.SlowStart, s.MaxRunsPerCore, s.SlowStartMinSpeed = true, 2, 0 })
	if cold := r.c.maxRuns(); cold != 2 {
		t.Errorf("cold crowd %v, want the cores", cold)
	}
	r.now += 5 * time.Second
	r.c.now = r.now
	if half := r.c.maxRuns(); half != 3 {
		t.Errorf("half warm crowd %v, want 3", half)
	}
	r.c.now += 5 * time.Second
	if warm := r.c.maxRuns(); warm != 4 {
		t.Errorf("warm crowd %v, want 4", warm)
	}
}

func keyedSite(s *Settings) {
	s.Classes[1].Effect, s.Classes[1].DedupWindow = Deduplicated, 7*time.Second
}

func TestKeyIsKeptForItsWindowAndRepeatsShare(t *testing.T) {
	r := newRig(t, keyedSite)
	r.want(r.at(0, ask(1, 1)), StoreKey{1, 7 * time.Second}, Run{1})
	again := ask(2, 1)
	again.DuplicateOf = 1
	r.want(r.at(ms, again), ShareResult{2})
	// The first try runs past its due time: it is failed, never refused.
	got := r.at(1999*ms, TimerFired{TimerID: r.c.timerID})
	if count[Fail](got) == 0 || count[Reject](got) != 0 || count[EvictKey](got) != 0 {
		t.Errorf("actions %v, want Abort alone for keyed work that ran", got)
	}
}

func TestKeyOfUnrunRequestIsForgotten(t *testing.T) {
	r := newRig(t, keyedSite)
	r.at(0, ask(901, 1), ask(902, 1))
	r.want(r.at(0, ask(1, 1)), StoreKey{1, 7 * time.Second})
	r.want(r.at(ms, Canceled{1}), EvictKey{1})
	if len(r.c.storedKeys) != 2 {
		t.Errorf("%d keys, want those of the two that run", len(r.c.storedKeys))
	}
}

func TestNoRoomForTheKeyRefusesBeforeRunning(t *testing.T) {
	r := newRig(t, func(s *Settings) { keyedSite(s); s.KeyMemoryKB = 9190 })
	got := r.at(0, ask(1, 1))
	if count[Reject](got) != 1 || count[Run](got) != 0 {
		t.Errorf("actions %v, want a refusal", got)
	}
}

func TestRepeatOfOneRefusedInTheSameBatch(t *testing.T) {
	r := newRig(t, func(s *Settings) { keyedSite(s); s.KeyMemoryKB = 9190 })
	again := ask(2, 1)
	again.DuplicateOf = 1
	got := r.at(0, again, ask(1, 1))
	if count[Reject](got) != 2 {
		t.Errorf("actions %v, want two refusals", got)
	}
}

func TestReadsShareAnswers(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.ResultReuseWindow = time.Second })
	a := ask(1, 0)
	a.HasKey = true
	r.want(r.at(0, a), StoreKey{1, 3 * time.Second}, Run{1})
	b := ask(2, 0)
	b.HasKey, b.DuplicateOf = true, 1
	r.want(r.at(ms, b), ShareResult{2})
	r.want(r.at(ms, Completed{ID: 1, Outcome: OutcomeOK}, Completed{ID: 2, Outcome: OutcomeOK}))
	if len(r.c.requests) != 0 {
		t.Error("requests left")
	}
}

func callSite(s *Settings) {
	s.Dependency = DependencyNextTier
	s.Classes[0].MakesCalls, s.Classes[1].MakesCalls = true, true
	s.Classes[1].Effect = AtMostOnce
}

func TestCalls(t *testing.T) {
	tests := []struct {
		name    string
		class   int
		outcome Outcome
		skip    float64
		want    string // "abort", "skip" or "run"
	}{
		{"ok", 0, OutcomeOK, 0, "run"},
		{"a refusal", 0, OutcomeResourceExhausted, 0, "abort"},
		{"a refusal is skipped where that keeps worth", 0, OutcomeResourceExhausted, 0.5, "skip"},
		{"unreachable", 1, OutcomeUnavailable, 0, "abort"},
		{"idempotent call that may have run", 0, OutcomeDeadlineExceeded, 0, "abort"},
		{"unsafe call that may have run", 1, OutcomeDeadlineExceeded, 0, "abort"},
		{"unsafe call that failed", 1, OutcomeInternal, 0, "abort"},
		{"unsafe call broken off", 1, OutcomeAborted, 0.5, "skip"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, func(s *Settings) { callSite(s); s.Classes[tt.class].DegradedFraction = tt.skip })
			r.at(0, ask(1, tt.class))
			r.want(r.at(ms, CallNeeded{1}), StartCall{1, r.now + 2*time.Second - 5*ms})
			got := r.at(ms, CallCompleted{ID: 1, Outcome: tt.outcome})
			switch tt.want {
			case "run":
				r.want(got)
			case "abort":
				r.want(got, Fail{1})
			case "skip":
				r.want(got, Degrade{1})
			}
		})
	}
}

func TestSharedCallsStayUnderTheShare(t *testing.T) {
	for _, share := range []float64{0.4, 1, 2.5} {
		r := newRig(t, func(s *Settings) { callSite(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, share, 8 })
		inHand, sum := 0, 0.0
		lingers := []time.Duration{}
		next, live, called := uint32(1), []uint32{}, map[uint32]time.Duration{}
		const steps = 5000
		for i := 0; i < steps; i++ {
			var events []Event
			if i%20 == 0 {
				events = append(events, Arrival{ID: next, Class: 0, Timeout: 900 * ms, MemoryKB: 1})
				next++
			}
			for _, id := range live {
				events = append(events, CallNeeded{id})
			}
			live = live[:0]
			for _, q := range r.c.requests { // calls are abandoned when they expire
				if q.phase == phaseInCall && r.now >= called[q.id]+400*ms {
					events = append(events, CallCompleted{ID: q.id, Outcome: OutcomeDeadlineExceeded})
					inHand--
					lingers = append(lingers, r.now+200*ms)
				}
			}
			events = append(events, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 0.5}})
			for _, a := range r.at(2*ms, events...) {
				switch a := a.(type) {
				case Run:
					live = append(live, a.ID)
				case StartCall:
					inHand++
					called[a.ID] = r.now
				}
			}
			for len(lingers) > 0 && lingers[0] <= r.now {
				lingers = lingers[1:]
			}
			sum += float64(inHand + len(lingers))
		}
		if mean := sum / steps; mean > share || mean == 0 {
			t.Errorf("share %v: mean of calls in hand %v", share, mean)
		}
	}
}

func TestDrain(t *testing.T) {
	r := newRig(t, nil)
	r.fill()
	r.want(r.at(0, Drain{StopIn: 1500 * ms}), SetHealth{Healthy: false, Cached: true})
	late := ask(1, 1)
	late.Age = 0
	got := r.at(1100*ms, late)
	r.want(got[len(got)-1:], Reject{ID: 1, RetryAfter: time.Second})
	got = r.at(365*ms, TimerFired{TimerID: r.c.timerID}) // 35 ms before the stop
	if count[Fail](got) != 2 {
		t.Errorf("before the stop: %v, want both runs failed", got)
	}
}

func TestLapsedRunIsStoppedWhereItCanBe(t *testing.T) {
	for halt, want := range map[Preemption]int{PreemptionNone: 0, PreemptionDrop: 1, PreemptionPause: 1} {
		r := newRig(t, func(s *Settings) { s.Preemption = halt })
		r.at(0, ask(1, 0))
		if got := count[Preempt](r.at(ms, Canceled{1})); got != want {
			t.Errorf("halt %v: %d suspends, want %d", halt, got, want)
		}
		r.want(r.at(ms, Completed{ID: 1, Outcome: OutcomeCanceled}))
		if len(r.c.requests) != 0 {
			t.Errorf("halt %v: the request is still there", halt)
		}
	}
}

func TestOddEventsAreIgnored(t *testing.T) {
	r := newRig(t, nil)
	r.want(r.at(0, Completed{ID: 7}, Canceled{7}, CallNeeded{7}, CallCompleted{ID: 7}, TimerFired{TimerID: 99}))
	r.want(r.at(0))
}

func TestTenantOverItsShareIsWorthLess(t *testing.T) {
	tenants := []Tenant{{QuotaPerSecond: 0.1}, {QuotaPerSecond: 0.3}} // far under one a second and server
	r := newRig(t, func(s *Settings) { s.Tenants, s.OverQuotaFraction = tenants, 0.1 })
	share := make([]float64, 2)
	play := func(pattern ...int) {
		for i := 0; i < 2000; i++ {
			tenant := pattern[i%len(pattern)]
			share[tenant] = r.c.tenantWeightFraction(tenant)
		}
	}
	play(0, 1, 1, 1)
	if share[0] < 0.97 || share[1] < 0.97 {
		t.Errorf("both send their parts and keep %v of their worth", share)
	}
	play(0, 1)
	if share[0] < 0.5 || share[0] > 0.6 || share[1] != 1 {
		t.Errorf("the first sends twice its part and they keep %v, want half and a tenth of the rest, and all", share)
	}
	r = newRig(t, func(s *Settings) { s.Tenants = []Tenant{{}, {}} })
	if got := r.c.tenantWeightFraction(0); got != 0 {
		t.Errorf("a tenant with nothing allowed keeps %v", got)
	}
}

func TestIntakeStarvedLowersTheLimit(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Cores = 6 })
	for i := uint32(1); i < 40; i++ {
		a := ask(i, 0)
		a.Age = 600 * ms
		r.at(0, a)
	}
	for i := 0; i < 8; i++ {
		r.at(gaugeInterval, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 12}})
	}
	if r.c.concurrencyLimit != 2 {
		t.Errorf("c %d while requests wait to be read, want a third of the cores", r.c.concurrencyLimit)
	}
	r.c.readDelay = 0
	for i := 0; i < 8; i++ {
		r.at(gaugeInterval, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 12}})
	}
	if r.c.concurrencyLimit != 6 {
		t.Errorf("c %d after the intake recovered, want the cores", r.c.concurrencyLimit)
	}
}

func TestLimitGrowsOnlyWhileCoresWouldIdle(t *testing.T) {
	for name, tt := range map[string]struct {
		onCores float64
		calls   uint32
		want    int
	}{
		"idle":              {1, 0, 3},
		"cores just full":   {2, 0, 2},
		"calls come back":   {1, 1, 2},
		"idle but for them": {0, 1, 3},
	} {
		r := newRig(t, func(s *Settings) { callSite(s); s.Dependency = DependencyNextTier })
		for i := uint32(1); i <= tt.calls; i++ {
			r.at(0, ask(i, 0))
			r.at(0, CallNeeded{i})
		}
		r.at(0, ask(11, 0), ask(12, 0), ask(13, 0))
		r.at(gaugeInterval, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 0.5, RunQueue: tt.onCores}})
		if r.c.concurrencyLimit != tt.want {
			t.Errorf("%s: c %d, want %d", name, r.c.concurrencyLimit, tt.want)
		}
	}
}

func TestStormIsAdvisedAway(t *testing.T) {
	r := newRig(t, nil)
	r.fill()
	var last Reject
	for i := uint32(1); i < 2000; i++ {
		a := ask(i, 0)
		a.Age = 100 * ms
		events := []Event{a}
		if i%125 == 0 {
			events = append(events, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 2}})
		}
		for _, a := range r.at(2*ms, events...) {
			if a, ok := a.(Reject); ok {
				last = a
			}
		}
	}
	if !last.DoNotRetry || last.RetryAfter != time.Second {
		t.Errorf("refusal in a storm: %+v, want terminal with the longest advice", last)
	}
}

func TestFewRefusalsAreNotTerminal(t *testing.T) {
	r := newRig(t, nil)
	r.fill()
	r.want(r.at(ms, ask(1, 0)), Reject{ID: 1})
	if lambda := r.c.policy.model.arrivalRate; lambda <= r.c.serviceCapacity() {
		t.Errorf("Λ̃ %v under cμ: the test shows nothing", lambda)
	}
}

func TestLateRequestIsRefusedOnFreeCores(t *testing.T) {
	late := ask(1, 1)
	late.Age = 900 * ms // of an aim of a second
	for name, tt := range map[string]struct {
		refused float64 // of what was read
		busy    bool
		want    Action
	}{
		"while a fifth is refused":                  {0.3, true, Reject{ID: 1, DoNotRetry: true}},
		"not where nothing is refused":              {0, true, Run{1}},
		"not by an idle server, which has to learn": {0.3, false, Run{1}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			if tt.busy {
				r.want(r.at(0, ask(2, 1)), Run{2})
			}
			r.c.rejectedFraction = tt.refused
			r.want(r.at(0, late), tt.want)
		})
	}
}

func TestNothingIsBegunThatCannotEndBeforeTheStop(t *testing.T) {
	r := newRig(t, nil)
	r.at(0, Drain{StopIn: 500 * ms})
	r.want(r.at(498*ms, ask(1, 1)), Reject{ID: 1, RetryAfter: time.Second})
	r = newRig(t, keyedSite)
	r.at(0, ask(1, 1), Drain{StopIn: 500 * ms})
	again := ask(2, 1)
	again.DuplicateOf = 1
	r.want(r.at(498*ms, again), Fail{1}, Fail{2}) // and no repeat waits for it
}

func TestCallsKeepRoomOnTheCores(t *testing.T) {
	r := newRig(t, func(s *Settings) { callSite(s); s.Dependency = DependencyNextTier })
	for i := uint32(1); i <= 4; i++ { // four calls in hand weigh one run of the two
		r.at(0, ask(i, 0))
		r.at(0, CallNeeded{i})
	}
	r.want(r.at(0, ask(5, 0)), Run{5})
	if got := r.at(0, ask(6, 1)); count[Run](got) != 0 {
		t.Errorf("%v with one run and four calls in hand on two cores", got)
	}
}

func TestLongRunGivesWay(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(*Settings)
		ran    time.Duration
		yields bool
	}{
		"long":             {func(s *Settings) {}, 1500 * ms, true},
		"not so long":      {func(s *Settings) {}, 200 * ms, false},
		"worth by work":    {func(s *Settings) { s.WeightPerWork = true }, 1500 * ms, false},
		"can't be paused":  {func(s *Settings) { s.Preemption = PreemptionDrop }, 1500 * ms, false},
		"can't be stopped": {func(s *Settings) { s.Preemption = PreemptionNone }, 1500 * ms, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, func(s *Settings) { s.Preemption = PreemptionPause; tt.change(s) })
			r.fill()
			got := r.at(tt.ran, ask(1, 0))
			if !tt.yields {
				if count[Preempt](got) != 0 {
					t.Fatalf("%v, want no run to give way", got)
				}
				return
			}
			r.want(got, Preempt{901})
			r.want(r.at(2*ms, Completed{ID: 901, Outcome: OutcomeCanceled}), Run{1})
			if want := 10 * 4 * 3.0; r.c.requestsKB != want {
				t.Errorf("%v kB booked, want %v: a paused run keeps its memory", r.c.requestsKB, want)
			}
			r.want(r.at(2*ms, Completed{ID: 1, Outcome: OutcomeOK}), Run{901})
			r.want(r.at(2*ms, Completed{ID: 901, Outcome: OutcomeOK}))
		})
	}
	r := newRig(t, func(s *Settings) { s.Preemption = PreemptionPause }) // the work had ended before it could be paused
	r.fill()
	r.want(r.at(1500*ms, ask(1, 0)), Preempt{901})
	r.want(r.at(0, Completed{ID: 901, Outcome: OutcomeOK}), Run{1})
}

func TestIdleConnections(t *testing.T) {
	lifetimes := func(callers int, refused float64) []time.Duration {
		r := newRig(t, func(s *Settings) { s.Callers, s.MaxIdleTimeout = callers, 30*time.Second })
		var got []time.Duration
		for i := 0; i < 80; i++ {
			if i > 0 {
				r.c.rejectedFraction = refused
			}
			for _, a := range r.at(gaugeInterval, TimerFired{TimerID: r.c.timerID}) {
				if a, ok := a.(SetIdleTimeout); ok {
					got = append(got, a.Timeout)
				}
			}
		}
		return got
	}
	if got := lifetimes(32, 1); got != nil {
		t.Errorf("few callers: lifetimes %v, want none told", got)
	}
	if got := lifetimes(1000, 0); !reflect.DeepEqual(got, []time.Duration{minIdleTimeout}) {
		t.Errorf("many callers: lifetimes %v, want the least", got)
	}
	if got := lifetimes(1000, 1); got[len(got)-1] != 30*time.Second || len(got) > 10 {
		t.Errorf("all refused: lifetimes %v, want the longest within seconds", got)
	}
}

func TestFailingClassLosesWorth(t *testing.T) {
	r := newRig(t, callSite)
	for i := uint32(1); i <= 30; i++ {
		r.at(ms, ask(i, 0))
		r.at(ms, CallNeeded{i})
		r.at(ms, CallCompleted{ID: i, Outcome: OutcomeResourceExhausted})
		r.at(ms, Completed{ID: i, Outcome: OutcomeCanceled})
	}
	if got := r.c.runTimes.success[0]; got > 0.4 || got < minSuccessFraction {
		t.Errorf("success of a class that always fails %v", got)
	}
}

func TestAdverts(t *testing.T) {
	for _, kind := range []Advert{AdvertNone, AdvertMinRank, AdvertCredit, AdvertWeight} {
		r := newRig(t, func(s *Settings) { s.Advert = kind })
		got := r.at(gaugeInterval, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 0}})
		published := count[Advertise](got)
		if kind == AdvertNone && published != 0 || kind != AdvertNone && published != 1 {
			t.Errorf("advert %v: %v", kind, got)
		}
		if kind == AdvertWeight || kind == AdvertMinRank {
			if x := r.c.advertValue(); x < 0 || x > 1 {
				t.Errorf("advert %v: %v", kind, x)
			}
		}
	}
}

func TestImpossibleSettings(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"cores":        func(s *Settings) { s.Cores = 0 },
		"classes":      func(s *Settings) { s.Classes = nil },
		"class 0":      func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"memory":       func(s *Settings) { s.MemoryKB = 0 },
		"run factor":   func(s *Settings) { s.RunMemoryFactor = 0 },
		"tick":         func(s *Settings) { s.MinInterval = -1 },
		"drain grace":  func(s *Settings) { s.DrainGracePeriod = -1 },
		"tenant 0":     func(s *Settings) { s.Tenants = []Tenant{{QuotaPerSecond: -1}} },
		"answer slack": func(s *Settings) { s.AnswerGracePeriod = -time.Second },
	} {
		s := site()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one that names %q", err, want)
		}
	}
}

func TestEqualEventsGiveEqualActions(t *testing.T) {
	play := func() (all []Action) {
		s := site()
		keyedSite(&s)
		s.Tenants = []Tenant{{QuotaPerSecond: 10}, {QuotaPerSecond: 5}}
		c, err := New(s, 7)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		for i := uint32(1); i < 3000; i++ {
			now += time.Duration(i%7) * ms
			a := ask(i, int(i%2))
			a.Tenant = int(i % 2)
			events := []Event{a, TimerFired{TimerID: c.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 3}}}
			if i > 20 {
				events = append(events, Completed{ID: i - 20, Outcome: OutcomeOK})
			}
			all = append(all, c.Handle(now, events)...)
		}
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Error("two runs of the same events differ")
	}
}

func TestStarvedServerCallsItselfUnhealthyUntilForgotten(t *testing.T) {
	r := newRig(t, nil)
	for i := uint32(1); i < 60; i++ {
		a := ask(i, 0)
		a.Age = 900 * ms
		r.at(ms, a)
	}
	r.at(gaugeInterval, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 1, RunQueue: 4}})
	if r.c.healthy {
		t.Error("healthy while requests wait 0.9 of their aim to be read")
	}
	for i := 0; i < 40; i++ {
		var events []Event
		for _, q := range r.c.requests {
			events = append(events, Completed{ID: q.id, Outcome: OutcomeOK})
		}
		r.at(gaugeInterval, append(events, TimerFired{TimerID: r.c.timerID, Gauges: Gauges{CPUUtilization: 0}})...)
	}
	if !r.c.healthy {
		t.Error("still unhealthy ten seconds after the last request")
	}
}

func TestSmallestServers(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"one core and class": func(s *Settings) { s.Cores, s.Classes = 1, s.Classes[:1] },
		"crowd is the cores": func(s *Settings) { s.Cores, s.MaxRunsPerCore = 1, 1 },
		"cold to a stop":     func(s *Settings) { s.Cores, s.SlowStart, s.SlowStartMinSpeed = 1, true, 0 },
		"deep checks":        func(s *Settings) { s.Cores, s.DeepHealthChecks = 1, true },
	} {
		t.Run(name, func(t *testing.T) {
			s := site()
			change(&s)
			c, err := New(s, 1)
			if err != nil {
				t.Fatal(err)
			}
			first := c.Handle(time.Second, nil)
			if !reflect.DeepEqual(first[0], SetHealth{Healthy: true, Cached: true}) {
				t.Errorf("first action %#v, want health answered cheaply", first[0])
			}
			got := c.Handle(time.Second, []Event{ask(1, 0), ask(2, 0)})
			if count[Run](got) != 1 {
				t.Errorf("%v, want one run on the one core", got)
			}
			got = c.Handle(time.Second+ms, []Event{Completed{ID: 1, Outcome: OutcomeOK}, ask(3, 0)})
			if count[Run](got) != 1 {
				t.Errorf("%v, want the next run", got)
			}
		})
	}
	r := newRig(t, func(s *Settings) { s.MemoryKB = 11 }) // room to hold a request, never to run it
	r.want(r.at(0, ask(1, 0)), Reject{ID: 1})
}

// dependency is what all share, as a test has it: each call takes as long as it says.
func (r *rig) dependency(calls int, took time.Duration) {
	r.t.Helper()
	for i := range calls {
		id := uint32(10000 + i)
		r.at(ms, ask(id, 1))
		r.at(ms, CallNeeded{id})
		r.at(ms, CallCompleted{ID: id, Elapsed: took, Outcome: OutcomeOK})
		r.at(ms, Completed{ID: id, Elapsed: took, Outcome: OutcomeOK})
	}
}

func TestCrowdedDependencyGetsFewerCalls(t *testing.T) {
	inHand := func(r *rig) (n int) {
		var events []Event
		for id := uint32(1); id <= 8; id++ {
			r.at(0, ask(id, 1))
			events = append(events, CallNeeded{id})
		}
		return count[StartCall](r.at(ms, events...))
	}
	site := func(s *Settings) { callSite(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, 6, 8 }
	for _, tt := range []struct {
		name  string
		slow  int
		quick int
		want  int
	}{{"the share at first", 0, 0, 6}, {"fewer where calls take long", 12, 0, 3}, {"never none", 100, 0, 1},
		{"more again, at most the share", 100, 100, 6}} {
		r := newRig(t, site)
		r.dependency(tt.slow, 300*ms)
		r.dependency(tt.quick, 20*ms)
		if got := inHand(r); got != tt.want {
			t.Errorf("%s: %d calls in hand, want %d", tt.name, got, tt.want)
		}
	}
}

func TestLateIsRefusedWhileCallsQueue(t *testing.T) {
	for _, share := range []float64{1, 6} {
		r := newRig(t, func(s *Settings) { callSite(s); s.Dependency, s.CallQuota, s.Cores = DependencyShared, share, 8 })
		for i := range r.c.runTimes.meanSeconds {
			r.c.runTimes.meanSeconds[i] = 2 // what is begun now is late
		}
		var events []Event
		for id := uint32(1); id <= 4; id++ {
			r.want(r.at(0, ask(id, 1)), Run{id}) // idle: it takes late ones, to learn
			events = append(events, CallNeeded{id})
		}
		r.at(ms, events...)
		got := r.at(ms, ask(9, 1))
		if share == 1 && count[Reject](got) != 1 || share == 6 && count[Run](got) != 1 {
			t.Errorf("share %v, three wait for one call: %#v", share, got)
		}
	}
}
