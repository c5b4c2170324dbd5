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
	soakSeeds    = flag.Int("soak-seeds", 2, "number of seeds that TestSoak runs")
	soakDuration = flag.Duration("soak", 6*time.Second, "time for which TestSoak runs each seed before SIGTERM")
)

const (
	soakStopTimeout = 4 * time.Second         // time from the first SIGTERM to SIGKILL
	soakDrainGrace  = 2500 * time.Millisecond // drain grace period after SIGTERM
	soakSocketDelay = 50 * time.Millisecond   // extra time that sockets may add to each time limit
	soakDeadline    = 3 * time.Second         // deadline of each class
	// soakResponseGrace is how long after its deadline a request may be answered (answer_slack_ns).
	soakResponseGrace = 80 * time.Millisecond
	soakMemoryMB      = 192
	soakSockets       = 256
)

// soakRun runs one process of the program with faulty peers. The seed determines the injected events, but not
// how they interleave with the program.
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
	signaledAt  time.Time // time of the first SIGTERM
	peakMemory  int       // in KB
	peakSockets int
}

// soakPlan holds the parameters that are drawn once per seed.
type soakPlan struct {
	callers           int
	idleConnections   int           // connections that send nothing or only a health check
	meanFaultInterval time.Duration // mean time between two injected faults
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

// Each random generator of a seed has its own stream.
const (
	streamPlan = iota
	streamFaults
	streamRunner
	streamRecords
	streamCallers // caller n uses streamCallers+n
)

func (s *soakRun) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }

// TestSoak injects lost connections, reloads, pauses and callers that disconnect, with an engine and with AJP
// upstreams. No at-most-once request may run twice, each request gets one correct response in time, and nothing
// runs after the drain grace period. Run it longer with -soak-seeds 50; -v prints a table row per seed.
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
	// An engine resets its notice sequence for a service that has not read any, so one request makes the service
	// read some. Its class makes no calls, because the records service fails some calls.
	w := &testbed{service: s.service}
	require.Equal(t, 200, w.responseStatus("cycle-check", "the first"))
	return s
}

// run runs the callers and injects faults until the process has exited, then checks the outcomes.
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

// signalAndAwaitExit sends SIGTERM, possibly among other faults, and waits for the process to exit.
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
	s.signaledAt = time.Now()
	s.mu.Unlock()
	require.NoError(s.t, s.Signal(syscall.SIGTERM))
	if paused {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		s.Signal(syscall.SIGCONT)
		s.stalls.recordStall(time.Since(s.signaledAt))
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
	case <-time.After(time.Until(s.signaledAt.Add(soakStopTimeout))):
		assert.Fail(s.t, "process has not exited within stop_ms")
		s.Kill()
	}
}

// soakAttempt is one attempt of a request and its outcome.
type soakAttempt struct {
	class    string
	trace    string
	identity string // request body; attempts with the same idempotency key share it
	protocol string
	// acceptedAt is the time sent in Accepted-At-Ms. For a slowly written request it is long before the last
	// byte.
	acceptedAt     time.Time
	sentAt         time.Time // time just before the last byte was written
	endedAt        time.Time
	abandoned      bool // the caller closed the connection and does not read a response
	sentCompletely bool // the last byte was written
	response       response
	err            error
}

func (s *soakRun) record(a *soakAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
}
