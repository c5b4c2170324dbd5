package membership

import "oxbowbridge/internal/cluster/diskidentity"

// The model of lost disks: what nodes hold on their disks, and what was acknowledged. Its nodes decide
// by diskidentity.Decide and Policy.NextStep, as the real ones do. A log is a length, as all logs are
// prefixes of one history until an acknowledged entry is lost, which is what the model looks for.
const (
	maxNodes       = 5
	maxGenerations = 3 // disks that a node has one after the other
	maxLogLength   = 6
)

// modelCluster is the ID of the cluster whose log the nodes hold.
const modelCluster = "c"

// diskWatermark is how far a disk has come.
type diskWatermark struct{ starts, logLength int8 }

// diskState is what a folder holds.
type diskState struct {
	generation, starts, logLength int8
	reidentified                  bool
	observed                      [maxNodes][maxGenerations]diskWatermark // of the others' disks
}

type diskNode struct {
	diskState
	up, running    bool // running: Raft runs
	nextGeneration int8 // generation of its next disk
}

// cluster is the ID of the cluster in the folder's log, or "".
func (d *diskState) cluster() string {
	if d.logLength == 0 {
		return ""
	}
	return modelCluster
}

// config is the role of each disk of each node: 0 none, 1 learner, 2 voter.
type config [maxNodes][maxGenerations]int8

type diskModel struct {
	size        int
	nodes       [maxNodes]diskNode
	backups     [maxNodes]diskState // of which logLength 0 is none
	unmounted   [maxNodes]diskState // the true folder while an empty one is in its place; logLength 0 is none
	faults      diskFaults          // that have happened, as far as they are limited
	ackedLength int8
	lastLength  int8
	history     [maxLogLength + 1]config // the configuration as of each length
}

// diskFaults are numbers of faults.
type diskFaults struct {
	wiped      int8 // folders that were wiped
	rolledBack int8 // folders that were replaced by an older copy
	unmounted  int8 // nodes that were started with an empty folder while their true one is elsewhere
}

// outcome is that of an event.
type outcome int

const (
	converged      outcome = iota
	lostButStored          // a node without an acknowledged entry can lead, although some folder has the entry
	lostEverywhere         // the same, and no folder has the entry any more
)

// unlimited is as many faults as there are events.
const unlimited = -1

// diskRules are what the checked nodes decide by, and the faults that they have to survive.
type diskRules struct {
	diskIDs   bool // a member is a name and a disk, and asks others when it starts
	attesters int
	limits    diskFaults
}

func diskID(i int, gen int8) string {
	return diskidentity.MemberID(string(rune('a'+i)), string(rune('0'+gen)))
}

func (w *diskModel) memberIDs(c config, minRole int8) (list []string) {
	for i := range w.size {
		for g := range int8(maxGenerations) {
			if c[i][g] >= minRole {
				list = append(list, diskID(i, g))
			}
		}
	}
	return list
}

// leader is a node that can win an election with those that run, or -1, and whether one
// can that has not all that was acknowledged.
func (w *diskModel) leader() (lead int, entryLost bool) {
	lead = -1
	for i := range w.size {
		x := w.nodes[i]
		conf := w.history[x.logLength]
		if !x.running || conf[i][x.generation] != 2 {
			continue
		}
		voters, votes := len(w.memberIDs(conf, 2)), 0
		for j := range w.size {
			if y := w.nodes[j]; y.running && conf[j][y.generation] == 2 && y.logLength <= x.logLength {
				votes++
			}
		}
		if votes >= Quorum(voters) {
			if x.logLength < w.ackedLength {
				entryLost = true
			}
			if lead < 0 || x.logLength > w.nodes[lead].logLength {
				lead = i
			}
		}
	}
	return lead, entryLost
}

// decide has a node decide on its disk.
func (w *diskModel) decide(i int, r diskRules) {
	x := &w.nodes[i]
	if !r.diskIDs {
		x.running = true
		return
	}
	conf := w.history[x.logLength]
	own := diskidentity.LocalDisk{ID: diskID(i, x.generation), Cluster: x.cluster(), Fresh: x.logLength == 0 && !x.reidentified, Empty: x.logLength == 0, ConfigIndex: uint64(x.logLength), RequiredAttesters: r.attesters,
		Watermark: diskidentity.Watermark{Starts: uint64(x.starts), Term: 1, LastTerm: 1, LastIndex: uint64(x.logLength)}, InitialMembers: []string{"a", "b", "c"},
		Members: w.memberIDs(conf, 1), Voters: w.memberIDs(conf, 2)}
	attestations := map[string]diskidentity.Attestation{}
	for j := range w.size {
		y := w.nodes[j]
		if j == i || !y.up {
			continue
		}
		c := w.history[y.logLength]
		attestation := diskidentity.Attestation{ID: diskID(j, y.generation), Cluster: y.cluster(), Fresh: y.logLength == 0 && !y.reidentified, ConfigIndex: uint64(y.logLength), Members: w.memberIDs(c, 1), Voters: w.memberIDs(c, 2)}
		if m := y.observed[i][x.generation]; m.starts > 0 {
			attestation.LastObserved = &diskidentity.Watermark{Starts: uint64(m.starts), Term: 1, LastTerm: 1, LastIndex: uint64(m.logLength)}
		}
		attestations[diskidentity.MemberName(attestation.ID)] = attestation
	}
	switch v, _ := diskidentity.Decide(own, attestations); v {
	case diskidentity.VerdictResume, diskidentity.VerdictJoin:
		x.running = true
	case diskidentity.VerdictNewIdentity:
		if x.nextGeneration < maxGenerations {
			x.generation, x.reidentified, x.running = x.nextGeneration, true, true
			x.nextGeneration++
		}
	}
}

// converge has nodes that wait look again, the leader bring all members up to date, and
// all that are up see each other, until nothing changes or an acknowledged entry is lost.
func (w *diskModel) converge(r diskRules) outcome {
	for {
		before := *w
		for i := range w.size {
			if w.nodes[i].up && !w.nodes[i].running {
				w.decide(i, r)
			}
		}
		lead, entryLost := w.leader()
		switch {
		case entryLost && w.anyDiskStores(w.ackedLength):
			return lostButStored
		case entryLost:
			return lostEverywhere
		}
		if lead >= 0 {
			conf, n := w.history[w.nodes[lead].logLength], w.nodes[lead].logLength
			for i := range w.size {
				if x := &w.nodes[i]; x.running && conf[i][x.generation] > 0 {
					x.logLength = max(x.logLength, n)
				}
			}
		}
		w.observePeers()
		if *w == before {
			return converged
		}
	}
}

// anyDiskStores reports whether some folder still has a log of this length.
func (w *diskModel) anyDiskStores(logLength int8) bool {
	for i := range w.size {
		if max(w.nodes[i].logLength, w.unmounted[i].logLength) >= logLength {
			return true
		}
	}
	return false
}

// isStalled reports whether nobody leads although all nodes are up, and enough voters to elect a leader have
// the disks with which they are voters. No event but another fault or start changes that. A node that waits after
// it has used the model's identities up may have to renew its disk, which the model can't: that does not count.
func (w *diskModel) isStalled() bool {
	voters, present := 0, 0
	for i := range w.size {
		node := w.nodes[i]
		if !node.up || !node.running && node.nextGeneration >= maxGenerations {
			return false
		}
		for generation, role := range w.history[w.lastLength][i] {
			if role != 2 {
				continue
			}
			voters++
			if w.nodes[i].generation == int8(generation) {
				present++
			}
		}
	}
	lead, _ := w.leader()
	return lead < 0 && present >= Quorum(voters)
}

// observePeers has all nodes that are up observe each other. Like the real ones they remember each disk that they
// have observed, also after its node has another one.
func (w *diskModel) observePeers() {
	for i := range w.size {
		for j := range w.size {
			x, y := &w.nodes[i], &w.nodes[j]
			if i == j || !x.up || !y.up {
				continue
			}
			mark := &x.observed[j][y.generation]
			mark.starts = max(mark.starts, y.starts)
			mark.logLength = max(mark.logLength, y.logLength)
		}
	}
}

// commit adds an entry, if one can be.
func (w *diskModel) commit(change func(*config)) bool {
	lead, _ := w.leader()
	if lead < 0 || w.lastLength >= maxLogLength || w.nodes[lead].logLength != w.lastLength {
		return false
	}
	w.lastLength++
	w.history[w.lastLength] = w.history[w.lastLength-1]
	change(&w.history[w.lastLength])
	conf := w.history[w.lastLength]
	for i := range w.size {
		if x := &w.nodes[i]; x.running && (conf[i][x.generation] > 0 || i == lead) {
			x.logLength = w.lastLength
		}
	}
	w.ackedLength = w.lastLength
	return true
}

func (w *diskModel) view(lead int) View {
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

func (w *diskModel) changeMembership() bool {
	lead, _ := w.leader()
	if lead < 0 {
		return false
	}
	s := modelPolicy().NextStep(w.view(lead))
	if s.Kind == StepNone || s.Kind == StepTransferLeadership {
		return false
	}
	return w.commit(func(c *config) {
		i, g := s.ID[0]-'a', s.ID[2]-'0'
		c[i][g] = map[StepKind]int8{StepPromote: 2, StepDemote: 1, StepRemove: 0}[s.Kind]
	})
}

func (w *diskModel) join(i int) bool {
	lead, _ := w.leader()
	x := w.nodes[i]
	if lead < 0 || !x.running || w.history[w.lastLength][i][x.generation] != 0 {
		return false
	}
	return w.commit(func(c *config) { c[i][x.generation] = 1 })
}
