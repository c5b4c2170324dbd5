package tests

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/standin"
	"oxbowbridge/internal/testrig"
)

const (
	maxRunTime      = 16 * time.Millisecond // maximum duration of a run
	upstreamsInUse  = 2
	maxStallMs      = 60
	maxOutageMs     = 400
	relistenTimeout = 2 * time.Second // time within which a closed address must be available again
)

// soakRunners create the engine or the upstreams, by name of the subtest.
var soakRunners = map[string]func(*testing.T, *rand.Rand) *soakRunner{
	"engine": newSoakEngine, "upstreams": newSoakUpstreams,
}

// soakRunner is an engine or a group of AJP upstreams that records the runs of each identity. The links to it
// can be cut, stalled, moved, closed and reopened.
type soakRunner struct {
	t                 *testing.T
	listener          net.Listener
	links             []*testrig.Link // the last inUse links are configured
	inUse             int
	linkFaults        int
	malformedMessages []string // messages after which the program must close the connection
	configure         func(object)

	mu              sync.Mutex
	rng             *rand.Rand
	maxCommandDelay time.Duration // maximum delay of a command
	runs            map[string][]time.Time
}

func newSoakRunner(t *testing.T, rng *rand.Rand, inUse int) *soakRunner {
	listener, err := testrig.ListenFree()
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	r := &soakRunner{t: t, listener: listener, inUse: inUse, rng: rng, runs: map[string][]time.Time{}}
	r.addLinks()
	return r
}

func newSoakEngine(t *testing.T, rng *rand.Rand) *soakRunner {
	r := newSoakRunner(t, rng, 1)
	r.malformedMessages = []string{"\r\n", "DONE x y OK 1 -1\r\n", "NEED 1 x y\r\n", "\x00\xff\r\n\r\n"}
	r.configure = func(cfg object) { cfg["engine"] = r.addrs()[0] }
	engine := &standin.Engine{
		Cores:            8,
		DurationFunc:     func() time.Duration { return r.drawDuration(maxRunTime) },
		CommandDelayFunc: r.drawDelay,
		CallingClasses:   []string{"balance-view", "nom-update", "nom-submit"},
		OnRun:            r.recordRun,
	}
	go engine.Serve(r.listener)
	return r
}

// addLinks gives the same servers other addresses.
func (r *soakRunner) addLinks() {
	for range r.inUse {
		link, err := testrig.NewLink(r.listener.Addr().String())
		require.NoError(r.t, err)
		r.t.Cleanup(link.Close)
		r.links = append(r.links, link)
	}
}

func (r *soakRunner) linksInUse() []*testrig.Link { return r.links[len(r.links)-r.inUse:] }

func (r *soakRunner) addrs() (addrs []string) {
	for _, link := range r.linksInUse() {
		addrs = append(addrs, link.Addr)
	}
	return addrs
}

func (r *soakRunner) drawLink(rng *rand.Rand) *testrig.Link { return r.linksInUse()[rng.IntN(r.inUse)] }

func (r *soakRunner) drawMalformed(rng *rand.Rand) string {
	return r.malformedMessages[rng.IntN(len(r.malformedMessages))]
}

// stallTraffic stalls a link in one direction for a time. Then the stalled bytes are delivered, or lost with the
// connection.
func (r *soakRunner) stallTraffic(rng *rand.Rand) {
	link := r.drawLink(rng)
	mode := testrig.LinkMode{StallResponses: true}
	cut := true
	if rng.IntN(2) == 0 {
		mode = testrig.LinkMode{StallRequests: true}
		cut = rng.IntN(2) == 0
	}
	link.SetMode(mode)
	time.Sleep(time.Duration(rng.IntN(maxStallMs)) * time.Millisecond)
	if cut {
		r.linkFaults++
	}
	link.SetMode(testrig.LinkMode{Cut: cut})
	link.SetMode(testrig.LinkMode{})
}

// interruptListener closes all connections of one address and refuses new ones for a time.
func (r *soakRunner) interruptListener(rng *rand.Rand) {
	r.linkFaults++
	link := r.drawLink(rng)
	link.Close()
	time.Sleep(time.Duration(rng.IntN(maxOutageMs)) * time.Millisecond)
	var restored *testrig.Link
	require.Eventually(r.t, func() (listens bool) {
		var err error
		restored, err = testrig.NewLinkAt(link.Addr, r.listener.Addr().String())
		return err == nil
	}, relistenTimeout, time.Millisecond)
	r.t.Cleanup(restored.Close)
	r.links[slices.Index(r.links, link)] = restored
}

// clearFaults removes all faults.
func (r *soakRunner) clearFaults() {
	r.setMaxCommandDelay(0)
	for _, link := range r.linksInUse() {
		link.SetMode(testrig.LinkMode{})
	}
}

func (r *soakRunner) recordRun(_, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[body] = append(r.runs[body], time.Now())
}

// drawDuration returns a random duration below bound.
func (r *soakRunner) drawDuration(bound time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(bound)))
}

func (r *soakRunner) drawDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.maxCommandDelay == 0 {
		return 0
	}
	return time.Duration(r.rng.Int64N(int64(r.maxCommandDelay)))
}

func (r *soakRunner) setMaxCommandDelay(most time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxCommandDelay = most
}

// awaitPendingCommands waits until commands still in flight have been executed, so that the number of runs no
// longer changes.
func (r *soakRunner) awaitPendingCommands() {
	r.setMaxCommandDelay(0)
	for count := -1; ; time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		before := count
		count = 0
		for _, runs := range r.runs {
			count += len(runs)
		}
		r.mu.Unlock()
		if count == before {
			return
		}
	}
}
