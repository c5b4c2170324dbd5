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

var storeSoakSeeds = flag.Int("store-soak-seeds", 1, "how many seeds, from -seed on, TestStoreSoak plays, one after the other")

const (
	storeSoakNodes      = 3
	storeSoakMachines   = 2 // without a node of the store
	storeSoakContenders = 3
	storeSoakClients    = 4
	storeSoakRounds     = 6 // of one or two faults at once
	storeSoakLeaseTTL   = time.Second
	// maintenanceCommand notes when a machine goes out and comes back.
	maintenanceCommand = "echo out $OXBOWBRIDGE_WORK_NODE >> %[1]s; sleep 0.3; echo back $OXBOWBRIDGE_WORK_NODE >> %[1]s"
)

// TestStoreSoak: three processes with the store, a lease and maintenance under kills, stops, cuts and full disks, one or
// two at once. An acknowledged write is lost or a read is stale, two holders act at once, two machines are out at once, or
// something does not come back.
func TestStoreSoak(t *testing.T) {
	t.Parallel()
	for n := range *storeSoakSeeds {
		playSeed := *seed + uint64(n)
		t.Run(fmt.Sprint("seed-", playSeed), func(t *testing.T) { newStoreSoak(t, playSeed).play() })
	}
}

// storeSoak is a cluster with clients, contenders for a lease, and machines that are asked out again and again.
type storeSoak struct {
	*yard
	t          *testing.T
	seed       uint64
	rng        *rand.Rand
	stage      *stage
	history    *testrig.History
	outFile    string // what maintenanceCommand notes
	stop       chan struct{}
	background sync.WaitGroup
	orders     int // that were asked for
}

func newStoreSoak(t *testing.T, seed uint64) *storeSoak {
	build, err := withFaults()
	require.NoError(t, err)
	outFile := filepath.Join(t.TempDir(), "out")
	s := &storeSoak{
		t:       t,
		seed:    seed,
		rng:     rand.New(rand.NewPCG(seed, storeSoakNodes)),
		history: testrig.NewHistory(),
		outFile: outFile,
		stop:    make(chan struct{}),
		yard:    newYardOfBuild(t, build, storeSoakNodes, storeSoakMachines, "sh", "-c", fmt.Sprintf(maintenanceCommand, outFile)),
	}
	s.limits(t, func(budget *maintenance.DisruptionBudget) { budget.MaxOut = 1 })
	s.stage = &stage{cluster: s.cluster, res: testrig.NewResource(t, true), ttl: storeSoakLeaseTTL}
	for i := range storeSoakContenders {
		s.stage.list = append(s.stage.list, newContender(t, s.cluster, i, s.stage.res, storeSoakLeaseTTL))
	}
	return s
}

// play plays the rounds, and checks what happened.
func (s *storeSoak) play() {
	for id := range storeSoakClients {
		s.background.Go(func() { s.history.RunClient(s.Cluster, id, s.stop) })
	}
	s.background.Go(s.askForMaintenance)
	for round := range storeSoakRounds {
		s.playRound(round)
	}
	await(s.t, "enough of a history", func() bool { return s.history.HasEnoughOperations(0) })
	close(s.stop)
	s.background.Wait()
	s.check()
}

// playRound has one or two faults begin and end. Processes that ended are started again, as by a supervisor.
func (s *storeSoak) playRound(round int) {
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
	s.restartEnded()
}

// restartEnded starts the nodes whose process has ended: one that starts while its disk fails ends with an error.
func (s *storeSoak) restartEnded() {
	for node := range storeSoakNodes {
		select {
		case <-s.nodes[node].gone:
			s.t.Logf("seed %d: node %d had ended: %s", s.seed, node, lastLine(s.nodes[node].log()))
			s.Start(node)
		default:
		}
	}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// askForMaintenance asks for one machine after the other, as soon as it is back.
func (s *storeSoak) askForMaintenance() {
	for n := 0; ; n++ {
		machine := s.names[storeSoakNodes+n%storeSoakMachines]
		select {
		case <-s.stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		body := fmt.Sprintf(`{"node":%q,"reason":"kernel","for_ms":30000,"priority":0}`, machine)
		if code, _ := s.Request(n%storeSoakNodes, "POST", "/work", body); code == 200 || code == 204 {
			s.orders++
		}
	}
}

// check is called after all faults have ended.
func (s *storeSoak) check() {
	s.HealLinks()
	s.WaitForVoters(0, 1, 2)
	assert.True(s.t, s.history.Linearizable(), "the history is linearizable")
	s.WaitForEqualData(0, 1, 2)
	healed := time.Now()
	await(s.t, "an act under the lease", func() bool { return s.stage.res.ActedAfter(healed) })
	assert.Empty(s.t, s.stage.res.Violations(), "two holders at once")
	for _, machine := range s.names[storeSoakNodes:] {
		s.reach(s.t, []string{machine}, maintenance.PhaseCompleted, maintenance.PhaseFailed)
	}
	trips := s.checkMachinesOut()
	tokens, acts, rejected := s.stage.res.Counts()
	s.t.Logf("seed %d: %d writes, %d reads, %d of unknown outcome; %d tokens, %d acts, %d rejected by the fence; %d orders, %d machines out and back",
		s.seed, s.history.Writes, s.history.Reads, s.history.UnknownWrites, tokens, acts, rejected, s.orders, trips)
}

// checkMachinesOut checks that no two machines were out at once, and returns how often one was.
func (s *storeSoak) checkMachinesOut() (trips int) {
	text, err := os.ReadFile(s.outFile)
	require.NoError(s.t, err, "no machine ever went out")
	out := ""
	for line := range strings.Lines(string(text)) {
		what, machine, _ := strings.Cut(strings.TrimSpace(line), " ")
		switch what {
		case "out":
			assert.Empty(s.t, out, "%s goes out, and another one is", machine)
			out = machine
			trips++
		case "back":
			out = ""
		}
	}
	return trips
}
