package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var depth = flag.Int("depth", 7, "maximum number of events that the model checker explores")

// node is the state of one node in clusterModel.
type node struct {
	member, voter, up, downTooLong, caughtUp, leaving bool
}

// clusterModel is a state of the membership model: the nodes, the leader, and the change that is not
// committed.
type clusterModel struct {
	nodes   [5]node
	size    int
	leader  int  // index of the leader, -1 if there is none
	pending Step // appended to the leader's log, not committed
}

var zoneOfNode = [5]string{"a", "a", "b", "b", "c"}

func modelPolicy() Policy {
	return Policy{TargetVoters: 3, ReplaceAfter: time.Minute, RemoveLearnerAfter: time.Minute}
}

func nodeID(i int) string { return fmt.Sprint(i) }

func (w *clusterModel) view() View {
	v := View{Leader: nodeID(w.leader), ChangePending: w.pending.Kind != StepNone, SinceChange: time.Hour}
	for i, n := range w.nodes[:w.size] {
		if !n.member {
			continue
		}
		m := Member{ID: nodeID(i), Zone: zoneOfNode[i], Up: n.up, Leaving: n.leaving}
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

// voters returns the numbers of all voters, of voters that are up, and of voters that are up and have the
// complete log.
func (w *clusterModel) voters() (all, up, upToDate int) {
	for _, n := range w.nodes {
		if n.member && n.voter {
			all++
			if n.up {
				up++
				if n.caughtUp {
					upToDate++
				}
			}
		}
	}
	return
}

func (w *clusterModel) canElectLeader() bool {
	all, up, upToDate := w.voters()
	return up >= Quorum(all) && upToDate > 0
}

// electAndReplicate elects a leader if a majority is up and an up-to-date voter exists. If a majority is up to
// date, the leader commits an entry, which the nodes that are down then miss.
func (w *clusterModel) electAndReplicate() {
	if w.leader >= 0 && !(w.nodes[w.leader].up && w.nodes[w.leader].voter) {
		w.leader, w.pending = -1, Step{} // the pending change is lost uncommitted
	}
	if !w.canElectLeader() {
		return
	}
	for i, n := range w.nodes {
		if w.leader < 0 && n.member && n.voter && n.up && n.caughtUp {
			w.leader = i
		}
	}
	if _, _, upToDate := w.voters(); w.leader >= 0 && upToDate >= Quorum(func() int { a, _, _ := w.voters(); return a }()) {
		for i := range w.nodes {
			if !w.nodes[i].up {
				w.nodes[i].caughtUp = false
			}
		}
	}
}

func (w *clusterModel) apply(s Step) {
	for i := range w.nodes {
		if nodeID(i) != s.ID {
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

// nextStates returns the states after each possible event.
func (w clusterModel) nextStates() (next []clusterModel) {
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
			add(func(x *clusterModel) { x.nodes[i].member = true }) // joins with an empty log
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
		add(func(x *clusterModel) { x.pending = Step{} }) // the pending change is lost
		add(func(x *clusterModel) { s := x.pending; x.pending = Step{}; x.apply(s) })
	} else if w.leader >= 0 {
		if s := modelPolicy().NextStep(w.view()); s.Kind != StepNone {
			add(func(x *clusterModel) { x.pending = s })
		}
	}
	return next
}

// TestEveryOrder explores all orders of failures, recoveries, joins, removals, lost changes and decisions in
// clusters of three to five nodes, up to *depth events. It guards against a step that loses the majority or the
// last up-to-date voter, and against steps that never end.
func TestEveryOrder(t *testing.T) {
	for n := 3; n <= 5; n++ {
		start := clusterModel{size: n}
		for i := range n {
			start.nodes[i] = node{member: i < 3, voter: i < 3, up: true, caughtUp: i < 3}
		}
		start.electAndReplicate()
		seen, frontier, decisions := map[clusterModel]bool{start: true}, []clusterModel{start}, 0
		for range *depth {
			var next []clusterModel
			for _, w := range frontier {
				if w.leader >= 0 && w.pending.Kind == StepNone {
					if s := modelPolicy().NextStep(w.view()); s.Kind != StepNone {
						decisions++
						checkStep(t, w, s)
					}
					checkConvergence(t, w)
				}
				for _, x := range w.nextStates() {
					if !seen[x] {
						seen[x] = true
						next = append(next, x)
					}
				}
			}
			if frontier = next; t.Failed() {
				return
			}
		}
		t.Logf("%d nodes: %d states, %d decisions", n, len(seen), decisions)
		assert.Positive(t, decisions)
	}
}

// checkStep fails the test if step s loses the majority or the last up-to-date voter, removes a voter, or is
// taken without a majority.
func checkStep(t *testing.T, w clusterModel, s Step) {
	all, _, upToDate := w.voters()
	x := w
	x.apply(s)
	allAfter, _, upToDateAfter := x.voters()
	if upToDate >= Quorum(all) && upToDateAfter < Quorum(allAfter) {
		t.Errorf("%v %s loses the majority: %+v", s.Kind, s.ID, w)
	}
	if upToDateAfter == 0 || s.Kind == StepRemove && x.nodes[s.ID[0]-'0'].voter {
		t.Errorf("%v %s loses the last up-to-date voter, or removes a voter: %+v", s.Kind, s.ID, w)
	}
	if upToDate < Quorum(all) {
		t.Errorf("%v %s is taken without a majority: %+v", s.Kind, s.ID, w)
	}
}

// checkConvergence fails the test if steps repeat a state when no other event happens, or end while a healthy
// learner could replace a voter.
func checkConvergence(t *testing.T, w clusterModel) {
	x, visited := w, map[clusterModel]bool{}
	for {
		s := modelPolicy().NextStep(x.view())
		if s.Kind == StepNone {
			break
		}
		if visited[x] {
			t.Errorf("steps repeat a state, starting from %+v", w)
			return
		}
		visited[x] = true
		x.apply(s)
	}
	// If a majority is up to date, the steps must have used every standby that can become a voter.
	all, _, upToDate := x.voters()
	standby, replaceable := 0, 0
	for i, n := range x.nodes {
		if n.member && !n.voter && n.up && n.caughtUp && !n.leaving {
			standby++
		}
		if n.member && n.voter && (n.leaving || !n.up && n.downTooLong) && i != x.leader {
			replaceable++
		}
	}
	if standby > 0 && upToDate >= Quorum(all) && (all-replaceable < 3 || replaceable > 0) {
		t.Errorf("a standby was not promoted: start %+v, end %+v", w, x)
	}
}
