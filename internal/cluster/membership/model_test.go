package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var depth = flag.Int("depth", 7, "events that the model checker goes through")

// node is a node in the checked model.
type node struct {
	in, voter, up, long, caught, leaving bool
}

// world is a state of the model: what there is, the leader, and a change that is not
// committed yet.
type world struct {
	nodes   [5]node
	n       int
	leader  int  // -1 if there is none
	pending Step // appended by the leader
}

var zones = [5]string{"a", "a", "b", "b", "c"}

func policy() Policy { return Policy{Voters: 3, ReplaceAfter: time.Minute, ForgetAfter: time.Minute} }

func id(i int) string { return fmt.Sprint(i) }

func (w *world) view() View {
	v := View{Leader: id(w.leader), ChangePending: w.pending.Kind != StepNone, SinceChange: time.Hour}
	for i, n := range w.nodes[:w.n] {
		if !n.in {
			continue
		}
		m := Member{ID: id(i), Zone: zones[i], Up: n.up, Leaving: n.leaving}
		if n.voter {
			m.Role = Voter
		}
		if !n.caught {
			m.Lag = 1
		}
		if n.long {
			m.DownFor = time.Hour
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// voters counts all, those that are up, and those of them that have the log.
func (w *world) voters() (all, up, sound int) {
	for _, n := range w.nodes {
		if n.in && n.voter {
			all++
			if n.up {
				up++
				if n.caught {
					sound++
				}
			}
		}
	}
	return
}

func (w *world) alive() bool {
	all, up, sound := w.voters()
	return up >= Quorum(all) && sound > 0
}

// settle elects a leader if one can be, and lets the cluster write: who is not up
// then misses something.
func (w *world) settle() {
	if w.leader >= 0 && !(w.nodes[w.leader].up && w.nodes[w.leader].voter) {
		w.leader, w.pending = -1, Step{} // lost before it was committed
	}
	if !w.alive() {
		return
	}
	for i, n := range w.nodes {
		if w.leader < 0 && n.in && n.voter && n.up && n.caught {
			w.leader = i
		}
	}
	if _, _, sound := w.voters(); w.leader >= 0 && sound >= Quorum(func() int { a, _, _ := w.voters(); return a }()) {
		for i := range w.nodes {
			if !w.nodes[i].up {
				w.nodes[i].caught = false
			}
		}
	}
}

func (w *world) do(s Step) {
	for i := range w.nodes {
		if id(i) != s.ID {
			continue
		}
		switch s.Kind {
		case StepPromote:
			w.nodes[i].voter = true
		case StepDemote:
			w.nodes[i].voter = false
		case StepRemove:
			w.nodes[i] = node{up: w.nodes[i].up}
		case StepTransfer:
			w.leader = i
		}
	}
}

// events are all that may happen next.
func (w world) events() (next []world) {
	add := func(change func(*world)) {
		x := w
		change(&x)
		x.settle()
		if x != w {
			next = append(next, x)
		}
	}
	for i := range w.n {
		n := w.nodes[i]
		switch {
		case !n.in && n.up:
			add(func(x *world) { x.nodes[i].in = true }) // joins, with an empty log
		case n.in && n.up:
			add(func(x *world) { x.nodes[i].up = false })
			add(func(x *world) { x.nodes[i].caught = true })
			if !n.leaving {
				add(func(x *world) { x.nodes[i].leaving = true })
			}
		case n.in:
			add(func(x *world) { x.nodes[i].up, x.nodes[i].long = true, false })
			add(func(x *world) { x.nodes[i].long = true })
		}
	}
	if w.pending.Kind != StepNone {
		add(func(x *world) { x.pending = Step{} }) // the message is lost
		add(func(x *world) { s := x.pending; x.pending = Step{}; x.do(s) })
	} else if w.leader >= 0 {
		if s := policy().Next(w.view()); s.Kind != StepNone {
			add(func(x *world) { x.pending = s })
		}
	}
	return next
}

// TestEveryOrder explores all orders of failures, recoveries, joins, leaves, lost
// messages and decisions of clusters of up to five nodes, to a depth. No decision
// costs a majority or the last copy, and left alone, decisions come to an end.
func TestEveryOrder(t *testing.T) {
	for n := 3; n <= 5; n++ {
		start := world{n: n}
		for i := range n {
			start.nodes[i] = node{in: i < 3, voter: i < 3, up: true, caught: i < 3}
		}
		start.settle()
		seen, layer, decisions := map[world]bool{start: true}, []world{start}, 0
		for range *depth {
			var next []world
			for _, w := range layer {
				if w.leader >= 0 && w.pending.Kind == StepNone {
					if s := policy().Next(w.view()); s.Kind != StepNone {
						decisions++
						checkStep(t, w, s)
					}
					checkEnds(t, w)
				}
				for _, x := range w.events() {
					if !seen[x] {
						seen[x] = true
						next = append(next, x)
					}
				}
			}
			if layer = next; t.Failed() {
				return
			}
		}
		t.Logf("%d nodes: %d states, %d decisions", n, len(seen), decisions)
		assert.Positive(t, decisions)
	}
}

// checkStep: one decision costs neither the majority nor the last copy.
func checkStep(t *testing.T, w world, s Step) {
	all, _, sound := w.voters()
	x := w
	x.do(s)
	allAfter, _, soundAfter := x.voters()
	if sound >= Quorum(all) && soundAfter < Quorum(allAfter) {
		t.Errorf("%v %s loses the majority: %+v", s.Kind, s.ID, w)
	}
	if soundAfter == 0 || s.Kind == StepRemove && x.nodes[s.ID[0]-'0'].voter {
		t.Errorf("%v %s gives up the last copy, or a voter: %+v", s.Kind, s.ID, w)
	}
	if sound < Quorum(all) {
		t.Errorf("%v %s without a majority: %+v", s.Kind, s.ID, w)
	}
}

// checkEnds: with nothing else happening, decisions end, and never undo each other.
func checkEnds(t *testing.T, w world) {
	x, was := w, map[world]bool{}
	for {
		s := policy().Next(x.view())
		if s.Kind == StepNone {
			break
		}
		if was[x] {
			t.Errorf("decisions go in circles from %+v", w)
			return
		}
		was[x] = true
		x.do(s)
	}
	// Where enough sound nodes are there, they have the votes in the end.
	all, _, sound := x.voters()
	standby, outgoing := 0, 0
	for i, n := range x.nodes {
		if n.in && !n.voter && n.up && n.caught && !n.leaving {
			standby++
		}
		if n.in && n.voter && (n.leaving || !n.up && n.long) && i != x.leader {
			outgoing++
		}
	}
	if standby > 0 && sound >= Quorum(all) && (all-outgoing < 3 || outgoing > 0) {
		t.Errorf("a standby is there, and is not used: from %+v to %+v", w, x)
	}
}
