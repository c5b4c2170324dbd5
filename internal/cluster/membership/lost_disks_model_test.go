package membership

import "oxbowbridge/internal/cluster/diskidentity"

// diskModel models the contents of the nodes' disks and the acknowledged log entries. Its nodes decide with
// diskidentity.Decide and Policy.NextStep, as real nodes do. A log is represented by its length: all logs are
// prefixes of one history until an acknowledged entry is lost, which is the failure that the model searches for.
const (
	maxNodes       = 5
	maxGenerations = 3 // maximum number of successive disks of a node
	maxLogLength   = 6
)

// modelCluster is the cluster ID in the nodes' logs.
const modelCluster = "c"

// diskWatermark corresponds to diskidentity.Watermark, with a constant term.
type diskWatermark struct{ starts, logLength int8 }

// diskState is the content of a node's storage folder.
type diskState struct {
	generation, starts, logLength int8
	reidentified                  bool
	observed                      [maxNodes][maxGenerations]diskWatermark // last observed watermarks of the peers' disks
}

type diskNode struct {
	diskState
	up, running    bool // running: the node runs Raft
	nextGeneration int8 // generation of its next disk
}

// cluster returns the cluster ID in the folder's log, or "" for an empty log.
func (d *diskState) cluster() string {
	if d.logLength == 0 {
		return ""
	}
	return modelCluster
}

// config is a Raft configuration: the role of each disk (generation) of each node. 0 is no member, 1 is a learner,
// 2 is a voter.
type config [maxNodes][maxGenerations]int8

type diskModel struct {
	size        int
	nodes       [maxNodes]diskNode
	backups     [maxNodes]diskState      // logLength 0: no backup
	unmounted   [maxNodes]diskState      // folders set aside by unmountFolder; logLength 0: none
	faults      diskFaults               // faults injected so far, without those of an unlimited kind
	ackedLength int8                     // length of the log up to the last acknowledged entry
	lastLength  int8                     // length of the longest log
	history     [maxLogLength + 1]config // configuration after each log length
}

// diskFaults counts faults, or limits them.
type diskFaults struct {
	wiped      int8 // wiped folders
	rolledBack int8 // folders replaced by an older backup
	unmounted  int8 // folders that are not mounted, so that the node starts with an empty one
}

// outcome is the result of an event.
type outcome int

const (
	converged      outcome = iota
	lostButStored          // a node without an acknowledged entry can become leader; some folder still has the entry
	lostEverywhere         // a node without an acknowledged entry can become leader; no folder has the entry
)

// unlimited, as a limit of diskFaults, allows any number of faults.
const unlimited = -1

// diskRules holds the rules by which the model's nodes decide, and the limits of the injected faults.
type diskRules struct {
	diskIDs   bool // member IDs contain the disk identity, and nodes call diskidentity.Decide when they start
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

// leader returns a running node that can win an election, or -1. entryLost reports whether a node that misses
// an acknowledged entry can win one.
func (w *diskModel) leader() (leaderIndex int, entryLost bool) {
	leaderIndex = -1
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
			if leaderIndex < 0 || x.logLength > w.nodes[leaderIndex].logLength {
				leaderIndex = i
			}
		}
	}
	return leaderIndex, entryLost
}

// decide applies node i's verdict on its disk.
func (w *diskModel) decide(i int, r diskRules) {
	x := &w.nodes[i]
	if !r.diskIDs {
		x.running = true
		return
	}
	conf := w.history[x.logLength]
	localDisk := diskidentity.LocalDisk{ID: diskID(i, x.generation), Cluster: x.cluster(), Fresh: x.logLength == 0 && !x.reidentified, Empty: x.logLength == 0, ConfigIndex: uint64(x.logLength), RequiredAttesters: r.attesters,
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
	switch v, _ := diskidentity.Decide(localDisk, attestations); v {
	case diskidentity.VerdictResume, diskidentity.VerdictJoin:
		x.running = true
	case diskidentity.VerdictNewIdentity:
		if x.nextGeneration < maxGenerations {
			x.generation, x.reidentified, x.running = x.nextGeneration, true, true
			x.nextGeneration++
		}
	}
}

// converge repeats the following until nothing changes or an acknowledged entry is lost: waiting nodes decide again,
// the leader replicates its log to all running members, and the nodes that are up observe each other.
func (w *diskModel) converge(r diskRules) outcome {
	for {
		before := *w
		for i := range w.size {
			if w.nodes[i].up && !w.nodes[i].running {
				w.decide(i, r)
			}
		}
		leaderIndex, entryLost := w.leader()
		switch {
		case entryLost && w.anyDiskStores(w.ackedLength):
			return lostButStored
		case entryLost:
			return lostEverywhere
		}
		if leaderIndex >= 0 {
			conf, n := w.history[w.nodes[leaderIndex].logLength], w.nodes[leaderIndex].logLength
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

// anyDiskStores reports whether any folder, mounted or not, has a log of at least this length.
func (w *diskModel) anyDiskStores(logLength int8) bool {
	for i := range w.size {
		if max(w.nodes[i].logLength, w.unmounted[i].logLength) >= logLength {
			return true
		}
	}
	return false
}

// isStalled reports whether no node leads although all nodes are up and a majority of the voters still has the disks
// named in the configuration. Only another fault or a restart can end that state. A waiting node that has used all
// of its maxGenerations identities is excluded: it may need a new identity, which the model can't give it.
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
	leaderIndex, _ := w.leader()
	return leaderIndex < 0 && present >= Quorum(voters)
}

// observePeers records the watermarks that the nodes that are up observe of each other. As in the real store, a
// node keeps the watermark of each disk that it has observed, also after the disk was replaced.
func (w *diskModel) observePeers() {
	for i := range w.size {
		for j := range w.size {
			x, y := &w.nodes[i], &w.nodes[j]
			if i == j || !x.up || !y.up {
				continue
			}
			watermark := &x.observed[j][y.generation]
			watermark.starts = max(watermark.starts, y.starts)
			watermark.logLength = max(watermark.logLength, y.logLength)
		}
	}
}

// commit appends an entry with a configuration change and commits it. It returns false if no leader can do so.
func (w *diskModel) commit(change func(*config)) bool {
	leaderIndex, _ := w.leader()
	if leaderIndex < 0 || w.lastLength >= maxLogLength || w.nodes[leaderIndex].logLength != w.lastLength {
		return false
	}
	w.lastLength++
	w.history[w.lastLength] = w.history[w.lastLength-1]
	change(&w.history[w.lastLength])
	conf := w.history[w.lastLength]
	for i := range w.size {
		if x := &w.nodes[i]; x.running && (conf[i][x.generation] > 0 || i == leaderIndex) {
			x.logLength = w.lastLength
		}
	}
	w.ackedLength = w.lastLength
	return true
}

func (w *diskModel) view(leaderIndex int) View {
	v := View{Leader: diskID(leaderIndex, w.nodes[leaderIndex].generation), SinceChange: 1 << 40}
	conf := w.history[w.nodes[leaderIndex].logLength]
	for i := range w.size {
		x := w.nodes[i]
		for g := range int8(maxGenerations) {
			if conf[i][g] == 0 {
				continue
			}
			m := Member{ID: diskID(i, g), Role: Role(conf[i][g] - 1), Up: x.running && x.generation == g, DiskLost: x.up && x.generation != g}
			if x.logLength < w.nodes[leaderIndex].logLength {
				m.EntriesBehind = 1
			}
			v.Members = append(v.Members, m)
		}
	}
	return v
}

func (w *diskModel) changeMembership() bool {
	leaderIndex, _ := w.leader()
	if leaderIndex < 0 {
		return false
	}
	s := modelPolicy().NextStep(w.view(leaderIndex))
	if s.Kind == StepNone || s.Kind == StepTransferLeadership {
		return false
	}
	return w.commit(func(c *config) {
		i, g := s.ID[0]-'a', s.ID[2]-'0'
		c[i][g] = map[StepKind]int8{StepPromote: 2, StepDemote: 1, StepRemove: 0}[s.Kind]
	})
}

func (w *diskModel) join(i int) bool {
	leaderIndex, _ := w.leader()
	x := w.nodes[i]
	if leaderIndex < 0 || !x.running || w.history[w.lastLength][i][x.generation] != 0 {
		return false
	}
	return w.commit(func(c *config) { c[i][x.generation] = 1 })
}
