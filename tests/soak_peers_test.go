package tests

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/standin"
	"oxbowbridge/internal/testrig"
)

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
