package tests

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	soakSeed     = flag.Uint64("soak-seed", 1, "the first seed of TestSoak")
	soakSeeds    = flag.Int("soak-seeds", 2, "how many seeds, from the first on, TestSoak plays")
	soakDuration = flag.Duration("soak", 6*time.Second, "how long TestSoak plays each seed before SIGTERM")
)

const (
	soakStopTimeout = 4 * time.Second         // from the first SIGTERM to SIGKILL
	soakDrainGrace  = 2500 * time.Millisecond // after the notice
	soakSocketDelay = 50 * time.Millisecond   // by which each time limit is longer on sockets
	soakDeadline    = 3 * time.Second         // of each class
	// soakResponseGrace is how long after its deadline a request may be answered (answer_slack_ns).
	soakResponseGrace = 80 * time.Millisecond
	soakMemoryMB      = 192
	soakSockets       = 256
)

// soakRun is one process of the program among faulty peers. What happens is drawn from the seed;
// when the program does what is up to the scheduler.
type soakRun struct {
	*service
	t        *testing.T
	seed     uint64
	plan     soakPlan
	runner   *soakRunner
	records  *soakRecordsService
	registry *soakRegistry
	stalls   *stallMonitor

	mu          sync.Mutex
	attempts    []*soakAttempt
	noticeAt    time.Time // of the first SIGTERM
	peakMemory  int       // KB
	peakSockets int
}

// soakPlan is what differs between seeds as a whole.
type soakPlan struct {
	callers           int
	idleConnections   int           // connections that say nothing or half a request
	meanFaultInterval time.Duration // between two faults
}

func drawSoakPlan(rng *rand.Rand) soakPlan {
	plan := soakPlan{
		callers:           8 + rng.IntN(24),
		meanFaultInterval: time.Duration(30+rng.IntN(200)) * time.Millisecond,
	}
	if rng.IntN(4) == 0 {
		plan.idleConnections = 100 + rng.IntN(200)
	}
	return plan
}

// soakStreams set the generators of one seed apart.
const (
	streamPlan = iota
	streamFaults
	streamRunner
	streamRecords
	streamCallers // and the numbers after it, one a caller
)

func (s *soakRun) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }

// TestSoak: among lost connections, reloads, stops and callers who leave, no request that may
// run once runs twice, each gets one true answer in time, and nothing runs after the drain's
// grace, whether an engine does the work or AJP upstreams do. -soak-seeds 50 is its long form; -v
// prints a row a seed.
func TestSoak(t *testing.T) {
	for name, newRunner := range soakRunners {
		t.Run(name, func(t *testing.T) {
			for i := range *soakSeeds {
				seed := *soakSeed + uint64(i)
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					newSoak(t, seed, newRunner).run()
				})
			}
		})
	}
}

func newSoak(t *testing.T, seed uint64, newRunner func(*testing.T, *rand.Rand) *soakRunner) *soakRun {
	s := &soakRun{t: t, seed: seed}
	s.plan = drawSoakPlan(s.rng(streamPlan))
	s.runner = newRunner(t, s.rng(streamRunner))
	s.records = newSoakRecords(t, s.rng(streamRecords))
	s.registry = newSoakRegistry(t)
	s.service = startService(t, func(cfg object) {
		withIdempotencyKeys(20*time.Second, soakDeadline)(cfg)
		s.runner.configure(cfg)
		cfg["records"], cfg["lookup"] = s.records.link.Addr, s.registry.addr
		cfg["stop_ms"] = soakStopTimeout.Milliseconds()
		cfg["limits"] = object{"cores": 1.0, "memory_mb": soakMemoryMB, "sockets": soakSockets}
		cfg[testDescriptors] = soakSockets
		site := cfg["settings"].(object)
		for _, class := range site["classes"].([]object) {
			class["deadline_ns"], class["aim_ns"] = int64(soakDeadline), int64(soakDeadline)*3/4
		}
		site["family_info"].(object)["memory_kb"] = 4000
		site["safety"].(object)["drain_grace_ns"] = int64(soakDrainGrace)
		site["safety"].(object)["answer_slack_ns"] = int64(soakResponseGrace)
	})
	s.awaitReady()
	// An engine resets its notices for a service that has read none; from here on it has. A class
	// without calls, as the records service fails some.
	w := &testbed{service: s.service}
	require.Equal(t, 200, w.responseStatus("cycle-check", "the first"))
	return s
}

// run has the callers and the faults at it until the process has ended, and then checks what
// everyone has seen.
func (s *soakRun) run() {
	s.stalls = newStallMonitor()
	defer s.stalls.stop()
	processEnded := make(chan struct{})
	var callers sync.WaitGroup
	for i := range s.plan.callers {
		caller := &soakCaller{soakRun: s, rng: s.rng(streamCallers + uint64(i)), number: i}
		callers.Go(func() { caller.run(processEnded) })
	}
	if s.plan.idleConnections > 0 {
		connectIdleClients(s.t, s.fcgiAddr, s.plan.idleConnections)
	}
	s.injectFaults()
	s.registry.awaitReport(s.t)
	s.signalAndAwaitExit()
	close(processEnded)
	callers.Wait()
	s.runner.awaitPendingCommands()
	s.check()
}

// signalAndAwaitExit sends the notice, in a series of signals, and awaits the end of the process.
func (s *soakRun) signalAndAwaitExit() {
	rng := s.rng(streamPlan)
	if rng.IntN(2) == 0 {
		s.changeRunnerAddress()
	}
	paused := rng.IntN(3) == 0
	if paused {
		s.Signal(syscall.SIGSTOP)
	}
	s.mu.Lock()
	s.noticeAt = time.Now()
	s.mu.Unlock()
	require.NoError(s.t, s.Signal(syscall.SIGTERM))
	if paused {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		s.Signal(syscall.SIGCONT)
		s.stalls.recordStall(time.Since(s.noticeAt))
	}
	if rng.IntN(2) == 0 {
		s.Signal(syscall.SIGTERM)
	}
	if rng.IntN(2) == 0 {
		s.changeRunnerAddress()
	}
	select {
	case err := <-s.exit:
		assert.NoError(s.t, err, "exit code")
	case <-time.After(time.Until(s.noticeAt.Add(soakStopTimeout))):
		assert.Fail(s.t, "still there when it would be killed")
		s.Kill()
	}
}

// soakAttempt is one request on its way, and what came of it.
type soakAttempt struct {
	class    string
	trace    string
	identity string // its body; attempts of one idempotency key share it
	protocol string
	// acceptedAt is when the request came to the machine, as it says itself (Accepted-At-Ms): for
	// one that is written slowly long before its last byte.
	acceptedAt     time.Time
	sentAt         time.Time // just before its last byte was written
	endedAt        time.Time
	abandoned      bool // its caller closed the connection and waits for nothing
	sentCompletely bool // its last byte was written
	response       response
	err            error
}

func (s *soakRun) record(a *soakAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
}
