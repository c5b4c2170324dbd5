package tests

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/testrig"
)

var storeSoakSeeds = flag.Int("store-soak-seeds", 1, "number of seeds, starting at -seed, that TestStoreSoak runs one after the other")

const (
	storeSoakNodes                = 3
	storeSoakServicesWithoutStore = 2 // services in maintenance that are not members of the store
	storeSoakContenders           = 3
	storeSoakClients              = 4
	storeSoakRounds               = 6 // rounds of one or two concurrent faults
	storeSoakLeaseTTL             = time.Second
	// maintenanceCommand appends a line to a file when a machine's maintenance starts and when it ends.
	maintenanceCommand = "echo out $OXBOWBRIDGE_WORK_NODE >> %[1]s; sleep 0.3; echo back $OXBOWBRIDGE_WORK_NODE >> %[1]s"
)

// TestStoreSoak runs three store nodes, a contended lease and maintenance orders while nodes are killed,
// paused, cut off or have failing disks, one or two faults at a time. It guards against lost acknowledged
// writes, stale reads, two concurrent lease holders, two machines in maintenance at once, and anything that
// does not recover.
func TestStoreSoak(t *testing.T) {
	t.Parallel()
	for n := range *storeSoakSeeds {
		scenarioSeed := *seed + uint64(n)
		t.Run(fmt.Sprint("seed-", scenarioSeed), func(t *testing.T) { newStoreSoak(t, scenarioSeed).run() })
	}
}

// storeSoak is a cluster with clients, contenders for a lease, and repeated maintenance orders.
type storeSoak struct {
	*maintenanceCluster
	t                  *testing.T
	seed               uint64
	rng                *rand.Rand
	contest            *leaseContest
	history            *testrig.History
	maintenanceLogPath string // file written by maintenanceCommand
	stop               chan struct{}
	background         sync.WaitGroup
	submittedOrders    int // accepted maintenance orders
}

func newStoreSoak(t *testing.T, seed uint64) *storeSoak {
	build, err := faultInjectionBuild()
	require.NoError(t, err)
	outFile := filepath.Join(t.TempDir(), "out")
	s := &storeSoak{
		t:                  t,
		seed:               seed,
		rng:                rand.New(rand.NewPCG(seed, storeSoakNodes)),
		history:            testrig.NewHistory(),
		maintenanceLogPath: outFile,
		stop:               make(chan struct{}),
		maintenanceCluster: newMaintenanceClusterOfBuild(t, build, storeSoakNodes, storeSoakServicesWithoutStore, "sh", "-c", fmt.Sprintf(maintenanceCommand, outFile)),
	}
	s.setDisruptionBudget(t, func(budget *maintenance.DisruptionBudget) { budget.MaxOut = 1 })
	s.contest = &leaseContest{cluster: s.cluster, resource: testrig.NewResource(t, true), ttl: storeSoakLeaseTTL}
	for i := range storeSoakContenders {
		s.contest.contenders = append(s.contest.contenders, newContender(t, s.cluster, i, s.contest.resource, storeSoakLeaseTTL))
	}
	return s
}

// run runs the rounds and checks the outcome.
func (s *storeSoak) run() {
	for id := range storeSoakClients {
		s.background.Go(func() { s.history.RunClient(s.Cluster, id, s.stop) })
	}
	s.background.Go(s.submitOrders)
	for round := range storeSoakRounds {
		s.runRound(round)
	}
	await(s.t, "a long enough history", func() bool { return s.history.HasEnoughOperations(0) })
	close(s.stop)
	s.background.Wait()
	s.check()
}

// runRound injects one or two faults and removes them. Processes that exited are restarted, as a supervisor
// does.
func (s *storeSoak) runRound(round int) {
	faults := s.drawFaults()
	for _, fault := range faults {
		s.t.Logf("seed %d, round %d: %s", s.seed, round, fault.name)
		fault.begin()
		time.Sleep(time.Duration(s.rng.IntN(300)) * time.Millisecond)
	}
	time.Sleep(500*time.Millisecond + time.Duration(s.rng.IntN(1500))*time.Millisecond)
	for _, fault := range slices.Backward(faults) {
		fault.end()
	}
	s.restartExited()
}

// restartExited restarts the nodes whose process has exited. A node that starts while its disk fails exits with
// an error.
func (s *storeSoak) restartExited() {
	for node := range storeSoakNodes {
		select {
		case <-s.nodes[node].exited:
			s.t.Logf("seed %d: node %d has exited: %s", s.seed, node, lastLine(s.nodes[node].log()))
			s.Start(node)
		default:
		}
	}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// submitOrders submits maintenance orders for the machines in turn. An order is accepted once the machine has
// none.
func (s *storeSoak) submitOrders() {
	for n := 0; ; n++ {
		machine := s.machineNames[storeSoakNodes+n%storeSoakServicesWithoutStore]
		select {
		case <-s.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		body := fmt.Sprintf(`{"node":%q,"reason":"kernel","for_ms":30000,"priority":0}`, machine)
		if code, _ := s.Request(n%storeSoakNodes, "POST", "/work", body); code == 200 || code == 204 {
			s.submittedOrders++
		}
	}
}

// check checks the outcome after all faults have ended.
func (s *storeSoak) check() {
	s.HealLinks()
	s.WaitForVoters(0, 1, 2)
	assert.True(s.t, s.history.Linearizable(), "the history is linearizable")
	s.WaitForEqualData(0, 1, 2)
	healed := time.Now()
	await(s.t, "an action under the lease", func() bool { return s.contest.resource.ActedAfter(healed) })
	assert.Empty(s.t, s.contest.resource.Violations(), "two holders at once")
	for _, machine := range s.machineNames[storeSoakNodes:] {
		s.awaitPhases(s.t, []string{machine}, maintenance.PhaseCompleted, maintenance.PhaseFailed)
	}
	maintenanceRuns := s.checkMaintenanceOverlap()
	tokens, acts, rejected := s.contest.resource.Counts()
	s.t.Logf("seed %d: %d writes, %d reads, %d of unknown outcome; %d tokens, %d acts, %d rejected by the fence; %d orders, %d machines out and back",
		s.seed, s.history.Writes, s.history.Reads, s.history.UnknownWrites, tokens, acts, rejected, s.submittedOrders, maintenanceRuns)
}

// checkMaintenanceOverlap checks that no two machines were in maintenance at once, and returns the number of
// maintenance runs.
func (s *storeSoak) checkMaintenanceOverlap() (roundTrips int) {
	text, err := os.ReadFile(s.maintenanceLogPath)
	require.NoError(s.t, err, "no maintenance command ran")
	out := ""
	for line := range strings.Lines(string(text)) {
		what, machine, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch what {
		case "out":
			assert.Empty(s.t, out, "maintenance of %s starts during another one", machine)
			out = machine
			roundTrips++
		case "back":
			out = ""
		}
	}
	return roundTrips
}
