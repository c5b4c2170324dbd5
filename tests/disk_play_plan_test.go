package tests

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// folderFault is what happens to a node's folder while the node is down.
type folderFault int

const (
	folderIntact folderFault = iota
	folderWiped
	folderFromOlderCopy // brought back as it was when the incident began
)

func (f folderFault) String() string { return [...]string{"intact", "wiped", "older"}[f] }

const (
	// incidentsPerScenario is how many incidents a play has, one after the other.
	incidentsPerScenario = 3
	// noNodeStoppedBefore is in place of a node in an incident before which no node is down.
	noNodeStoppedBefore = -1
	// maxKillDelay bounds the moment of a kill; at most all nodes are down together after it.
	maxKillDelay = 400 * time.Millisecond
	// minDowntime and maxDowntime bound how long a node is down that doesn't restart at once.
	minDowntime = 100 * time.Millisecond
	maxDowntime = 1200 * time.Millisecond
	// immediateRestartOdds: one killed node in this many restarts at once.
	immediateRestartOdds = 3
)

// scenarioStep is the kill or the start of a node, at a time since the first step may come.
type scenarioStep struct {
	at      time.Duration
	node    int
	isStart bool
}

// incident is up to a minority of nodes whose folders fail, and the restarts of other nodes beside it.
type incident struct {
	faults        []folderFault  // by node
	stoppedBefore int            // an intact node that is down before, while writes go on
	steps         []scenarioStep // in order of time; at the end all nodes have been started
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

// drawIncidents draws the incidents of a play. They depend on the seed and the number of nodes alone.
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

// drawKilled draws which of the intact nodes are killed too: none, some or all.
func drawKilled(rng *rand.Rand, intact []int) []int {
	switch rng.IntN(3) {
	case 0:
		return nil
	case 1:
		return intact[:rng.IntN(len(intact)+1)]
	}
	return intact
}

// addRestart adds the kill and the start of a node.
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
