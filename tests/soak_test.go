package tests

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/standin"
	"oxbowbridge/internal/testrig"
)

var (
	soakSeed  = flag.Uint64("soak-seed", 1, "the first seed of TestSoak")
	soakSeeds = flag.Int("soak-seeds", 2, "how many seeds, from the first on, TestSoak plays")
	soakTime  = flag.Duration("soak", 6*time.Second, "how long TestSoak plays each seed before SIGTERM")
)

const (
	soakStop       = 4 * time.Second         // from the first SIGTERM to SIGKILL
	soakDrainGrace = 2500 * time.Millisecond // after the notice
	soakSlack      = 50 * time.Millisecond   // by which each time limit is longer on sockets
	soakDeadline   = 3 * time.Second         // of each class
	// soakAnswerSlack is how long after its deadline a request may be answered (answer_slack_ns).
	soakAnswerSlack = 80 * time.Millisecond
	soakMemoryMB    = 192
	soakSockets     = 256
)

// soak is one process of the program among faulty peers. What happens is drawn from the seed;
// when the program does what is up to the scheduler.
type soak struct {
	*service
	t       *testing.T
	seed    uint64
	plan    soakPlan
	engine  *soakEngine
	records *soakRecords
	stalls  *stallMonitor

	mu          sync.Mutex
	attempts    []*soakAttempt
	noticeAt    time.Time // of the first SIGTERM
	peakMemory  int       // KB
	peakSockets int
}

// soakPlan is what differs between seeds as a whole.
type soakPlan struct {
	callers int
	crowd   int           // connections that say nothing or half a request
	cutMean time.Duration // between two cuts of the engine's connection
}

func drawSoakPlan(rng *rand.Rand) soakPlan {
	plan := soakPlan{
		callers: 8 + rng.IntN(24),
		cutMean: time.Duration(30+rng.IntN(200)) * time.Millisecond,
	}
	if rng.IntN(4) == 0 {
		plan.crowd = 100 + rng.IntN(200)
	}
	return plan
}

// soakStreams set the generators of one seed apart.
const (
	streamPlan = iota
	streamFaults
	streamEngine
	streamRecords
	streamCallers // and the numbers after it, one a caller
)

func (s *soak) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }

// TestSoak: among lost connections, reloads, stops and callers who leave, no request that may
// run once runs twice, each gets one true answer in time, and nothing runs after the drain's
// grace. -soak-seeds 50 is its long form; -v prints a row a seed.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			newSoak(t, seed).play()
		})
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, seed: seed}
	s.plan = drawSoakPlan(s.rng(streamPlan))
	s.engine = newSoakEngine(t, s.rng(streamEngine))
	s.records = newSoakRecords(t, s.rng(streamRecords))
	s.service = start(t, func(cfg object) {
		keyed(20*time.Second, soakDeadline)(cfg)
		cfg["engine"], cfg["records"] = s.engine.addr(), s.records.link.Addr
		cfg["stop_ms"] = soakStop.Milliseconds()
		cfg["limits"] = object{"cores": 1.0, "memory_mb": soakMemoryMB, "sockets": soakSockets}
		cfg[testDescriptors] = soakSockets
		site := cfg["settings"].(object)
		for _, class := range site["classes"].([]object) {
			class["deadline_ns"], class["aim_ns"] = int64(soakDeadline), int64(soakDeadline)*3/4
		}
		site["family_info"].(object)["memory_kb"] = 4000
		site["safety"].(object)["drain_grace_ns"] = int64(soakDrainGrace)
		site["safety"].(object)["answer_slack_ns"] = int64(soakAnswerSlack)
	})
	s.ready()
	// An engine resets its notices for a service that has read none; from here on it has.
	w := &world{service: s.service}
	require.Equal(t, 200, w.status("nom-submit", "the first"))
	return s
}

// play has the callers and the faults at it until the process has ended, and then checks what
// everyone has seen.
func (s *soak) play() {
	s.stalls = newStallMonitor()
	defer s.stalls.stop()
	over := make(chan struct{})
	var callers sync.WaitGroup
	for i := range s.plan.callers {
		caller := &soakCaller{soak: s, rng: s.rng(streamCallers + uint64(i)), number: i}
		callers.Go(func() { caller.run(over) })
	}
	if s.plan.crowd > 0 {
		newCrowd(s.t, s.fcgi, s.plan.crowd)
	}
	s.injectFaults()
	s.leave()
	close(over)
	callers.Wait()
	s.engine.settle()
	s.check()
}

// leave sends the notice, in a series of signals, and awaits the end of the process.
func (s *soak) leave() {
	rng := s.rng(streamPlan)
	if rng.IntN(2) == 0 {
		s.moveEngine()
	}
	standstill := rng.IntN(3) == 0
	if standstill {
		s.Signal(syscall.SIGSTOP)
	}
	s.mu.Lock()
	s.noticeAt = time.Now()
	s.mu.Unlock()
	require.NoError(s.t, s.Signal(syscall.SIGTERM))
	if standstill {
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		s.Signal(syscall.SIGCONT)
		s.stalls.note(time.Since(s.noticeAt))
	}
	if rng.IntN(2) == 0 {
		s.Signal(syscall.SIGTERM)
	}
	if rng.IntN(2) == 0 {
		s.moveEngine()
	}
	select {
	case err := <-s.exit:
		assert.NoError(s.t, err, "exit code")
	case <-time.After(time.Until(s.noticeAt.Add(soakStop))):
		assert.Fail(s.t, "still there when it would be killed")
		s.Kill()
	}
}

// soakAttempt is one request on its way, and what came of it.
type soakAttempt struct {
	class    string
	identity string // its body; attempts of one idempotency key share it
	protocol string
	// acceptedAt is when the request came to the machine, as it says itself (Accepted-At-Ms): for
	// one that is written slowly long before its last byte.
	acceptedAt time.Time
	sentAt     time.Time // just before its last byte was written
	endedAt    time.Time
	left       bool // its caller closed the connection and waits for nothing
	reached    bool // its last byte was written
	answer     answer
	err        error
}

func (s *soak) record(a *soakAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
}

// check holds what callers saw against what the engine did.
func (s *soak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcomes := map[string]int{}
	for _, a := range s.attempts {
		outcomes[s.checkAttempt(a)]++
	}
	twice := s.checkRuns()
	s.checkProcess()
	log := s.log()
	s.t.Logf("| %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |", s.seed, s.plan.callers, s.plan.crowd, len(s.attempts),
		s.engine.cuts, outcomes["served"], outcomes["rejected"], outcomes["failed"], strings.Count(log, `"run given up`), outcomes["not taken"], outcomes["left"], twice)
	if s.t.Failed() {
		s.t.Logf("the same events again: go test ./tests -run '^TestSoak$' -soak-seeds 1 -soak-seed %d", s.seed)
	}
}

// checkRuns: a request that may run once ran once at most.
func (s *soak) checkRuns() (twice int) {
	for identity, runs := range s.engine.runs {
		if len(runs) > 1 && runsOnce(identity) {
			twice++
			s.t.Errorf("ran %d times: %s, %v apart", len(runs), identity, runs[1].Sub(runs[0]))
		}
	}
	return twice
}

// runsOnce tells it by the class, with which an identity begins.
func runsOnce(identity string) bool {
	return strings.HasPrefix(identity, "nom-submit") || strings.HasPrefix(identity, "nom-update")
}

// checkAttempt returns the attempt's outcome for the table.
func (s *soak) checkAttempt(a *soakAttempt) string {
	runs := s.engine.runs[a.identity]
	late := a.sentAt.After(s.noticeAt.Add(soakDrainGrace + soakSlack))
	if a.reached && late && len(runs) > 0 && a.class == "nom-submit" {
		s.t.Errorf("ran though its last byte came %v after the notice: %s", a.sentAt.Sub(s.noticeAt), a.identity)
	}
	if a.left {
		return "left"
	}
	if a.err != nil {
		return s.checkLost(a, len(runs))
	}
	limit := soakDeadline + soakAnswerSlack + soakSlack + s.stalls.between(a.acceptedAt, a.endedAt)
	if took := a.endedAt.Sub(a.acceptedAt); took > limit {
		s.t.Errorf("answered after %v, %v are allowed: %s", took, limit, a.identity)
	}
	switch a.answer.status {
	case 200:
		if len(runs) == 0 || !strings.Contains(a.answer.body, a.identity) {
			s.t.Errorf("not the result of a run of its own: %s: %s", a.identity, a.answer.body)
		}
		return "served"
	case 429, 503:
		if a.class == "nom-submit" && len(runs) > 0 {
			s.t.Errorf("rejected, and it ran: %s", a.identity)
		}
		return "rejected"
	}
	return "failed"
}

// checkLost: a connection may end without an answer only where its end crosses a request that
// never runs: in a drain, and in a crowd.
func (s *soak) checkLost(a *soakAttempt, runs int) string {
	var failure net.Error
	mayEnd := a.endedAt.After(s.noticeAt) || s.plan.crowd > 0
	if errors.As(a.err, &failure) && failure.Timeout() {
		s.t.Errorf("never answered: %s", a.identity)
	}
	if !mayEnd && a.reached {
		s.t.Errorf("lost: %s %s: %v", a.protocol, a.identity, a.err)
	}
	if a.class == "nom-submit" && a.reached && runs > 0 {
		s.t.Errorf("ran, and its caller never heard: %s: %v", a.identity, a.err)
	}
	return "not taken"
}

// checkProcess: no panic, and memory and descriptors within their limits.
func (s *soak) checkProcess() {
	log := s.log()
	assert.NotContains(s.t, log, "panic:")
	assert.NotContains(s.t, log, "fatal error:")
	assert.NotContains(s.t, log, "too many open files")
	assert.LessOrEqual(s.t, s.peakMemory, soakMemoryMB<<10, "KB of memory")
	assert.LessOrEqual(s.t, s.peakSockets, soakSockets, "descriptors")
}

// soakEngine counts the runs of each identity. Its links cut connections and move.
type soakEngine struct {
	t        *testing.T
	listener net.Listener
	links    []*testrig.Link // the last is the one in use
	cuts     int

	mu   sync.Mutex
	rng  *rand.Rand
	slow time.Duration // most that a command waits
	runs map[string][]time.Time
}

func newSoakEngine(t *testing.T, rng *rand.Rand) *soakEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &soakEngine{t: t, listener: listener, rng: rng, runs: map[string][]time.Time{}}
	engine := &standin.Engine{
		Cores:          8,
		DrawDuration:   func() time.Duration { return e.draw(16 * time.Millisecond) },
		DrawDelay:      e.drawDelay,
		CallingClasses: []string{"balance-view", "nom-update", "nom-submit"},
		OnRun:          e.began,
	}
	t.Cleanup(func() { listener.Close() })
	go engine.Serve(listener)
	e.addLink()
	return e
}

func (e *soakEngine) addLink() {
	link, err := testrig.NewLink(e.listener.Addr().String())
	require.NoError(e.t, err)
	e.t.Cleanup(link.Close)
	e.links = append(e.links, link)
}

func (e *soakEngine) link() *testrig.Link { return e.links[len(e.links)-1] }

func (e *soakEngine) addr() string { return e.link().Addr }

func (e *soakEngine) began(_, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[body] = append(e.runs[body], time.Now())
}

// draw returns a time up to a bound.
func (e *soakEngine) draw(bound time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.rng.Int64N(int64(bound)))
}

func (e *soakEngine) drawDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slow == 0 {
		return 0
	}
	return time.Duration(e.rng.Int64N(int64(e.slow)))
}

func (e *soakEngine) setSlow(most time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = most
}

// settle waits until commands that are still on their way have been carried out.
func (e *soakEngine) settle() {
	e.setSlow(0)
	for count := -1; ; time.Sleep(50 * time.Millisecond) {
		e.mu.Lock()
		before := count
		count = 0
		for _, runs := range e.runs {
			count += len(runs)
		}
		e.mu.Unlock()
		if count == before {
			return
		}
	}
}

// soakRecords fails some calls, and checks which are made again.
type soakRecords struct {
	link *testrig.Link

	mu  sync.Mutex
	rng *rand.Rand
}

func newSoakRecords(t *testing.T, rng *rand.Rand) *soakRecords {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &soakRecords{rng: rng}
	service := &standin.RecordsService{ResponseDelay: time.Millisecond, DrawResult: r.draw}
	t.Cleanup(func() { listener.Close() })
	go service.Serve(listener)
	r.link, err = testrig.NewLink(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(r.link.Close)
	return r
}

// draw has one call in forty end badly.
func (r *soakRecords) draw(string) standin.CallResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rng.IntN(40) > 0 {
		return standin.CallDone
	}
	bad := []standin.CallResult{standin.CallRejected, standin.CallFailed, standin.CallLost}
	return bad[r.rng.IntN(len(bad))]
}

// stallMonitor notes when this process itself stood still, or had stopped the program: such time
// does not count against an answer.
type stallMonitor struct {
	done chan struct{}
	mu   sync.Mutex
	at   []stall
}

type stall struct {
	end  time.Time
	took time.Duration
}

const (
	stallPoll = 5 * time.Millisecond
	minStall  = 15 * time.Millisecond
)

func newStallMonitor() *stallMonitor {
	m := &stallMonitor{done: make(chan struct{})}
	go m.run()
	return m
}

func (m *stallMonitor) run() {
	for {
		before := time.Now()
		select {
		case <-m.done:
			return
		case <-time.After(stallPoll):
		}
		if late := time.Since(before) - stallPoll; late > minStall {
			m.note(late)
		}
	}
}

// note adds a standstill that ends now.
func (m *stallMonitor) note(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = append(m.at, stall{time.Now(), took})
}

func (m *stallMonitor) stop() { close(m.done) }

// between is how long the machine stood still in a span of time.
func (m *stallMonitor) between(begin, end time.Time) (sum time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, st := range m.at {
		if st.end.After(begin) && st.end.Add(-st.took).Before(end) {
			sum += st.took
		}
	}
	return sum
}

// mixedClasses are those of a caller's requests; most may run once.
var mixedClasses = slices.Concat(classNames, []string{"nom-submit", "nom-submit", "nom-update"})
