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
	depth = flag.Int("depth", 12, "maximum number of events that the model checker explores")
	walks = flag.Int("walks", 500, "number of random walks of 400 events")
)

// The model has one lease, two or three processes that request it, a correct log, leader changes, and
// messages that are delayed, lost, repeated and reordered. In a tick, holders' clocks run slow and the
// leader's clock runs fast, which is the worst case of clock drift. State, DeadlineTable and HolderState
// make all decisions.
const (
	modelLeaseName       = "job"
	modelTTL             = 500 * time.Millisecond
	tick                 = 170 * time.Millisecond
	maxMessagesPerHolder = 2 // messages in flight for one holder at a time
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
	sent     messageStage = iota // in flight to a leader
	arrived                      // at a leader that has not confirmed its leadership since the arrival
	answered                     // answer in flight to the holder
)

// milliseconds is a duration in the model. It has 16 bits to keep the many states small.
type milliseconds int16

func (m milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// minus returns a remaining time after d has passed; plus returns an age after d has passed. Both are limited,
// as values below 0 or above the TTL make no difference.
func (m milliseconds) minus(d time.Duration) milliseconds {
	return milliseconds(max(m.duration()-d, -1).Milliseconds())
}
func (m milliseconds) plus(d time.Duration) milliseconds {
	return milliseconds(min(m.duration()+d, modelTTL).Milliseconds())
}

type message struct {
	kind           messageKind
	stage          messageStage
	toFormerLeader bool         // the leader at which it arrived has been replaced
	token          uint16       // token of the request, or granted token; 0: refused
	sentAgo        milliseconds // time since it was sent, by the holder's clock
	arrivedAgo     milliseconds // time since it arrived, by the leader's clock
}

type modelHolder struct {
	token, releasedToken uint16       // token that it holds, last token that it released
	remaining            milliseconds // time until it must stop acting, by its clock
}

func (h modelHolder) state() *HolderState {
	return &HolderState{Token: uint64(h.token), TTL: modelTTL, deadline: h.remaining.duration(), releasedToken: uint64(h.releasedToken)}
}

func newModelHolder(h *HolderState) modelHolder {
	return modelHolder{uint16(h.Token), uint16(h.releasedToken), milliseconds(max(h.deadline, -1).Milliseconds())}
}

// modelState is a state of the model, with one lease and its processes.
type modelState struct {
	holder, waiter     uint8  // process number (1, 2, …; 0 is none) of the holder and of the only waiter
	lastToken, token   uint16 // last issued token, token of the lease
	tableToken         uint16 // token in the leader's DeadlineTable
	tableRemaining     milliseconds
	expiryProposed     bool
	revoked            bool
	leaderChanged      bool // set by a leader change if noLeaderCheck: messages may reach the former leader
	holders            [3]modelHolder
	messages           [3][maxMessagesPerHolder]message
	checkedToken       [3]uint16 // token under which a holder has checked MayAct without acting yet; 0 is none
	resourceToken      uint16    // highest token that the resource has accepted
	staleTokenAccepted bool      // the resource accepted a token after a higher one
}

// modelRules configures the model; tests disable one guard at a time.
type modelRules struct {
	holderCount                                                                 int
	noSafetyMargin, noNewLeaderGracePeriod, noLeaderCheck, noReleasedTokenCheck bool
	useResource, noFencing                                                      bool          // holders act on a resource, possibly after their deadline
	operatorOps                                                                 bool          // leases are also revoked and handed over
	holderTick, leaderTick                                                      time.Duration // duration of a tick by a holder's clock and by the leader's clock
	tokenLimit                                                                  uint16        // states in which this token was issued are not explored
	messagesPerHolder                                                           int           // messages in flight for one holder at a time
}

func defaultRules() modelRules {
	return modelRules{holderCount: 2, tokenLimit: 5, messagesPerHolder: 1, holderTick: tick * 9 / 10, leaderTick: tick * 11 / 10}
}

// fencedResource is a stand-in for an external resource that checks fencing tokens: it stores the highest token
// that it has accepted and rejects lower ones.
type fencedResource struct{ highestToken uint64 }

// Admit reports whether the resource accepts a write with a token.
func (f *fencedResource) Admit(token uint64) bool {
	if token < f.highestToken {
		return false
	}
	f.highestToken = token
	return true
}

func holderName(i int) string { return fmt.Sprint("h", i+1) }

// restore returns the State and DeadlineTable that a modelState describes. The current time is 0.
func (w *modelState) restore() (*State, *DeadlineTable) {
	s := NewState(uint64(w.lastToken))
	if w.holder > 0 {
		l := Lease{Holder: holderName(int(w.holder) - 1), Token: uint64(w.token), TTLMS: modelTTL.Milliseconds(), Revoked: w.revoked}
		if w.waiter > 0 {
			l.Waiters, s.WaiterCount = []Waiter{{Holder: holderName(int(w.waiter) - 1), TTLMS: modelTTL.Milliseconds()}}, 1
		}
		s.Leases[modelLeaseName] = l
	}
	t := NewDeadlineTable(0)
	if w.tableToken > 0 {
		t.expiries[modelLeaseName] = expiry{uint64(w.tableToken), w.tableRemaining.duration(), w.expiryProposed}
	}
	return s, t
}

// record copies the State and the DeadlineTable back into the modelState.
func (w *modelState) record(s *State, t *DeadlineTable) {
	w.lastToken, w.holder, w.token, w.waiter, w.tableToken, w.tableRemaining, w.expiryProposed, w.revoked = uint16(s.LastToken), 0, 0, 0, 0, 0, false, false
	processNumber := func(h string) uint8 { return h[1] - '0' }
	if l, ok := s.Leases[modelLeaseName]; ok {
		w.holder, w.token, w.revoked = processNumber(l.Holder), uint16(l.Token), l.Revoked
		if len(l.Waiters) > 0 {
			w.waiter = processNumber(l.Waiters[0].Holder)
		}
		if e, ok := t.expiries[modelLeaseName]; ok && e.token == l.Token {
			w.tableToken, w.tableRemaining, w.expiryProposed = uint16(e.token), milliseconds(max(e.deadline, -1).Milliseconds()), e.expiryProposed
		}
	}
}

// holdersAllowedToAct returns the indexes of the processes that may act now.
func (w *modelState) holdersAllowedToAct(n int) (list []int) {
	for i, h := range w.holders[:n] {
		if h.state().MayAct(0) {
			list = append(list, i)
		}
	}
	return list
}

// processMessage processes an arrived message at the leader and turns it into its answer.
func (w *modelState) processMessage(i int, m *message, r modelRules) {
	s, t := w.restore()
	switch m.kind {
	case acquire:
		l, needsLogEntry, err := t.TryAcquire(s, modelLeaseName, holderName(i), w.waiter == 0, -m.arrivedAgo.duration(), 0)
		if needsLogEntry {
			s.Apply(Op{Kind: OpAcquire, Name: modelLeaseName, Holder: holderName(i), TTLMS: modelTTL.Milliseconds(), Enqueue: w.waiter == 0})
			l, needsLogEntry, err = t.TryAcquire(s, modelLeaseName, holderName(i), false, -m.arrivedAgo.duration(), 0)
		}
		if m.token = 0; !needsLogEntry && err == nil {
			m.token = uint16(l.Token)
		}
		t.DueOps(s, 0) // enters the lease's deadline into the table
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

// receiveAnswer applies an answer to a holder's state.
func (w *modelState) receiveAnswer(i int, m message, r modelRules) {
	h := w.holders[i].state()
	switch {
	case m.token != 0 && uint64(m.token) >= h.Token: // an answer for an older token is ignored
		h.RecordGrant(uint64(m.token), -m.sentAgo.duration())
		if r.noSafetyMargin {
			h.deadline = max(h.deadline, -m.sentAgo.duration()+modelTTL)
		}
	case m.token == 0 && m.kind == renew:
		h.MarkLost()
	}
	w.holders[i] = newModelHolder(h)
}

// nextStates returns the states after each possible event, and the names of the events.
func (w modelState) nextStates(r modelRules) (next []modelState, events []string) {
	add := func(event string, change func(*modelState)) {
		x := w
		change(&x)
		if x.lastToken < r.tokenLimit && x != w {
			next, events = append(next, x), append(events, event)
		}
	}
	add("tick", func(x *modelState) {
		if x.tableToken > 0 {
			x.tableRemaining = x.tableRemaining.minus(r.leaderTick)
		}
		for i := range r.holderCount {
			x.holders[i].remaining = x.holders[i].remaining.minus(r.holderTick)
			for k := range x.messages[i] {
				if m := &x.messages[i][k]; m.kind != noMessage {
					m.sentAgo = m.sentAgo.plus(r.holderTick)
					if m.stage == arrived {
						m.arrivedAgo = m.arrivedAgo.plus(r.leaderTick)
					}
				}
			}
		}
	})
	add("the leader changes", func(x *modelState) {
		x.leaderChanged = r.noLeaderCheck
		s, _ := x.restore()
		t := NewDeadlineTable(0)
		if r.noNewLeaderGracePeriod {
			t.expiries[modelLeaseName] = expiry{token: uint64(x.token)}
		} else {
			t.DueOps(s, 0)
		}
		x.record(s, t)
		for i := range r.holderCount {
			for k := range x.messages[i] {
				if m := &x.messages[i][k]; m.kind != noMessage && m.stage == arrived {
					m.toFormerLeader = true
				}
			}
		}
	})
	add("the lease expires if its deadline has passed", func(x *modelState) {
		s, t := x.restore()
		if len(t.DueOps(s, 0)) > 0 {
			s.End(modelLeaseName, uint64(x.token))
			t.DueOps(s, 0)
		}
		x.record(s, t)
	})
	if r.operatorOps && w.holder > 0 {
		add("the lease is revoked", func(x *modelState) {
			s, t := x.restore()
			s.Apply(Op{Kind: OpRevoke, Name: modelLeaseName})
			x.record(s, t)
		})
		add("the waiter withdraws", func(x *modelState) {
			s, t := x.restore()
			s.Apply(Op{Kind: OpWithdraw, Name: modelLeaseName, Holder: holderName(int(x.waiter) - 1)})
			x.record(s, t)
		})
	}
	for i := range r.holderCount {
		h := w.holders[i]
		if r.useResource && w.checkedToken[i] == 0 && h.state().MayAct(0) {
			add(holderName(i)+" checks that it may act", func(x *modelState) { x.checkedToken[i] = h.token })
		}
		if w.checkedToken[i] != 0 {
			add(holderName(i)+" acts", func(x *modelState) {
				f := fencedResource{highestToken: uint64(x.resourceToken)}
				if f.Admit(uint64(x.checkedToken[i])) || r.noFencing {
					x.staleTokenAccepted = x.checkedToken[i] < x.resourceToken
					x.resourceToken = max(x.resourceToken, x.checkedToken[i])
				}
				x.checkedToken[i] = 0
			})
		}
		for k, m := range w.messages[i][:r.messagesPerHolder] {
			messageIn := func(x *modelState) *message { return &x.messages[i][k] }
			switch {
			case m.kind == noMessage:
				if h.token == 0 {
					add(holderName(i)+" requests the lease", func(x *modelState) { *messageIn(x) = message{kind: acquire} })
				} else {
					add(holderName(i)+" sends a keep-alive", func(x *modelState) { *messageIn(x) = message{kind: renew, token: h.token} })
					for _, k := range []messageKind{release, handOver} {
						if k == handOver && !r.operatorOps {
							continue
						}
						add(holderName(i)+map[messageKind]string{release: " releases", handOver: " hands over"}[k], func(x *modelState) {
							released := h.state()
							*messageIn(x) = message{kind: k, token: uint16(released.Release())}
							if x.holders[i] = newModelHolder(released); r.noReleasedTokenCheck {
								x.holders[i].releasedToken = 0
							}
						})
					}
				}
				continue
			case m.stage == sent:
				add(holderName(i)+"'s message arrives", func(x *modelState) { messageIn(x).stage = arrived })
				if w.leaderChanged {
					add(holderName(i)+"'s message arrives at the former leader", func(x *modelState) { messageIn(x).stage, messageIn(x).toFormerLeader = arrived, true })
				}
			case m.stage == arrived && (!m.toFormerLeader || r.noLeaderCheck && m.kind == renew):
				add(holderName(i)+"'s message is answered", func(x *modelState) { x.processMessage(i, messageIn(x), r) })
			case m.stage == answered:
				add(holderName(i)+" receives the answer", func(x *modelState) { x.receiveAnswer(i, m, r); *messageIn(x) = message{} })
			}
			add(holderName(i)+"'s message is lost", func(x *modelState) { *messageIn(x) = message{} })
		}
	}
	return next, events
}

// explore searches breadth first for a state in which two holders may act or the resource accepts a stale token.
// It returns the shortest path of events to such a state, or nil.
func explore(r modelRules, depth int) (states int, path []string) {
	type predecessor struct {
		from  modelState
		event string
	}
	start := modelState{}
	visited, layer := map[modelState]predecessor{start: {}}, []modelState{start}
	for range depth {
		var next []modelState
		for _, w := range layer {
			successors, events := w.nextStates(r)
			for i, x := range successors {
				if _, known := visited[x]; known {
					continue
				}
				visited[x] = predecessor{w, events[i]}
				if len(x.holdersAllowedToAct(r.holderCount)) > 1 || x.staleTokenAccepted {
					for ; x != start; x = visited[x].from {
						path = append(path, visited[x].event)
					}
					slices.Reverse(path)
					return len(visited), path
				}
				next = append(next, x)
			}
		}
		layer = next
	}
	return len(visited), nil
}

// TestOneHolderActsAtATime guards against two holders that may act at the same time, and against tokens that don't
// increase, while clock rates are off by up to 10%. It explores all states up to -depth, and random walks beyond it.
func TestOneHolderActsAtATime(t *testing.T) {
	r := defaultRules()
	states, path := explore(r, *depth)
	assert.Empty(t, path)
	t.Logf("two holders: %d states to depth %d", states, *depth)
	r.operatorOps, r.useResource = true, true
	states, path = explore(r, *depth-3)
	assert.Empty(t, path)
	t.Logf("two holders that act on a resource, leases revoked and handed over: %d states to depth %d", states, *depth-3)
	r.holderCount, r.operatorOps, r.useResource = 3, false, false
	states, path = explore(r, *depth-3)
	assert.Empty(t, path)
	t.Logf("three holders: %d states to depth %d", states, *depth-3)
	r.operatorOps, r.useResource = true, true
	granted, found := walkRandomly(t, r, 0, uint64(*walks))
	assert.Empty(t, found)
	t.Logf("%d walks of 400 events, %d grants", *walks, granted)
	assert.Greater(t, granted, *walks)
}

// walkRandomly makes one random walk of 400 events for each seed, with reordered messages. It returns the number of
// grants, and the last events before two holders may act or the resource accepts a stale token, if that happens.
func walkRandomly(t *testing.T, r modelRules, firstSeed, endSeed uint64) (granted int, found string) {
	r.holderCount, r.tokenLimit, r.messagesPerHolder = 3, 60000, maxMessagesPerHolder
	for seed := firstSeed; seed < endSeed; seed++ {
		rng, w, highest := rand.New(rand.NewPCG(seed, 1)), modelState{}, uint16(0)
		var path []string
		for range 400 {
			successors, events := w.nextStates(r)
			choice := rng.IntN(len(successors))
			if x := successors[choice]; x.token != w.token && x.token != 0 {
				granted++
				assert.Greater(t, x.token, highest, "seed %d", seed)
				highest = x.token
			}
			w, path = successors[choice], append(path, events[choice])
			if len(w.holdersAllowedToAct(r.holderCount)) > 1 || w.staleTokenAccepted {
				return granted, fmt.Sprintf("seed %d: %v", seed, path[max(0, len(path)-40):])
			}
		}
		if next := w.waiter; next > 0 { // without further messages, the lease expires and the waiter is granted it
			s, table := w.restore()
			for _, o := range table.DueOps(s, 2*modelTTL) {
				s.Apply(o)
			}
			assert.Equal(t, holderName(int(next)-1), s.Leases[modelLeaseName].Holder, "seed %d", seed)
		}
	}
	return granted, ""
}

// TestEachGuardIsNeeded checks that the model detects each missing guard: without it, two holders may act at the same
// time, or the resource accepts a stale token.
func TestEachGuardIsNeeded(t *testing.T) {
	for guard, disable := range map[string]func(*modelRules){
		"the safety margin":                func(r *modelRules) { r.noSafetyMargin = true },
		"the grace period of a new leader": func(r *modelRules) { r.noNewLeaderGracePeriod = true },
		"the leader's leadership check":    func(r *modelRules) { r.noLeaderCheck = true },
		"fencing":                          func(r *modelRules) { r.useResource, r.noFencing = true, true },
		"a bound on clock drift":           func(r *modelRules) { r.leaderTick, r.holderTick = tick*15/10, tick*8/10 },
	} {
		r := defaultRules()
		disable(&r)
		states, path := explore(r, 17)
		assert.NotEmpty(t, path, "without %s", guard)
		t.Logf("without %s: violation after %d events (%d states): %v", guard, len(path), states, path)
	}
	r := defaultRules()
	r.noReleasedTokenCheck = true
	_, found := walkRandomly(t, r, 1400, 1500) // at least one of these seeds finds a violation
	assert.NotEmpty(t, found, "without the released token check")
	t.Logf("without the released token check: %s", found)
}
