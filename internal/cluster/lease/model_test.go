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

// The model: one name, two or three who want it, a log that is right, leaders that
// change, and messages that are late, lost, repeated and overtaken. In a tick the clock of
// a holder runs slow and that of a leader fast, which is the worst that drift can do.
// What decides is State, Timer and Holder.
const (
	name     = "job"
	ttl      = 500 * time.Millisecond
	tick     = 170 * time.Millisecond
	inFlight = 2 // messages of one holder
)

type kind int8

const (
	none kind = iota
	acquire
	renew
	release
	handOver
)

type stage int8

const (
	sent     stage = iota // on its way
	arrived               // at a leader, which has not made sure of itself yet
	answered              // on its way back
)

// ms is a time in the model, small as there are many states.
type ms int16

func (m ms) is() time.Duration { return time.Duration(m) * time.Millisecond }

// after is a time that is left, or an age, once more has passed; what is beyond the
// lease's time makes no difference.
func (m ms) after(d time.Duration) ms { return ms(max(m.is()-d, -1).Milliseconds()) }
func (m ms) older(d time.Duration) ms { return ms(min(m.is()+d, ttl).Milliseconds()) }

type message struct {
	kind  kind
	stage stage
	old   bool   // the leader that it came to has been replaced
	token uint16 // asked for, or granted; 0 is a refusal
	ago   ms     // since it was sent, by the holder's clock
	came  ms     // ago, by the leader's clock
}

type holder struct {
	token, given uint16 // that it has, and gave back last
	left         ms     // until it stops acting, by its clock
}

func (h holder) is() *HolderState {
	return &HolderState{Token: uint64(h.token), TTL: ttl, deadline: h.left.is(), releasedToken: uint64(h.given)}
}

func heldAs(h *HolderState) holder {
	return holder{uint16(h.Token), uint16(h.releasedToken), ms(max(h.deadline, -1).Milliseconds())}
}

// world is a state of the model.
type world struct {
	holder, waits uint8  // who has it (1, 2, …; 0 is nobody), and who waits for it; one at most is modelled
	last, token   uint16 // the last number given, the lease's
	timed         uint16 // the token that the leader's timer knows
	left          ms
	over          bool
	revoked       bool
	changed       bool // the leader, once
	holders       [3]holder
	flight        [3][inFlight]message
	about         [3]uint16 // the token under which a holder has checked that it may act, and hasn't acted yet
	top           uint16    // the highest that the resource has seen
	late          bool      // the resource took a token after a higher one
}

// rules leave guards out, one at a time.
type rules struct {
	n                                    int
	noMargin, noGrace, noVerify, noGiven bool
	acts, noFence                        bool          // acts at a resource, which may come late
	orders                               bool          // leases are revoked and handed over
	slow, fast                           time.Duration // what a tick is by a holder's and by a leader's clock
	tokens                               uint16        // numbers that are given at most
	flight                               int           // messages of one holder at a time
}

func within() rules {
	return rules{n: 2, tokens: 5, flight: 1, slow: tick * 9 / 10, fast: tick * 11 / 10}
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

func who(i int) string { return fmt.Sprint("h", i+1) }

// real makes the decision parts of a world; times count from 0, which is now.
func (w *world) real() (*State, *ExpiryTimer) {
	s := NewState(uint64(w.last))
	if w.holder > 0 {
		l := Lease{Holder: who(int(w.holder) - 1), Token: uint64(w.token), TTLMS: ttl.Milliseconds(), Revoked: w.revoked}
		if w.waits > 0 {
			l.Waiters, s.WaiterCount = []Waiter{{Holder: who(int(w.waits) - 1), TTLMS: ttl.Milliseconds()}}, 1
		}
		s.Leases[name] = l
	}
	t := NewExpiryTimer(0)
	if w.timed > 0 {
		t.expiries[name] = expiry{uint64(w.timed), w.left.is(), w.over}
	}
	return s, t
}

// keep takes them back.
func (w *world) keep(s *State, t *ExpiryTimer) {
	w.last, w.holder, w.token, w.waits, w.timed, w.left, w.over, w.revoked = uint16(s.LastToken), 0, 0, 0, 0, 0, false, false
	number := func(h string) uint8 { return h[1] - '0' }
	if l, ok := s.Leases[name]; ok {
		w.holder, w.token, w.revoked = number(l.Holder), uint16(l.Token), l.Revoked
		if len(l.Waiters) > 0 {
			w.waits = number(l.Waiters[0].Holder)
		}
		if e, ok := t.expiries[name]; ok && e.token == l.Token {
			w.timed, w.left, w.over = uint16(e.token), ms(max(e.deadline, -1).Milliseconds()), e.proposed
		}
	}
}

// acting are those that may act now.
func (w *world) acting(n int) (list []int) {
	for i, h := range w.holders[:n] {
		if h.is().MayAct(0) {
			list = append(list, i)
		}
	}
	return list
}

// answer has the leader deal with a message that came.
func (w *world) answer(i int, m *message, r rules) {
	s, t := w.real()
	switch m.kind {
	case acquire:
		l, needed, err := t.TryAcquire(s, name, who(i), w.waits == 0, -m.came.is(), 0)
		if needed {
			s.Apply(Op{Kind: OpAcquire, Name: name, Holder: who(i), TTLMS: ttl.Milliseconds(), Queue: w.waits == 0})
			l, needed, err = t.TryAcquire(s, name, who(i), false, -m.came.is(), 0)
		}
		if m.token = 0; !needed && err == nil {
			m.token = uint16(l.Token)
		}
		t.DueOps(s, 0) // it begins to count
	case renew:
		if !m.old && t.Renew(s, name, uint64(m.token), -m.came.is()) != nil || m.old && !r.noVerify {
			m.token = 0
		}
	case release, handOver:
		o := Op{Kind: OpRelease, Name: name, Token: uint64(m.token)}
		if m.kind == handOver && w.waits > 0 {
			o.Kind, o.Holder = OpHandOver, who(int(w.waits)-1)
		}
		if r, _ := s.Apply(o); r.Err() == nil {
			t.DueOps(s, 0)
		}
		m.token = 0
	}
	m.stage = answered
	w.keep(s, t)
}

// hear has a holder read an answer.
func (w *world) hear(i int, m message, r rules) {
	h := w.holders[i].is()
	switch {
	case m.token != 0 && uint64(m.token) >= h.Token: // an answer that was overtaken says nothing
		h.RecordGrant(uint64(m.token), -m.ago.is())
		if r.noMargin {
			h.deadline = max(h.deadline, -m.ago.is()+ttl)
		}
	case m.token == 0 && m.kind == renew:
		h.MarkLost()
	}
	w.holders[i] = heldAs(h)
}

// events are all that may happen next, with what it is called.
func (w world) events(r rules) (next []world, names []string) {
	add := func(what string, change func(*world)) {
		x := w
		change(&x)
		if x.last < r.tokens && x != w {
			next, names = append(next, x), append(names, what)
		}
	}
	add("tick", func(x *world) {
		if x.timed > 0 {
			x.left = x.left.after(r.fast)
		}
		for i := range r.n {
			x.holders[i].left = x.holders[i].left.after(r.slow)
			for k := range x.flight[i] {
				if m := &x.flight[i][k]; m.kind != none {
					m.ago = m.ago.older(r.slow)
					if m.stage == arrived {
						m.came = m.came.older(r.fast)
					}
				}
			}
		}
	})
	add("another leader", func(x *world) {
		x.changed = r.noVerify
		s, _ := x.real()
		t := NewExpiryTimer(0)
		if r.noGrace {
			t.expiries[name] = expiry{token: uint64(x.token)}
		} else {
			t.DueOps(s, 0)
		}
		x.keep(s, t)
		for i := range r.n {
			for k := range x.flight[i] {
				if m := &x.flight[i][k]; m.kind != none && m.stage == arrived {
					m.old = true
				}
			}
		}
	})
	add("the lease is over", func(x *world) {
		s, t := x.real()
		if len(t.DueOps(s, 0)) > 0 {
			s.End(name, uint64(x.token))
			t.DueOps(s, 0)
		}
		x.keep(s, t)
	})
	if r.orders && w.holder > 0 {
		add("the lease is revoked", func(x *world) {
			s, t := x.real()
			s.Apply(Op{Kind: OpRevoke, Name: name})
			x.keep(s, t)
		})
		add("who waits leaves", func(x *world) {
			s, t := x.real()
			s.Apply(Op{Kind: OpWithdraw, Name: name, Holder: who(int(x.waits) - 1)})
			x.keep(s, t)
		})
	}
	for i := range r.n {
		h := w.holders[i]
		if r.acts && w.about[i] == 0 && h.is().MayAct(0) {
			add(who(i)+" sees that it may act", func(x *world) { x.about[i] = h.token })
		}
		if w.about[i] != 0 {
			add(who(i)+" acts", func(x *world) {
				f := fencedResource{highestToken: uint64(x.top)}
				if f.Admit(uint64(x.about[i])) || r.noFence {
					x.late = x.about[i] < x.top
					x.top = max(x.top, x.about[i])
				}
				x.about[i] = 0
			})
		}
		for k, m := range w.flight[i][:r.flight] {
			at := func(x *world) *message { return &x.flight[i][k] }
			switch {
			case m.kind == none:
				if h.token == 0 {
					add(who(i)+" asks", func(x *world) { *at(x) = message{kind: acquire} })
				} else {
					add(who(i)+" keeps alive", func(x *world) { *at(x) = message{kind: renew, token: h.token} })
					for _, k := range []kind{release, handOver} {
						if k == handOver && !r.orders {
							continue
						}
						add(who(i)+map[kind]string{release: " releases", handOver: " hands over"}[k], func(x *world) {
							gone := h.is()
							*at(x) = message{kind: k, token: uint16(gone.Release())}
							if x.holders[i] = heldAs(gone); r.noGiven {
								x.holders[i].given = 0
							}
						})
					}
				}
				continue
			case m.stage == sent:
				add(who(i)+"'s message comes", func(x *world) { at(x).stage = arrived })
				if w.changed {
					add(who(i)+"'s message comes to the former leader", func(x *world) { at(x).stage, at(x).old = arrived, true })
				}
			case m.stage == arrived && (!m.old || r.noVerify && m.kind == renew):
				add(who(i)+"'s message is answered", func(x *world) { x.answer(i, at(x), r) })
			case m.stage == answered:
				add(who(i)+" hears", func(x *world) { x.hear(i, m, r); *at(x) = message{} })
			}
			add(who(i)+"'s message is lost", func(x *world) { *at(x) = message{} })
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
				if len(x.acting(r.n)) > 1 || x.late {
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
	r := within()
	states, way := explore(r, *depth)
	assert.Empty(t, way)
	t.Logf("two holders: %d states to depth %d", states, *depth)
	r.orders, r.acts = true, true
	states, way = explore(r, *depth-3)
	assert.Empty(t, way)
	t.Logf("two holders that act at a resource, leases revoked and handed over: %d states to depth %d", states, *depth-3)
	r.n, r.orders, r.acts = 3, false, false
	states, way = explore(r, *depth-3)
	assert.Empty(t, way)
	t.Logf("three holders: %d states to depth %d", states, *depth-3)
	r.orders, r.acts = true, true
	granted, found := walk(t, r, 0, uint64(*walks))
	assert.Empty(t, found)
	t.Logf("%d walks of 400 events, %d grants", *walks, granted)
	assert.Greater(t, granted, *walks)
}

// walk goes at random, with messages that overtake each other, and gives the grants, and
// the way to two that act, if there is one.
func walk(t *testing.T, r rules, from, to uint64) (granted int, found string) {
	r.n, r.tokens, r.flight = 3, 60000, inFlight
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
			if len(w.acting(r.n)) > 1 || w.late {
				return granted, fmt.Sprintf("seed %d: %v", seed, way[max(0, len(way)-40):])
			}
		}
		if next := w.waits; next > 0 { // nobody is heard of any more: who waits has it in the end
			s, timer := w.real()
			for _, o := range timer.DueOps(s, 2*ttl) {
				s.Apply(o)
			}
			assert.Equal(t, who(int(next)-1), s.Leases[name].Holder, "seed %d", seed)
		}
	}
	return granted, ""
}

// TestEachGuardIsNeeded: each guard that is left out, the model finds two who act.
func TestEachGuardIsNeeded(t *testing.T) {
	for what, change := range map[string]func(*rules){
		"the margin":                       func(r *rules) { r.noMargin = true },
		"the grace of a new leader":        func(r *rules) { r.noGrace = true },
		"a leader's making sure of itself": func(r *rules) { r.noVerify = true },
		"the fence":                        func(r *rules) { r.acts, r.noFence = true, true },
		"a bound on drift":                 func(r *rules) { r.fast, r.slow = tick*15/10, tick*8/10 },
	} {
		r := within()
		change(&r)
		states, way := explore(r, 17)
		assert.NotEmpty(t, way, "without %s", what)
		t.Logf("without %s: two act after %d events (%d states): %v", what, len(way), states, way)
	}
	r := within()
	r.noGiven = true
	_, found := walk(t, r, 1400, 1500) // one of these finds it
	assert.NotEmpty(t, found, "without what was given back")
	t.Logf("without what was given back: %s", found)
}

// TestFencingToken: one that checked, stood still and acts late is refused by a resource that
// keeps the highest token, and not by one that doesn't.
func TestFencingToken(t *testing.T) {
	s, f := NewState(0), &fencedResource{}
	first, err := s.Acquire(name, "h1", 500, false, 0)
	assert.NoError(t, err)
	h := &HolderState{TTL: ttl}
	h.RecordGrant(first.Token, 0)
	assert.True(t, h.MayAct(399*time.Millisecond)) // checks, and is stopped for three times the lease
	assert.False(t, h.MayAct(400*time.Millisecond))
	_, given, err := s.End(name, first.Token)
	assert.NoError(t, err)
	assert.False(t, given)
	second, err := s.Acquire(name, "h2", 500, false, 0)
	assert.NoError(t, err)
	assert.True(t, f.Admit(second.Token))
	assert.False(t, f.Admit(first.Token), "acts on waking up")
	assert.False(t, s.Holds(name, first.Token))
	assert.True(t, s.Holds(name, second.Token))
}

// TestWaitersQueue: who waits is served by priority, then in the order of coming, one at a time;
// tokens only grow, also in a state that is restored; bounds are kept.
func TestWaitersQueue(t *testing.T) {
	s := NewState(41)
	l, err := s.Acquire(name, "a", 500, false, 0)
	assert.NoError(t, err)
	assert.EqualValues(t, 42, l.Token)
	for i, h := range []string{"b", "c", "d", "b"} {
		_, err := s.Acquire(name, h, 500, true, map[int]int{2: 1}[i])
		assert.ErrorIs(t, err, ErrHeld)
	}
	same, err := s.Acquire(name, "a", 500, true, 0)
	assert.NoError(t, err)
	assert.Equal(t, l.Token, same.Token, "its answer was lost")
	s.Withdraw(name, "c")
	var order []string
	for token := l.Token; ; {
		next, given, err := s.End(name, token)
		assert.NoError(t, err)
		if !given {
			break
		}
		_, _, err = s.End(name, token)
		assert.ErrorIs(t, err, ErrNotHolder)
		assert.Greater(t, next.Token, token)
		order, token = append(order, next.Holder), next.Token
	}
	assert.Equal(t, []string{"d", "b"}, order)
	for _, bad := range [][2]string{{"", "a"}, {"a b", "a"}, {name, ""}} {
		_, err := s.Acquire(bad[0], bad[1], 500, false, 0)
		assert.ErrorIs(t, err, ErrInvalidRequest)
	}
	_, err = s.Acquire(name, "a", 499, false, 0)
	assert.ErrorIs(t, err, ErrInvalidRequest)
	s.Acquire(name, "a", 500, false, 0)
	for i := range MaxWaitersPerLease {
		s.Acquire(name, fmt.Sprint("w", i), 500, true, 0)
	}
	_, err = s.Acquire(name, "late", 500, true, 0)
	assert.ErrorIs(t, err, ErrTooMany)
	c := s.Clone()
	c.Withdraw(name, "w0")
	assert.Len(t, s.Leases[name].Waiters, MaxWaitersPerLease)
}
