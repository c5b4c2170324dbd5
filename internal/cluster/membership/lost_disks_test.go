package membership

import (
	"flag"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"oxbowbridge/internal/cluster/diskidentity"
)

var diskDepth = flag.Int("disk-depth", 7, "events that the model of lost disks goes through")

// The model of lost disks: what nodes hold on their disks, and what was acknowledged. Its nodes decide
// by diskidentity.Decide and Policy.Next, as the real ones do. A log is a length, as all logs are
// prefixes of one history until an acknowledged entry is lost, which is what the model looks for.
const (
	maxNodes       = 5
	maxGenerations = 3 // disks that a node has one after the other
	maxLogLength   = 6
)

type diskMark struct{ generation, starts, logLength int8 }

// diskState is what a folder holds.
type diskState struct {
	generation, starts, logLength int8
	joiner                        bool
	observed                      [maxNodes]diskMark
}

type diskNode struct {
	diskState
	up, running    bool // running: Raft runs
	nextGeneration int8 // generation of its next disk
}

// config is the role of each disk of each node: 0 none, 1 learner, 2 voter.
type config [maxNodes][maxGenerations]int8

type lostDisksModel struct {
	size       int
	nodes      [maxNodes]diskNode
	backups    [maxNodes]diskState // of which len 0 is none
	rolledBack bool                // a folder was replaced by an older copy once
	acked      int8
	last       int8
	history    [maxLogLength + 1]config // the configuration as of each length
}

// diskRules are what the checked nodes decide by.
type diskRules struct {
	diskIDs   bool // a member is a name and a disk, and asks others when it starts
	attesters int
	rollbacks bool // a folder may be replaced by an older copy
}

func diskID(i int, gen int8) string {
	return diskidentity.MemberID(string(rune('a'+i)), string(rune('0'+gen)))
}

func (w *lostDisksModel) ids(c config, least int8) (list []string) {
	for i := range w.size {
		for g := range int8(maxGenerations) {
			if c[i][g] >= least {
				list = append(list, diskID(i, g))
			}
		}
	}
	return list
}

// leader is a node that can win an election with those that run, or -1, and whether one
// can that has not all that was acknowledged.
func (w *lostDisksModel) leader() (lead int, loss bool) {
	lead = -1
	for i := range w.size {
		x := w.nodes[i]
		conf := w.history[x.logLength]
		if !x.running || conf[i][x.generation] != 2 {
			continue
		}
		voters, votes := len(w.ids(conf, 2)), 0
		for j := range w.size {
			if y := w.nodes[j]; y.running && conf[j][y.generation] == 2 && y.logLength <= x.logLength {
				votes++
			}
		}
		if votes >= Quorum(voters) {
			if x.logLength < w.acked {
				loss = true
			}
			if lead < 0 || x.logLength > w.nodes[lead].logLength {
				lead = i
			}
		}
	}
	return lead, loss
}

// decide has a node decide on its disk.
func (w *lostDisksModel) decide(i int, r diskRules) {
	x := &w.nodes[i]
	if !r.diskIDs {
		x.running = true
		return
	}
	conf := w.history[x.logLength]
	own := diskidentity.LocalDisk{ID: diskID(i, x.generation), Fresh: x.logLength == 0 && !x.joiner, Empty: x.logLength == 0, ConfigIndex: uint64(x.logLength), Attesters: r.attesters,
		Watermark: diskidentity.Watermark{Starts: uint64(x.starts), Term: 1, LastTerm: 1, LastIndex: uint64(x.logLength)}, Founders: []string{"a", "b", "c"},
		Members: w.ids(conf, 1), Voters: w.ids(conf, 2)}
	words := map[string]diskidentity.Attestation{}
	for j := range w.size {
		y := w.nodes[j]
		if j == i || !y.up {
			continue
		}
		c := w.history[y.logLength]
		word := diskidentity.Attestation{ID: diskID(j, y.generation), Fresh: y.logLength == 0 && !y.joiner, ConfigIndex: uint64(y.logLength), Members: w.ids(c, 1), Voters: w.ids(c, 2)}
		if m := y.observed[i]; m.generation == x.generation && m.starts > 0 {
			word.LastObserved = &diskidentity.Watermark{Starts: uint64(m.starts), Term: 1, LastTerm: 1, LastIndex: uint64(m.logLength)}
		}
		words[diskidentity.MemberName(word.ID)] = word
	}
	switch v, _ := diskidentity.Decide(own, words); v {
	case diskidentity.VerdictResume, diskidentity.VerdictJoin:
		x.running = true
	case diskidentity.VerdictRenew:
		if x.nextGeneration < maxGenerations {
			x.generation, x.joiner, x.running = x.nextGeneration, true, true
			x.nextGeneration++
		}
	}
}

// settle has nodes that wait look again, the leader bring all members up to date, and
// all that are up see each other, until nothing changes. It reports whether an acknowledged entry is lost.
func (w *lostDisksModel) settle(r diskRules) (loss bool) {
	for {
		was := *w
		for i := range w.size {
			if w.nodes[i].up && !w.nodes[i].running {
				w.decide(i, r)
			}
		}
		lead, lost := w.leader()
		if lost {
			return true
		}
		if lead >= 0 {
			conf, n := w.history[w.nodes[lead].logLength], w.nodes[lead].logLength
			for i := range w.size {
				if x := &w.nodes[i]; x.running && conf[i][x.generation] > 0 {
					x.logLength = max(x.logLength, n)
				}
			}
		}
		for i := range w.size {
			for j := range w.size {
				if x, y := &w.nodes[i], w.nodes[j]; i != j && x.up && y.up {
					if m := (diskMark{y.generation, y.starts, y.logLength}); x.observed[j].generation != m.generation || x.observed[j].starts <= m.starts && x.observed[j].logLength <= m.logLength {
						x.observed[j] = m
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
func (w *lostDisksModel) commit(change func(*config)) bool {
	lead, _ := w.leader()
	if lead < 0 || w.last >= maxLogLength || w.nodes[lead].logLength != w.last {
		return false
	}
	w.last++
	w.history[w.last] = w.history[w.last-1]
	change(&w.history[w.last])
	conf := w.history[w.last]
	for i := range w.size {
		if x := &w.nodes[i]; x.running && (conf[i][x.generation] > 0 || i == lead) {
			x.logLength = w.last
		}
	}
	w.acked = w.last
	return true
}

func (w *lostDisksModel) view(lead int) View {
	v := View{Leader: diskID(lead, w.nodes[lead].generation), SinceChange: 1 << 40}
	conf := w.history[w.nodes[lead].logLength]
	for i := range w.size {
		x := w.nodes[i]
		for g := range int8(maxGenerations) {
			if conf[i][g] == 0 {
				continue
			}
			m := Member{ID: diskID(i, g), Role: Role(conf[i][g] - 1), Up: x.running && x.generation == g, DiskLost: x.up && x.generation != g}
			if x.logLength < w.nodes[lead].logLength {
				m.EntriesBehind = 1
			}
			v.Members = append(v.Members, m)
		}
	}
	return v
}

func (w *lostDisksModel) step() bool {
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

func (w *lostDisksModel) join(i int) bool {
	lead, _ := w.leader()
	x := w.nodes[i]
	if lead < 0 || !x.running || w.history[w.last][i][x.generation] != 0 {
		return false
	}
	return w.commit(func(c *config) { c[i][x.generation] = 1 })
}

// events are all states that may be next; nil is one in which an acknowledged entry is lost.
func (w lostDisksModel) events(r diskRules) (next []*lostDisksModel) {
	add := func(change func(*lostDisksModel) bool) {
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
	add(func(x *lostDisksModel) bool { return x.commit(func(*config) {}) })
	add((*lostDisksModel).step)
	for i := range w.size {
		add(func(x *lostDisksModel) bool { return x.join(i) })
		add(func(x *lostDisksModel) bool {
			n := &x.nodes[i]
			if n.up {
				n.up, n.running = false, false
				return true
			}
			n.up = true
			n.starts++
			return true
		})
		if w.nodes[i].up {
			add(func(x *lostDisksModel) bool { x.backups[i] = x.nodes[i].diskState; return r.rollbacks })
			continue
		}
		add(func(x *lostDisksModel) bool {
			n := &x.nodes[i]
			if !r.diskIDs {
				n.diskState = diskState{}
				return true
			}
			if n.nextGeneration >= maxGenerations {
				return false
			}
			n.diskState = diskState{generation: n.nextGeneration}
			n.nextGeneration++
			return true
		})
		add(func(x *lostDisksModel) bool {
			if x.rolledBack || x.backups[i].logLength == 0 {
				return false
			}
			x.rolledBack, x.nodes[i].diskState = true, x.backups[i]
			return true
		})
	}
	return next
}

// explore looks for a lost acknowledged entry up to a depth of events.
func explore(n int, r diskRules, depth int) (states int, found int) {
	start := lostDisksModel{size: n, last: 1}
	for i := range n {
		start.nodes[i] = diskNode{diskState: diskState{starts: 1}, up: true, nextGeneration: 1}
		if i < 3 {
			start.nodes[i].logLength, start.nodes[i].running = 1, true
			start.history[1][i][0] = 2
		}
	}
	start.settle(r)
	seen, layer := map[lostDisksModel]bool{start: true}, []lostDisksModel{start}
	for d := range depth {
		var next []lostDisksModel
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

// TestLostDisks: if members are names alone, acknowledged entries are lost when a node loses its disk;
// if they are names and disks, none is, up to the depth. One folder that is replaced by an older copy
// loses none if all other voters must attest when a node starts. If a majority is enough, the case
// that can't be told from a loss of power to all nodes is found, and no other is shorter.
func TestLostDisks(t *testing.T) {
	for n := 3; n <= maxNodes; n++ {
		depth := *diskDepth
		if n == 3 {
			depth++
		}
		_, found := explore(n, diskRules{}, 7)
		assert.NotZero(t, found, "%d nodes without identity", n)
		t.Logf("%d nodes, names alone: an acknowledged entry is lost after %d events", n, found)
		for _, r := range []diskRules{{diskIDs: true}, {diskIDs: true, attesters: -1, rollbacks: true}} {
			if r.rollbacks && n == maxNodes {
				depth-- // it has the most states by far
			}
			states, found := explore(n, r, depth)
			assert.Zero(t, found, "%d nodes, %+v", n, r)
			t.Logf("%d nodes, %+v: %d states to depth %d", n, r, states, depth)
		}
	}
	_, found := explore(3, diskRules{diskIDs: true, rollbacks: true}, 8)
	t.Logf("3 nodes, a majority attests, older copies come back: after %d events", found)
	assert.NotZero(t, found)
	assert.True(t, slices.Contains([]int{6, 7, 8}, found))
}
