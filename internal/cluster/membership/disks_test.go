package membership

import (
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"oxbowbridge/internal/cluster/diskidentity"
)

var diskDepth = flag.Int("disk-depth", 7, "events that the model of lost disks goes through")

// The model of disks: what nodes hold, how far it goes, and what was acknowledged. Its
// nodes decide by identity.Decide and Policy.Next, as the real ones do. Entries are
// numbers: a log is a length, as all logs are the beginning of one history until a
// promise is broken, which is what is looked for.
const (
	nodesMost = 5
	gensMost  = 3 // disks that a node has one after the other
	lenMost   = 6
)

type diskMark struct{ gen, starts, len int8 }

// diskState is what a folder holds.
type diskState struct {
	gen, starts, len int8
	joiner           bool
	seen             [nodesMost]diskMark
}

type diskNode struct {
	diskState
	up, runs bool // runs: Raft does
	next     int8 // generation of its next disk
}

// config is the role of each disk of each node: 0 none, 1 learner, 2 voter.
type config [nodesMost][gensMost]int8

type disks struct {
	n       int
	nodes   [nodesMost]diskNode
	copies  [nodesMost]diskState // of which len 0 is none
	back    bool                 // a folder went back in time once
	acked   int8
	last    int8
	history [lenMost + 1]config // the configuration as of each length
}

// rules are what the checked nodes go by.
type diskRules struct {
	identity bool // a node is its disk too, and asks others at a start
	vouchers int
	back     bool // folders may go back in time
}

func diskID(i int, gen int8) string {
	return diskidentity.MemberID(string(rune('a'+i)), string(rune('0'+gen)))
}

func (w *disks) ids(c config, least int8) (list []string) {
	for i := range w.n {
		for g := range int8(gensMost) {
			if c[i][g] >= least {
				list = append(list, diskID(i, g))
			}
		}
	}
	return list
}

// leader is a node that can win an election with those that run, or -1, and whether one
// can that has not all that was acknowledged.
func (w *disks) leader() (lead int, loss bool) {
	lead = -1
	for i := range w.n {
		x := w.nodes[i]
		conf := w.history[x.len]
		if !x.runs || conf[i][x.gen] != 2 {
			continue
		}
		voters, votes := len(w.ids(conf, 2)), 0
		for j := range w.n {
			if y := w.nodes[j]; y.runs && conf[j][y.gen] == 2 && y.len <= x.len {
				votes++
			}
		}
		if votes >= Quorum(voters) {
			if x.len < w.acked {
				loss = true
			}
			if lead < 0 || x.len > w.nodes[lead].len {
				lead = i
			}
		}
	}
	return lead, loss
}

// decide is what the node makes of its disk now.
func (w *disks) decide(i int, r diskRules) {
	x := &w.nodes[i]
	if !r.identity {
		x.runs = true
		return
	}
	conf := w.history[x.len]
	own := diskidentity.LocalDisk{ID: diskID(i, x.gen), Fresh: x.len == 0 && !x.joiner, Empty: x.len == 0, ConfigIndex: uint64(x.len), Attesters: r.vouchers,
		Watermark: diskidentity.Watermark{Starts: uint64(x.starts), Term: 1, LastTerm: 1, LastIndex: uint64(x.len)}, Founders: []string{"a", "b", "c"},
		Members: w.ids(conf, 1), Voters: w.ids(conf, 2)}
	words := map[string]diskidentity.Attestation{}
	for j := range w.n {
		y := w.nodes[j]
		if j == i || !y.up {
			continue
		}
		c := w.history[y.len]
		word := diskidentity.Attestation{ID: diskID(j, y.gen), Fresh: y.len == 0 && !y.joiner, ConfigIndex: uint64(y.len), Members: w.ids(c, 1), Voters: w.ids(c, 2)}
		if m := y.seen[i]; m.gen == x.gen && m.starts > 0 {
			word.LastObserved = &diskidentity.Watermark{Starts: uint64(m.starts), Term: 1, LastTerm: 1, LastIndex: uint64(m.len)}
		}
		words[diskidentity.MemberName(word.ID)] = word
	}
	switch v, _ := diskidentity.Decide(own, words); v {
	case diskidentity.VerdictResume, diskidentity.VerdictJoin:
		x.runs = true
	case diskidentity.VerdictRenew:
		if x.next < gensMost {
			x.gen, x.joiner, x.runs = x.next, true, true
			x.next++
		}
	}
}

// settle has nodes that wait look again, the leader bring all members up to date, and
// all that are up see each other, until nothing changes. It tells of a broken promise.
func (w *disks) settle(r diskRules) (loss bool) {
	for {
		was := *w
		for i := range w.n {
			if w.nodes[i].up && !w.nodes[i].runs {
				w.decide(i, r)
			}
		}
		lead, lost := w.leader()
		if lost {
			return true
		}
		if lead >= 0 {
			conf, n := w.history[w.nodes[lead].len], w.nodes[lead].len
			for i := range w.n {
				if x := &w.nodes[i]; x.runs && conf[i][x.gen] > 0 {
					x.len = max(x.len, n)
				}
			}
		}
		for i := range w.n {
			for j := range w.n {
				if x, y := &w.nodes[i], w.nodes[j]; i != j && x.up && y.up {
					if m := (diskMark{y.gen, y.starts, y.len}); x.seen[j].gen != m.gen || x.seen[j].starts <= m.starts && x.seen[j].len <= m.len {
						x.seen[j] = m
					}
				}
			}
		}
		if *w == was {
			return false
		}
	}
}

// commit adds an entry, if one can be.
func (w *disks) commit(change func(*config)) bool {
	lead, _ := w.leader()
	if lead < 0 || w.last >= lenMost || w.nodes[lead].len != w.last {
		return false
	}
	w.last++
	w.history[w.last] = w.history[w.last-1]
	change(&w.history[w.last])
	conf := w.history[w.last]
	for i := range w.n {
		if x := &w.nodes[i]; x.runs && (conf[i][x.gen] > 0 || i == lead) {
			x.len = w.last
		}
	}
	w.acked = w.last
	return true
}

func (w *disks) view(lead int) View {
	v := View{Leader: diskID(lead, w.nodes[lead].gen), SinceChange: 1 << 40}
	conf := w.history[w.nodes[lead].len]
	for i := range w.n {
		x := w.nodes[i]
		for g := range int8(gensMost) {
			if conf[i][g] == 0 {
				continue
			}
			m := Member{ID: diskID(i, g), Role: Role(conf[i][g] - 1), Up: x.runs && x.gen == g, DiskLost: x.up && x.gen != g}
			if x.len < w.nodes[lead].len {
				m.Lag = 1
			}
			v.Members = append(v.Members, m)
		}
	}
	return v
}

func (w *disks) step() bool {
	lead, _ := w.leader()
	if lead < 0 {
		return false
	}
	s := policy().Next(w.view(lead))
	if s.Kind == StepNone || s.Kind == StepTransfer {
		return false
	}
	return w.commit(func(c *config) {
		i, g := s.ID[0]-'a', s.ID[2]-'0'
		c[i][g] = map[StepKind]int8{StepPromote: 2, StepDemote: 1, StepRemove: 0}[s.Kind]
	})
}

func (w *disks) join(i int) bool {
	lead, _ := w.leader()
	x := w.nodes[i]
	if lead < 0 || !x.runs || w.history[w.last][i][x.gen] != 0 {
		return false
	}
	return w.commit(func(c *config) { c[i][x.gen] = 1 })
}

// events are all worlds that may be next; a nil one is where a promise was broken.
func (w disks) events(r diskRules) (next []*disks) {
	add := func(change func(*disks) bool) {
		x := w
		if !change(&x) {
			return
		}
		if x.settle(r) {
			next = append(next, nil)
		} else if x != w {
			next = append(next, &x)
		}
	}
	add(func(x *disks) bool { return x.commit(func(*config) {}) })
	add((*disks).step)
	for i := range w.n {
		add(func(x *disks) bool { return x.join(i) })
		add(func(x *disks) bool {
			n := &x.nodes[i]
			if n.up {
				n.up, n.runs = false, false
				return true
			}
			n.up = true
			n.starts++
			return true
		})
		if w.nodes[i].up {
			add(func(x *disks) bool { x.copies[i] = x.nodes[i].diskState; return r.back })
			continue
		}
		add(func(x *disks) bool {
			n := &x.nodes[i]
			if !r.identity {
				n.diskState = diskState{}
				return true
			}
			if n.next >= gensMost {
				return false
			}
			n.diskState = diskState{gen: n.next}
			n.next++
			return true
		})
		add(func(x *disks) bool {
			if x.back || x.copies[i].len == 0 {
				return false
			}
			x.back, x.nodes[i].diskState = true, x.copies[i]
			return true
		})
	}
	return next
}

// explore looks for a broken promise up to a depth of events.
func explore(n int, r diskRules, depth int) (states int, found int) {
	start := disks{n: n, last: 1}
	for i := range n {
		start.nodes[i] = diskNode{diskState: diskState{starts: 1}, up: true, next: 1}
		if i < 3 {
			start.nodes[i].len, start.nodes[i].runs = 1, true
			start.history[1][i][0] = 2
		}
	}
	start.settle(r)
	seen, layer := map[disks]bool{start: true}, []disks{start}
	for d := range depth {
		var next []disks
		for _, w := range layer {
			for _, x := range w.events(r) {
				if x == nil {
					return len(seen), d + 1
				}
				if !seen[*x] {
					seen[*x] = true
					next = append(next, *x)
				}
			}
		}
		layer = next
	}
	return len(seen), 0
}

// TestLostDisks: nodes that are their names alone break a promise when one loses its
// disk; nodes that are their disks don't, up to the depth. One folder that goes back in
// time breaks none if all other voters must vouch at a start; if a majority may, the case
// that can't be told from a loss of power to all is found, and no other is shorter.
func TestLostDisks(t *testing.T) {
	for n := 3; n <= nodesMost; n++ {
		depth := *diskDepth
		if n == 3 {
			depth++
		}
		_, found := explore(n, diskRules{}, 7)
		assert.NotZero(t, found, "%d nodes without identity", n)
		t.Logf("%d nodes, names alone: a promise is broken after %d events", n, found)
		for _, r := range []diskRules{{identity: true}, {identity: true, vouchers: -1, back: true}} {
			if r.back && n == nodesMost {
				depth-- // it has the most states by far
			}
			states, found := explore(n, r, depth)
			assert.Zero(t, found, "%d nodes, %+v", n, r)
			t.Logf("%d nodes, %+v: %d states to depth %d", n, r, states, depth)
		}
	}
	_, found := explore(3, diskRules{identity: true, back: true}, 8)
	t.Logf("3 nodes, a majority vouches, folders go back: after %d events", found)
	assert.NotZero(t, found)
	assert.True(t, slices.Contains([]int{6, 7, 8}, found))
}
