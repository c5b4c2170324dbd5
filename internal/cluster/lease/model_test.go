package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	depth = flag.Int("depth", 12, "events that the model goes through")
	walks = flag.Int("walks", 500, "random walks of 400 events")
)

// The model: one lease, two or three processes that want it, a correct log, leaders that
// change, and messages that are late, lost, repeated and overtaken. In a tick the clock of
// a holder runs slow and that of a leader fast, which is the worst case of drift.
// State, ExpiryTimer and HolderState decide.
const (
	modelLeaseName       = "job"
	modelTTL             = 500 * time.Millisecond
	tick                 = 170 * time.Millisecond
	maxMessagesPerHolder = 2 // messages of one holder
)

type messageKind int8

const (
	noMessage messageKind = iota
	acquire
	renew
	release
	handOver
)

type messageStage int8

const (
	sent     messageStage = iota // on its way
	arrived                      // at a leader, which has not made sure of itself yet
	answered                     // on its way back
)

// milliseconds is a time in the model, small as there are many states.
type milliseconds int16

func (m milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// minus is a time that is left, or an age, once more has passed; what is beyond the
// lease's time makes no difference.
func (m milliseconds) minus(d time.Duration) milliseconds {
	return milliseconds(max(m.duration()-d, -1).Milliseconds())
}
func (m milliseconds) older(d time.Duration) milliseconds {
	return milliseconds(min(m.duration()+d, modelTTL).Milliseconds())
}

type message struct {
	kind           messageKind
	stage          messageStage
	toFormerLeader bool         // the leader that it came to has been replaced
	token          uint16       // asked for, or granted; 0 is a refusal
	sentAgo        milliseconds // since it was sent, by the holder's clock
	arrivedAgo     milliseconds // ago, by the leader's clock
}

type holder struct {
	token, releasedToken uint16       // that it has, and gave back last
	remaining            milliseconds // until it stops acting, by its clock
}

func (h holder) state() *HolderState {
	return &HolderState{Token: uint64(h.token), TTL: modelTTL, deadline: h.remaining.duration(), releasedToken: uint64(h.releasedToken)}
}

func holderOf(h *HolderState) holder {
	return holder{uint16(h.Token), uint16(h.releasedToken), milliseconds(max(h.deadline, -1).Milliseconds())}
}

// world is a state of the model.
type world struct {
	holder, waiter   uint8  // who has it (1, 2, …; 0 is nobody), and who waits for it; one at most is modelled
	lastToken, token uint16 // the last number given, the lease's
	timerToken       uint16 // the token that the leader's timer knows
	timerRemaining   milliseconds
	expiryProposed   bool
	revoked          bool
	leaderChanged    bool // the leader, once
	holders          [3]holder
	flight           [3][maxMessagesPerHolder]message
	checkedToken     [3]uint16 // the token under which a holder has checked that it may act, and hasn't acted yet
	resourceToken    uint16    // the highest that the resource has seen
	staleAct         bool      // the resource took a token after a higher one
}

// rules leave guards out, one at a time.
type rules struct {
	holderCount                                                int
	noMargin, noNewLeaderGrace, noLeaderCheck, noReleasedToken bool
	acts, noFence                                              bool          // acts at a resource, which may come late
	operatorOps                                                bool          // leases are revoked and handed over
	holderTick, leaderTick                                     time.Duration // what a tick is by a holder's and by a leader's clock
	maxTokens                                                  uint16        // numbers that are given at most
	messagesPerHolder                                          int           // messages of one holder at a time
}

func defaultRules() rules {
	return rules{holderCount: 2, maxTokens: 5, messagesPerHolder: 1, holderTick: tick * 9 / 10, leaderTick: tick * 11 / 10}
}

// fencedResource is what an outside resource does with tokens: it keeps the highest one that it
// has seen, and refuses lower ones.
type fencedResource struct{ highestToken uint64 }

// Admit tells whether an act under a token may take effect.
func (f *fencedResource) Admit(token uint64) bool {
	if token < f.highestToken {
		return false
	}
	f.highestToken = token
	return true
}

func holderName(i int) string { return fmt.Sprint("h", i+1) }

// decisionParts makes the decision parts of a world; times count from 0, which is now.
func (w *world) decisionParts() (*State, *DeadlineTable) {
	s := NewState(uint64(w.lastToken))
	if w.holder > 0 {
		l := Lease{Holder: holderName(int(w.holder) - 1), Token: uint64(w.token), TTLMS: modelTTL.Milliseconds(), Revoked: w.revoked}
		if w.waiter > 0 {
			l.Waiters, s.WaiterCount = []Waiter{{Holder: holderName(int(w.waiter) - 1), TTLMS: modelTTL.Milliseconds()}}, 1
		}
		s.Leases[modelLeaseName] = l
	}
	t := NewDeadlineTable(0)
	if w.timerToken > 0 {
		t.expiries[modelLeaseName] = expiry{uint64(w.timerToken), w.timerRemaining.duration(), w.expiryProposed}
	}
	return s, t
}

// record takes them back.
func (w *world) record(s *State, t *DeadlineTable) {
	w.lastToken, w.holder, w.token, w.waiter, w.timerToken, w.timerRemaining, w.expiryProposed, w.revoked = uint16(s.LastToken), 0, 0, 0, 0, 0, false, false
	number := func(h string) uint8 { return h[1] - '0' }
	if l, ok := s.Leases[modelLeaseName]; ok {
		w.holder, w.token, w.revoked = number(l.Holder), uint16(l.Token), l.Revoked
		if len(l.Waiters) > 0 {
			w.waiter = number(l.Waiters[0].Holder)
		}
		if e, ok := t.expiries[modelLeaseName]; ok && e.token == l.Token {
			w.timerToken, w.timerRemaining, w.expiryProposed = uint16(e.token), milliseconds(max(e.deadline, -1).Milliseconds()), e.expiryProposed
		}
	}
}

// acting are those that may act now.
func (w *world) acting(n int) (list []int) {
	for i, h := range w.holders[:n] {
		if h.state().MayAct(0) {
			list = append(list, i)
		}
	}
	return list
}

// answer has the leader deal with a message that came.
func (w *world) answer(i int, m *message, r rules) {
	s, t := w.decisionParts()
	switch m.kind {
	case acquire:
		l, needed, err := t.TryAcquire(s, modelLeaseName, holderName(i), w.waiter == 0, -m.arrivedAgo.duration(), 0)
		if needed {
			s.Apply(Op{Kind: OpAcquire, Name: modelLeaseName, Holder: holderName(i), TTLMS: modelTTL.Milliseconds(), Enqueue: w.waiter == 0})
			l, needed, err = t.TryAcquire(s, modelLeaseName, holderName(i), false, -m.arrivedAgo.duration(), 0)
		}
		if m.token = 0; !needed && err == nil {
			m.token = uint16(l.Token)
		}
		t.DueOps(s, 0) // it begins to count
	case renew:
		if !m.toFormerLeader && t.Renew(s, modelLeaseName, uint64(m.token), -m.arrivedAgo.duration()) != nil || m.toFormerLeader && !r.noLeaderCheck {
			m.token = 0
		}
	case release, handOver:
		o := Op{Kind: OpRelease, Name: modelLeaseName, Token: uint64(m.token)}
		if m.kind == handOver && w.waiter > 0 {
			o.Kind, o.Holder = OpHandOver, holderName(int(w.waiter)-1)
		}
		if r, _ := s.Apply(o); r.Err() == nil {
			t.DueOps(s, 0)
		}
		m.token = 0
	}
	m.stage = answered
	w.record(s, t)
}

// receive has a holder read an answer.
func (w *world) receive(i int, m message, r rules) {
	h := w.holders[i].state()
	switch {
	case m.token != 0 && uint64(m.token) >= h.Token: // an answer that was overtaken says nothing
		h.RecordGrant(uint64(m.token), -m.sentAgo.duration())
		if r.noMargin {
			h.deadline = max(h.deadline, -m.sentAgo.duration()+modelTTL)
		}
	case m.token == 0 && m.kind == renew:
		h.MarkLost()
	}
	w.holders[i] = holderOf(h)
}

// events are all that may happen next, with what it is called.
func (w world) events(r rules) (next []world, names []string) {
	add := func(what string, change func(*world)) {
		x := w
		change(&x)
		if x.lastToken < r.maxTokens && x != w {
			next, names = append(next, x), append(names, what)
		}
	}
	add("tick", func(x *world) {
		if x.timerToken > 0 {
			x.timerRemaining = x.timerRemaining.minus(r.leaderTick)
		}
		for i := range r.holderCount {
			x.holders[i].remaining = x.holders[i].remaining.minus(r.holderTick)
			for k := range x.flight[i] {
				if m := &x.flight[i][k]; m.kind != noMessage {
					m.sentAgo = m.sentAgo.older(r.holderTick)
					if m.stage == arrived {
						m.arrivedAgo = m.arrivedAgo.older(r.leaderTick)
					}
				}
			}
		}
	})
	add("another leader", func(x *world) {
		x.leaderChanged = r.noLeaderCheck
		s, _ := x.decisionParts()
		t := NewDeadlineTable(0)
		if r.noNewLeaderGrace {
			t.expiries[modelLeaseName] = expiry{token: uint64(x.token)}
		} else {
			t.DueOps(s, 0)
		}
		x.record(s, t)
		for i := range r.holderCount {
			for k := range x.flight[i] {
				if m := &x.flight[i][k]; m.kind != noMessage && m.stage == arrived {
					m.toFormerLeader = true
				}
			}
		}
	})
	add("the lease is over", func(x *world) {
		s, t := x.decisionParts()
		if len(t.DueOps(s, 0)) > 0 {
			s.End(modelLeaseName, uint64(x.token))
			t.DueOps(s, 0)
		}
		x.record(s, t)
	})
	if r.operatorOps && w.holder > 0 {
		add("the lease is revoked", func(x *world) {
			s, t := x.decisionParts()
			s.Apply(Op{Kind: OpRevoke, Name: modelLeaseName})
			x.record(s, t)
		})
		add("who waits leaves", func(x *world) {
			s, t := x.decisionParts()
			s.Apply(Op{Kind: OpWithdraw, Name: modelLeaseName, Holder: holderName(int(x.waiter) - 1)})
			x.record(s, t)
		})
	}
	for i := range r.holderCount {
		h := w.holders[i]
		if r.acts && w.checkedToken[i] == 0 && h.state().MayAct(0) {
			add(holderName(i)+" sees that it may act", func(x *world) { x.checkedToken[i] = h.token })
		}
		if w.checkedToken[i] != 0 {
			add(holderName(i)+" acts", func(x *world) {
				f := fencedResource{highestToken: uint64(x.resourceToken)}
				if f.Admit(uint64(x.checkedToken[i])) || r.noFence {
					x.staleAct = x.checkedToken[i] < x.resourceToken
					x.resourceToken = max(x.resourceToken, x.checkedToken[i])
				}
				x.checkedToken[i] = 0
			})
		}
		for k, m := range w.flight[i][:r.messagesPerHolder] {
			at := func(x *world) *message { return &x.flight[i][k] }
			switch {
			case m.kind == noMessage:
				if h.token == 0 {
					add(holderName(i)+" asks", func(x *world) { *at(x) = message{kind: acquire} })
				} else {
					add(holderName(i)+" keeps alive", func(x *world) { *at(x) = message{kind: renew, token: h.token} })
					for _, k := range []messageKind{release, handOver} {
						if k == handOver && !r.operatorOps {
							continue
						}
						add(holderName(i)+map[messageKind]string{release: " releases", handOver: " hands over"}[k], func(x *world) {
							gone := h.state()
							*at(x) = message{kind: k, token: uint16(gone.Release())}
							if x.holders[i] = holderOf(gone); r.noReleasedToken {
								x.holders[i].releasedToken = 0
							}
						})
					}
				}
				continue
			case m.stage == sent:
				add(holderName(i)+"'s message comes", func(x *world) { at(x).stage = arrived })
				if w.leaderChanged {
					add(holderName(i)+"'s message comes to the former leader", func(x *world) { at(x).stage, at(x).toFormerLeader = arrived, true })
				}
			case m.stage == arrived && (!m.toFormerLeader || r.noLeaderCheck && m.kind == renew):
				add(holderName(i)+"'s message is answered", func(x *world) { x.answer(i, at(x), r) })
			case m.stage == answered:
				add(holderName(i)+" hears", func(x *world) { x.receive(i, m, r); *at(x) = message{} })
			}
			add(holderName(i)+"'s message is lost", func(x *world) { *at(x) = message{} })
		}
	}
	return next, names
}

// explore looks for two that act, and gives the shortest way there.
func explore(r rules, depth int) (states int, way []string) {
	type step struct {
		from world
		what string
	}
	start := world{}
	came, layer := map[world]step{start: {}}, []world{start}
	for range depth {
		var next []world
		for _, w := range layer {
			list, names := w.events(r)
			for i, x := range list {
				if _, known := came[x]; known {
					continue
				}
				came[x] = step{w, names[i]}
				if len(x.acting(r.holderCount)) > 1 || x.staleAct {
					for ; x != start; x = came[x].from {
						way = append(way, came[x].what)
					}
					slices.Reverse(way)
					return len(came), way
				}
				next = append(next, x)
			}
		}
		layer = next
	}
	return len(came), nil
}

// TestOneHolderActsAtATime: with clocks up to a tenth apart and all guards, no two act at once, to
// the depth and in random walks far beyond it; tokens only grow.
func TestOneHolderActsAtATime(t *testing.T) {
	r := defaultRules()
	states, way := explore(r, *depth)
	assert.Empty(t, way)
	t.Logf("two holders: %d states to depth %d", states, *depth)
	r.operatorOps, r.acts = true, true
	states, way = explore(r, *depth-3)
	assert.Empty(t, way)
	t.Logf("two holders that act at a resource, leases revoked and handed over: %d states to depth %d", states, *depth-3)
	r.holderCount, r.operatorOps, r.acts = 3, false, false
	states, way = explore(r, *depth-3)
	assert.Empty(t, way)
	t.Logf("three holders: %d states to depth %d", states, *depth-3)
	r.operatorOps, r.acts = true, true
	granted, found := walk(t, r, 0, uint64(*walks))
	assert.Empty(t, found)
	t.Logf("%d walks of 400 events, %d grants", *walks, granted)
	assert.Greater(t, granted, *walks)
}

// walk goes at random, with messages that overtake each other, and gives the grants, and
// the way to two that act, if there is one.
func walk(t *testing.T, r rules, from, to uint64) (granted int, found string) {
	r.holderCount, r.maxTokens, r.messagesPerHolder = 3, 60000, maxMessagesPerHolder
	for seed := from; seed < to; seed++ {
		rng, w, highest := rand.New(rand.NewPCG(seed, 1)), world{}, uint16(0)
		var way []string
		for range 400 {
			list, names := w.events(r)
			at := rng.IntN(len(list))
			if x := list[at]; x.token != w.token && x.token != 0 {
				granted++
				assert.Greater(t, x.token, highest, "seed %d", seed)
				highest = x.token
			}
			w, way = list[at], append(way, names[at])
			if len(w.acting(r.holderCount)) > 1 || w.staleAct {
				return granted, fmt.Sprintf("seed %d: %v", seed, way[max(0, len(way)-40):])
			}
		}
		if next := w.waiter; next > 0 { // nobody is heard of any more: who waits has it in the end
			s, timer := w.decisionParts()
			for _, o := range timer.DueOps(s, 2*modelTTL) {
				s.Apply(o)
			}
			assert.Equal(t, holderName(int(next)-1), s.Leases[modelLeaseName].Holder, "seed %d", seed)
		}
	}
	return granted, ""
}

// TestEachGuardIsNeeded: each guard that is left out, the model finds two who act.
func TestEachGuardIsNeeded(t *testing.T) {
	for what, change := range map[string]func(*rules){
		"the margin":                       func(r *rules) { r.noMargin = true },
		"the grace of a new leader":        func(r *rules) { r.noNewLeaderGrace = true },
		"a leader's making sure of itself": func(r *rules) { r.noLeaderCheck = true },
		"the fence":                        func(r *rules) { r.acts, r.noFence = true, true },
		"a bound on drift":                 func(r *rules) { r.leaderTick, r.holderTick = tick*15/10, tick*8/10 },
	} {
		r := defaultRules()
		change(&r)
		states, way := explore(r, 17)
		assert.NotEmpty(t, way, "without %s", what)
		t.Logf("without %s: two act after %d events (%d states): %v", what, len(way), states, way)
	}
	r := defaultRules()
	r.noReleasedToken = true
	_, found := walk(t, r, 1400, 1500) // one of these finds it
	assert.NotEmpty(t, found, "without what was given back")
	t.Logf("without what was given back: %s", found)
}
