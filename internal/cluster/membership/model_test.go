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
	member, voter, up, downTooLong, caughtUp, leaving bool
}

// clusterModel is a state of the model: what there is, the leader, and a change that is not
// committed yet.
type clusterModel struct {
	nodes   [5]node
	size    int
	leader  int  // -1 if there is none
	pending Step // appended by the leader
}

var zoneOfNode = [5]string{"a", "a", "b", "b", "c"}

func modelPolicy() Policy {
	return Policy{TargetVoters: 3, ReplaceAfter: time.Minute, RemoveLearnerAfter: time.Minute}
}

func id(i int) string { return fmt.Sprint(i) }

func (w *clusterModel) view() View {
	v := View{Leader: id(w.leader), ChangePending: w.pending.Kind != StepNone, SinceChange: time.Hour}
	for i, n := range w.nodes[:w.size] {
		if !n.member {
			continue
		}
		m := Member{ID: id(i), Zone: zoneOfNode[i], Up: n.up, Leaving: n.leaving}
		if n.voter {
			m.Role = Voter
		}
		if !n.caughtUp {
			m.EntriesBehind = 1
		}
		if n.downTooLong {
			m.DownFor = time.Hour
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// voters counts all, those that are up, and those of them that have the log.
func (w *clusterModel) voters() (all, up, sound int) {
	for _, n := range w.nodes {
		if n.member && n.voter {
			all++
			if n.up {
				up++
				if n.caughtUp {
					sound++
				}
			}
		}
	}
	return
}

func (w *clusterModel) alive() bool {
	all, up, sound := w.voters()
	return up >= Quorum(all) && sound > 0
}

// electAndReplicate elects a leader if one can be, and lets the cluster write: who is not up
// then misses something.
func (w *clusterModel) electAndReplicate() {
	if w.leader >= 0 && !(w.nodes[w.leader].up && w.nodes[w.leader].voter) {
		w.leader, w.pending = -1, Step{} // lost before it was committed
	}
	if !w.alive() {
		return
	}
	for i, n := range w.nodes {
		if w.leader < 0 && n.member && n.voter && n.up && n.caughtUp {
			w.leader = i
		}
	}
	if _, _, sound := w.voters(); w.leader >= 0 && sound >= Quorum(func() int { a, _, _ := w.voters(); return a }()) {
		for i := range w.nodes {
			if !w.nodes[i].up {
				w.nodes[i].caughtUp = false
			}
		}
	}
}

func (w *clusterModel) do(s Step) {
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
		case StepTransferLeadership:
			w.leader = i
		}
	}
}

// events are all that may happen next.
func (w clusterModel) events() (next []clusterModel) {
	add := func(change func(*clusterModel)) {
		x := w
		change(&x)
		x.electAndReplicate()
		if x != w {
			next = append(next, x)
		}
	}
	for i := range w.size {
		n := w.nodes[i]
		switch {
		case !n.member && n.up:
			add(func(x *clusterModel) { x.nodes[i].member = true }) // joins, with an empty log
		case n.member && n.up:
			add(func(x *clusterModel) { x.nodes[i].up = false })
			add(func(x *clusterModel) { x.nodes[i].caughtUp = true })
			if !n.leaving {
				add(func(x *clusterModel) { x.nodes[i].leaving = true })
			}
		case n.member:
			add(func(x *clusterModel) { x.nodes[i].up, x.nodes[i].downTooLong = true, false })
			add(func(x *clusterModel) { x.nodes[i].downTooLong = true })
		}
	}
	if w.pending.Kind != StepNone {
		add(func(x *clusterModel) { x.pending = Step{} }) // the message is lost
		add(func(x *clusterModel) { s := x.pending; x.pending = Step{}; x.do(s) })
	} else if w.leader >= 0 {
		if s := modelPolicy().NextStep(w.view()); s.Kind != StepNone {
			add(func(x *clusterModel) { x.pending = s })
		}
	}
	return next
}

// TestEveryOrder explores all orders of failures, recoveries, joins, leaves, lost
// messages and decisions of clusters of up to five nodes, to a depth. No decision
// costs a majority or the last copy, and left alone, decisions come to an end.
func TestEveryOrder(t *testing.T) {
	for n := 3; n <= 5; n++ {
		start := clusterModel{size: n}
		for i := range n {
			start.nodes[i] = node{member: i < 3, voter: i < 3, up: true, caughtUp: i < 3}
		}
		start.electAndReplicate()
		seen, layer, decisions := map[clusterModel]bool{start: true}, []clusterModel{start}, 0
		for range *depth {
			var next []clusterModel
			for _, w := range layer {
				if w.leader >= 0 && w.pending.Kind == StepNone {
					if s := modelPolicy().NextStep(w.view()); s.Kind != StepNone {
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
func checkStep(t *testing.T, w clusterModel, s Step) {
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
func checkEnds(t *testing.T, w clusterModel) {
	x, was := w, map[clusterModel]bool{}
	for {
		s := modelPolicy().NextStep(x.view())
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
		if n.member && !n.voter && n.up && n.caughtUp && !n.leaving {
			standby++
		}
		if n.member && n.voter && (n.leaving || !n.up && n.downTooLong) && i != x.leader {
			outgoing++
		}
	}
	if standby > 0 && sound >= Quorum(all) && (all-outgoing < 3 || outgoing > 0) {
		t.Errorf("a standby is there, and is not used: from %+v to %+v", w, x)
	}
}
