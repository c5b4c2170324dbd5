package tests

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/testrig"
)

var diskScenarios = flag.Int("disk-plays", 1, "number of seeds, starting at -seed, that TestDiskPlays runs with three and with five nodes")

const (
	// historyClients is the number of clients that record the history.
	historyClients = 4
	// writesBeforeIncident is the number of writes acknowledged between copying the folders and the first
	// damage.
	writesBeforeIncident = 20
	// watermarkSaveTime is the time within which a node saves the watermarks that it observed of other disks:
	// it saves them once a second, on a tick of 200 ms.
	watermarkSaveTime = 1500 * time.Millisecond
)

// TestDiskPlays wipes the folders of a minority of the nodes or replaces them by older copies, and restarts
// other nodes in a seeded order, while clients continue. vouchers is -1: each node waits for all other voters.
// The test guards against nodes that wait forever for an attestation by a removed disk, and against lost
// acknowledged writes.
func TestDiskPlays(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{3, 5} {
		for n := range *diskScenarios {
			scenarioSeed := *seed + uint64(n)
			t.Run(fmt.Sprintf("%d-nodes-seed-%d", nodes, scenarioSeed), func(t *testing.T) {
				t.Parallel()
				runDiskScenario(t, scenarioSeed, nodes)
			})
		}
	}
}

// diskScenario is a cluster whose folders are damaged while clients continue.
type diskScenario struct {
	*cluster
	t           *testing.T
	seed        uint64
	nodeIndexes []int // indexes of all nodes
	incidents   []incident
	next        int // index of the current incident; the number of incidents after the last
	history     *testrig.History
	keys        keyWriter
	stop        chan struct{}
	clients     sync.WaitGroup
}

func runDiskScenario(t *testing.T, scenarioSeed uint64, nodes int) {
	p := &diskScenario{cluster: newStoppedCluster(t, nodes, nodes), t: t, seed: scenarioSeed, incidents: drawIncidents(scenarioSeed, nodes),
		history: testrig.NewHistory(), stop: make(chan struct{})}
	for node := range nodes {
		p.nodeIndexes = append(p.nodeIndexes, node)
	}
	p.StoreFields["vouchers"] = -1
	p.Bootstrap()
	p.awaitRecovered()
	p.startClients()
	defer p.stopAndCheck() // also runs if a check ends the test
	for ; p.next < len(p.incidents); p.next++ {
		p.runIncident(p.incidents[p.next])
	}
}

func (p *diskScenario) startClients() {
	for id := range historyClients {
		p.clients.Go(func() { p.history.RunClient(p.Cluster, id, p.stop) })
	}
	p.clients.Go(func() { p.keys.run(p.cluster, p.seed, p.stop) })
}

// stopAndCheck stops the clients and checks their history, also if the scenario failed.
func (p *diskScenario) stopAndCheck() {
	if p.t.Failed() {
		p.reportFailure()
	}
	close(p.stop)
	p.clients.Wait()
	p.t.Logf("%d incidents over, %d keys acknowledged, %d writes and %d reads in the history, %d of unknown outcome, %d rejected",
		p.next, p.keys.count(), p.history.Writes, p.history.Reads, p.history.UnknownWrites, p.history.FailedReads)
	assert.True(p.t, p.history.Linearizable(), "the history is linearizable")
	if p.t.Failed() {
		return // some nodes may not answer
	}
	p.WaitForEqualData(p.nodeIndexes...)
	p.awaitRecovered()
}

// runIncident runs one incident and waits until the cluster has recovered.
func (p *diskScenario) runIncident(current incident) {
	copies, marks := p.copyFolders(current)
	if current.stoppedBefore != noNodeStoppedBefore {
		p.logStep("kill", current.stoppedBefore)
		p.Kill(current.stoppedBefore)
	}
	before := p.keys.count()
	await(p.t, "writes before the incident", func() bool { return p.keys.count() >= before+writesBeforeIncident })
	for node, mark := range marks {
		p.awaitLaterWatermark(node, mark, current.stoppedBefore)
	}
	time.Sleep(watermarkSaveTime)
	startedAt := time.Now()
	for _, step := range current.steps {
		time.Sleep(time.Until(startedAt.Add(step.at)))
		p.runStep(step, current, copies)
	}
	started := time.Now()
	p.awaitRecovered()
	p.t.Logf("incident %d: recovered after %v: %s", p.next+1, time.Since(started).Round(time.Millisecond), current)
}

// copyFolders copies the folders that will be replaced by older copies. It returns the copies, and for each a
// watermark of the disk that is not before the copy.
func (p *diskScenario) copyFolders(current incident) (copies map[int]string, marks map[int]diskidentity.Watermark) {
	copies, marks = map[int]string{}, map[int]diskidentity.Watermark{}
	for node, fault := range current.faults {
		if fault == folderFromOlderCopy {
			copies[node] = p.CopyDir(node)
			marks[node] = p.diskReport(node, "").Watermark
		}
	}
	return copies, marks
}

// diskReport returns a node's report of its own disk and of what it has observed of the asker's disk.
func (p *diskScenario) diskReport(node int, askerID string) (report storeapi.PeerStatus) {
	await(p.t, "a report of a disk", func() bool {
		report = storeapi.PeerStatus{}
		return p.GetJSON(node, "/self?from="+askerID, &report)
	})
	return report
}

// awaitLaterWatermark waits until each other running node has observed a watermark of the node's disk after
// mark.
func (p *diskScenario) awaitLaterWatermark(node int, mark diskidentity.Watermark, stoppedBefore int) {
	id := p.memberID(node)
	for _, other := range p.nodeIndexes {
		if other == node || other == stoppedBefore {
			continue
		}
		await(p.t, "a later watermark", func() bool {
			seen := p.diskReport(other, id).LastObserved
			return seen != nil && seen.CompareLog(mark) > 0
		})
	}
}

// runStep starts a node, or kills it and damages its folder if the incident says so.
func (p *diskScenario) runStep(step scenarioStep, current incident, copies map[int]string) {
	if step.isStart {
		p.logStep("start", step.node)
		p.Start(step.node)
		return
	}
	p.logStep("kill", step.node)
	p.Kill(step.node)
	switch current.faults[step.node] {
	case folderWiped:
		p.WipeDir(step.node)
	case folderFromOlderCopy:
		p.RestoreDir(step.node, copies[step.node])
	}
}

// awaitRecovered waits, for at most awaitTimeout, until all nodes are voters with their current disks, a write
// succeeds, and each node has all acknowledged keys.
func (p *diskScenario) awaitRecovered() {
	p.t.Helper()
	key, value := fmt.Sprint("whole/", p.next), fmt.Sprint(p.next)
	await(p.t, "a recovered cluster", func() bool {
		if !p.HasVoters(p.nodeIndexes...) {
			return false
		}
		if code, _ := p.Request(0, "PUT", "/store/"+key, value); code != 204 {
			return false
		}
		for _, node := range p.nodeIndexes {
			code, text := p.Request(node, "GET", "/store/"+key, "")
			if code != 200 {
				require.NotEqual(p.t, 404, code, "the write is missing at s%d", node)
				return false
			}
			require.Equal(p.t, value, text)
			if !p.keys.checkAllAt(p.t, p.cluster, node) {
				return false
			}
		}
		return true
	})
}
