package tests

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// folderFault is what happens to a node's folder while the node is stopped.
type folderFault int

const (
	folderIntact folderFault = iota
	folderWiped
	folderFromOlderCopy // replaced by a copy from the start of the incident
)

func (f folderFault) String() string { return [...]string{"intact", "wiped", "older"}[f] }

const (
	// incidentsPerScenario is the number of incidents of a scenario, which run one after the other.
	incidentsPerScenario = 3
	// noNodeStoppedBefore is the value of incident.stoppedBefore if no node is stopped before the incident.
	noNodeStoppedBefore = -1
	// maxKillDelay bounds the time of a kill within an incident. Up to all nodes are stopped at once after it.
	maxKillDelay = 400 * time.Millisecond
	// minDowntime and maxDowntime bound the downtime of a node that does not restart at once.
	minDowntime = 100 * time.Millisecond
	maxDowntime = 1200 * time.Millisecond
	// immediateRestartOdds is n where one in n killed nodes restarts at once.
	immediateRestartOdds = 3
)

// scenarioStep kills or starts a node. at is measured from the start of the incident's steps.
type scenarioStep struct {
	at      time.Duration
	node    int
	isStart bool
}

// incident damages the folders of a minority of the nodes and restarts other nodes at the same time.
type incident struct {
	faults        []folderFault  // by node
	stoppedBefore int            // an intact node that is stopped before the incident, while writes continue
	steps         []scenarioStep // by time; after the last one all nodes have been started
}

func (i incident) String() string {
	var words []string
	for node, fault := range i.faults {
		if fault != folderIntact {
			words = append(words, fmt.Sprintf("folder of s%d %s", node, fault))
		}
	}
	if i.stoppedBefore != noNodeStoppedBefore {
		words = append(words, fmt.Sprintf("s%d down before", i.stoppedBefore))
	}
	for _, step := range i.steps {
		verb := "kill"
		if step.isStart {
			verb = "start"
		}
		words = append(words, fmt.Sprintf("%dms %s s%d", step.at.Milliseconds(), verb, step.node))
	}
	return strings.Join(words, ", ")
}

// drawIncidents draws the incidents of a scenario. They depend only on the seed and the number of nodes.
func drawIncidents(seed uint64, nodes int) []incident {
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)))
	var list []incident
	for range incidentsPerScenario {
		list = append(list, drawIncident(rng, nodes))
	}
	return list
}

func drawIncident(rng *rand.Rand, nodes int) incident {
	drawn := incident{faults: make([]folderFault, nodes), stoppedBefore: noNodeStoppedBefore}
	order := rng.Perm(nodes)
	minority := (nodes - 1) / 2
	faulty := 1 + rng.IntN(minority)
	for _, node := range order[:faulty] {
		drawn.faults[node] = folderWiped + folderFault(rng.IntN(2))
		drawn.addRestart(rng, node)
	}
	intact := order[faulty:]
	if rng.IntN(2) == 0 {
		drawn.stoppedBefore, intact = intact[0], intact[1:]
		drawn.steps = append(drawn.steps, scenarioStep{at: drawDowntime(rng), node: drawn.stoppedBefore, isStart: true})
	}
	for _, node := range drawKilled(rng, intact) {
		drawn.addRestart(rng, node)
	}
	slices.SortStableFunc(drawn.steps, func(a, b scenarioStep) int { return int(a.at - b.at) })
	return drawn
}

// drawKilled selects the intact nodes that are killed too: none, some or all.
func drawKilled(rng *rand.Rand, intact []int) []int {
	switch rng.IntN(3) {
	case 0:
		return nil
	case 1:
		return intact[:rng.IntN(len(intact)+1)]
	}
	return intact
}

// addRestart adds the kill and the restart of a node.
func (i *incident) addRestart(rng *rand.Rand, node int) {
	kill := time.Duration(rng.Int64N(int64(maxKillDelay)))
	i.steps = append(i.steps,
		scenarioStep{at: kill, node: node},
		scenarioStep{at: kill + drawDowntime(rng), node: node, isStart: true})
}

func drawDowntime(rng *rand.Rand) time.Duration {
	if rng.IntN(immediateRestartOdds) == 0 {
		return 0
	}
	return minDowntime + time.Duration(rng.Int64N(int64(maxDowntime-minDowntime)))
}
