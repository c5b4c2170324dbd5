package admission

import (
	"math/rand"
	"slices"
	"testing"
	"time"
)

// server plays the server's part for one controller: it carries out actions,
// invents legal events, and notes what breaks a rule.
type server struct {
	t     *testing.T
	set   Settings
	c     *Controller
	rnd   *rand.Rand
	now   time.Duration
	reqs  map[uint32]*work
	order []uint32
	keys  map[uint32]time.Duration
	drain time.Duration // clock time of the notice, 0 without one
	timer []alarm
	next  uint32
}

type alarm struct {
	at  time.Duration
	ref uint64
}

// work is a request as the server sees it.
type work struct {
	arrived, due time.Duration
	class        int
	kb           float64
	state        string // "held", "running", "paused", "standing", "calling", "sharing"
	ran          bool
	answered     bool
	dupOf        uint32
}

func randomSettings(rnd *rand.Rand) Settings {
	s := site()
	s.Cores = 1 + rnd.Intn(8)
	s.Servers, s.Callers = 1+rnd.Intn(400), rnd.Intn(1200)
	s.Preemption, s.Advert, s.Dependency = Preemption(rnd.Intn(3)), Advert(rnd.Intn(4)), Dependency(rnd.Intn(3))
	s.SlowStart, s.WeightPerWork, s.NotifiesCanceled = rnd.Intn(2) == 0, rnd.Intn(2) == 0, rnd.Intn(2) == 0
	s.RunMemoryFactor, s.MaxIdleTimeout, s.CallQuota = 1+rnd.Float64()*15, 30*time.Second, 0.2+rnd.Float64()*3
	s.MemoryKB = float64(s.Cores) * 10 * s.RunMemoryFactor * (2 + rnd.Float64()*20)
	s.TiersAbove = rnd.Intn(2)
	if rnd.Intn(2) == 0 {
		s.ResultReuseWindow = time.Second
	}
	if rnd.Intn(2) == 0 {
		s.Tenants, s.OverQuotaFraction = []Tenant{{QuotaPerSecond: rnd.Float64()}, {QuotaPerSecond: 40}}, 0.1
	}
	s.Classes = append(s.Classes, Class{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 5})
	for i := range s.Classes {
		k := &s.Classes[i]
		k.Effect, k.DedupWindow, k.MakesCalls = Effect(i), 3*time.Second, rnd.Intn(2) == 0
		k.DegradedFraction = float64(rnd.Intn(2)) / 2
	}
	return s
}

// carryOut applies the actions of one batch and checks each.
func (s *server) carryOut(actions []Action) {
	find := func(id uint32) *work {
		w := s.reqs[id]
		if w == nil {
			s.t.Fatalf("at %v: action for request %d, which is not here", s.now, id)
		}
		return w
	}
	answer := func(id uint32, w *work) {
		if w.answered {
			s.t.Fatalf("at %v: second answer for request %d", s.now, id)
		}
		w.answered = true
		if w.state == "held" || w.state == "paused" || w.state == "sharing" {
			delete(s.reqs, id)
		}
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Run:
			w := find(a.ID)
			if w.state != "held" && w.state != "paused" {
				s.t.Fatalf("at %v: Take of request %d, which is %s", s.now, a.ID, w.state)
			}
			if w.state == "held" && (w.ran || w.dupOf != 0) && s.set.Classes[w.class].Effect != Idempotent {
				s.t.Fatalf("at %v: effect of request %d a second time", s.now, a.ID)
			}
			if s.drain > 0 && w.arrived > s.drain+s.set.DrainGracePeriod {
				s.t.Fatalf("at %v: request %d run after the grace", s.now, a.ID)
			}
			w.state, w.ran = "running", true
		case Preempt:
			if w := s.reqs[a.ID]; w != nil && w.state == "running" {
				w.state = "stopping"
			}
		case Reject:
			w := find(a.ID)
			if w.ran {
				s.t.Fatalf("at %v: request %d refused after it ran", s.now, a.ID)
			}
			answer(a.ID, w)
		case Fail:
			answer(a.ID, find(a.ID))
		case StartCall:
			if w := find(a.ID); w.state == "standing" {
				w.state = "calling"
			}
		case Degrade:
			w := find(a.ID)
			if s.set.Classes[w.class].DegradedFraction == 0 {
				s.t.Fatalf("at %v: call of request %d left out", s.now, a.ID)
			}
			w.state = "running"
		case StoreKey:
			find(a.ID)
			s.keys[a.ID] = s.now + a.TTL
		case EvictKey:
			delete(s.keys, a.ID)
		case ShareResult:
			find(a.ID).state = "sharing"
		case Advertise:
			if s.set.Advert == AdvertNone || a.Value < 0 {
				s.t.Fatalf("at %v: published %v", s.now, a.Value)
			}
		case SetIdleTimeout:
			if a.Timeout < 10*ms || a.Timeout > s.set.MaxIdleTimeout {
				s.t.Fatalf("at %v: idle time %v", s.now, a.Timeout)
			}
		case SetTimer:
			s.timer = append(s.timer, alarm{s.now + a.After, a.TimerID})
		}
	}
	memory, running := 0.0, 0
	for _, until := range s.keys {
		if until > s.now {
			memory += s.set.KeyMemoryKB
		}
	}
	for id, w := range s.reqs {
		if !w.answered && s.now > w.due+s.set.AnswerGracePeriod {
			s.t.Fatalf("at %v: request %d, due at %v, has no answer", s.now, id, w.due)
		}
		switch w.state {
		case "held", "sharing":
			memory += w.kb
		default:
			memory += w.kb * s.set.RunMemoryFactor
		}
		if w.state == "running" || w.state == "stopping" {
			running++
		}
	}
	if memory > s.set.MemoryKB {
		s.t.Fatalf("at %v: %v kB of %v", s.now, memory, s.set.MemoryKB)
	}
	if crowd := s.c.maxRuns(); float64(running) > crowd {
		s.t.Fatalf("at %v: %d running, %v survived", s.now, running, crowd)
	}
}

// events invents what happens next, in the order of the requests.
func (s *server) events() []Event {
	var out []Event
	for _, id := range s.order {
		w := s.reqs[id]
		if w == nil {
			continue
		}
		end := func(o Outcome) {
			out = append(out, Completed{ID: id, Elapsed: s.now - w.arrived, Outcome: o})
			w.answered = true
			delete(s.reqs, id)
		}
		switch luck := s.rnd.Intn(100); {
		case w.state == "stopping" && w.answered:
			end(OutcomeCanceled)
		case w.state == "stopping":
			w.state = map[Preemption]string{PreemptionPause: "paused", PreemptionDrop: "held"}[s.set.Preemption]
			out = append(out, Completed{ID: id, Outcome: OutcomeCanceled})
		case w.state == "running" && luck < 1 && s.set.Dependency != DependencyNone:
			w.state = "standing"
			if w.answered {
				end(OutcomeCanceled)
				continue
			}
			out = append(out, CallNeeded{id})
		case w.state == "running" && luck < 3 && w.answered:
			end(OutcomeCanceled)
		case w.state == "running" && luck < 3:
			end([]Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeInternal}[s.rnd.Intn(4)])
		case (w.state == "standing" || w.state == "calling") && w.answered && luck < 50:
			end(OutcomeCanceled)
		case w.state == "calling" && luck < 5:
			o := []Outcome{OutcomeOK, OutcomeOK, OutcomeResourceExhausted, OutcomeDeadlineExceeded, OutcomeUnavailable, OutcomeAborted}[s.rnd.Intn(6)]
			w.state = "standing"
			if o == OutcomeOK {
				w.state = "running"
			}
			out = append(out, CallCompleted{ID: id, Outcome: o})
		case w.state == "sharing" && luck < 5:
			end(OutcomeOK)
		case s.set.NotifiesCanceled && !w.answered && s.rnd.Intn(3000) == 0:
			out = append(out, Canceled{id})
			w.answered = true
			if w.state != "running" && w.state != "standing" && w.state != "calling" {
				delete(s.reqs, id)
			}
		}
	}
	for n := s.rnd.Intn(3); n > 0 && s.rnd.Intn(12) == 0; n-- {
		s.next++
		w := &work{arrived: s.now - time.Duration(s.rnd.Intn(300))*ms, class: s.rnd.Intn(3), kb: 5 + s.rnd.Float64()*20,
			state: "held", due: s.now + time.Duration(s.rnd.Intn(2000))*ms}
		a := Arrival{ID: s.next, Class: w.class, Tenant: s.rnd.Intn(2), Timeout: w.due - s.now, Age: s.now - w.arrived,
			MemoryKB: w.kb, Retry: s.rnd.Intn(3) == 0}
		if a.Timeout == 0 {
			w.due = max(s.now, w.arrived+s.set.Classes[w.class].Deadline)
		}
		for _, id := range s.order { // a later try of a kept request
			if k := s.reqs[id]; k != nil && k.class == w.class && s.keys[id] > s.now && k.dupOf == 0 && s.rnd.Intn(4) == 0 {
				a.DuplicateOf, w.dupOf = id, id
				break
			}
		}
		s.reqs[s.next] = w
		s.order = append(s.order, s.next)
		out = append(out, a)
	}
	s.timer = slices.DeleteFunc(s.timer, func(a alarm) bool {
		if a.at > s.now {
			return false
		}
		out = append(out, TimerFired{a.ref, Gauges{CPUUtilization: s.rnd.Float64(), RunQueue: float64(s.rnd.Intn(6))}})
		return true
	})
	return out
}

func TestInvariantsOnRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		set := randomSettings(rnd)
		c, err := New(set, uint64(seed))
		if err != nil {
			t.Fatal(err)
		}
		s := &server{t: t, set: set, c: c, rnd: rnd, now: time.Hour, reqs: map[uint32]*work{},
			keys: map[uint32]time.Duration{}}
		s.carryOut(c.Handle(s.now, nil))
		stop := time.Duration(0)
		for step := 0; step < 4000; step++ {
			s.now += set.MinInterval
			if stop > 0 && s.now >= stop {
				for id, w := range s.reqs {
					if !w.answered {
						t.Fatalf("seed %d: request %d has no answer at the stop: %+v, now %v", seed, id, *w, s.now)
					}
				}
				break
			}
			events := s.events()
			if s.drain == 0 && rnd.Intn(3000) == 0 {
				s.drain, stop = s.now, s.now+1200*ms
				events = append(events, Drain{StopIn: 1200 * ms})
			}
			if len(events) > 0 {
				s.carryOut(c.Handle(s.now, events))
			}
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
	}
}
