package ajp

import (
	"fmt"
	"math"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/slowstart"
)

// slowStartConfig describes servers that two processes share, with a slow start of 5 s.
var slowStartConfig = slowstart.Config{Cores: 2, MaxRunsPerCore: 8, MinSpeed: 0.2, Duration: 5 * time.Second, AveragingWindow: time.Second, Processes: 2}

// restartableUpstream is a correct upstream that can stop and start again at the same address.
type restartableUpstream struct {
	t    *testing.T
	addr string

	mu    sync.Mutex
	ln    net.Listener
	conns []net.Conn
}

// newRestartableUpstream returns an upstream that is not started yet.
func newRestartableUpstream(t *testing.T) *restartableUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	require.NoError(t, ln.Close())
	return &restartableUpstream{t: t, addr: addr}
}

func (upstream *restartableUpstream) start() {
	ln, err := net.Listen("tcp", upstream.addr)
	require.NoError(upstream.t, err)
	upstream.mu.Lock()
	upstream.ln = ln
	upstream.mu.Unlock()
	upstream.t.Cleanup(func() { ln.Close() })
	go acceptAll(ln, func(c net.Conn) {
		upstream.mu.Lock()
		defer upstream.mu.Unlock()
		upstream.conns = append(upstream.conns, c)
		go serveUpstream(c)
	})
}

// stop closes the listener and all accepted connections.
func (upstream *restartableUpstream) stop() {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.ln.Close()
	for _, c := range upstream.conns {
		c.Close()
	}
}

// newSlowStartFixture returns a fixture whose pool uses the given addresses and slowStartConfig.
func newSlowStartFixture(t *testing.T, addrs ...string) *upstreamFixture {
	f := newUpstreamFixture(t)
	f.pool.addrs = addrs
	f.pool.slowStart = slowStartConfig
	return f
}

// requireSlowStartAfter waits until the server refuses a connection, advances the clock by pause, starts the
// server, and checks that it is in slow start and its quota is limited.
func (f *upstreamFixture) requireSlowStartAfter(pause time.Duration, upstream *restartableUpstream) {
	f.t.Helper()
	f.advanceUntil("the server has refused a connection", func() bool { return f.pool.server(upstream.addr).refusesConnections })
	f.now += pause
	upstream.start()
	f.advanceUntil("the server has accepted a connection", func() bool { return !f.pool.server(upstream.addr).refusesConnections })
	require.NotNil(f.t, f.pool.server(upstream.addr).slowStart)
	require.LessOrEqual(f.t, f.pool.quota(f.pool.server(upstream.addr)), slowStartConfig.Cores*int(slowStartConfig.MaxRunsPerCore))
}

// TestStartDuringDials starts a server while connections to it are being opened for several runs. The runs over
// the quota of its slow start must wait instead of being sent at once, and all runs must succeed.
func TestStartDuringDials(t *testing.T) {
	const runs = 20
	upstream := newRestartableUpstream(t)
	upstream.start()
	f := newSlowStartFixture(t, upstream.addr)
	server := f.pool.server(upstream.addr)
	f.pool.recordDialResult(server, syscall.ECONNREFUSED)
	for n := range runs {
		f.pool.Run(exchange.Job{TraceID: fmt.Sprintf("%016x", n+1), Class: "c", Body: []byte("ok")})
	}
	require.Len(t, f.pool.runs, runs)
	maxSent := 0
	f.advanceUntil("all runs have ended", func() bool {
		sent := 0
		for _, r := range f.pool.runs {
			sent += r.sendCount
		}
		maxSent = max(maxSent, sent)
		return len(f.outcomeCounts) == runs
	})
	require.NotNil(t, server.slowStart)
	require.Less(t, f.pool.quota(server), math.MaxInt, "all runs must end within the slow start")
	quota := int(slowStartConfig.MaxRuns(f.now)/float64(slowStartConfig.Processes)) + 1
	require.LessOrEqual(t, maxSent, quota)
	for traceID, result := range f.results {
		require.Equal(t, exchange.ResultOK, result, traceID)
	}
}

// TestRestartOfUnusedServer checks that the pool detects the restart of a server to which no run was sent.
// Without the detection the server would get as many runs as one that is warmed up.
func TestRestartOfUnusedServer(t *testing.T) {
	upstream := newRestartableUpstream(t)
	upstream.start()
	f := newSlowStartFixture(t, upstream.addr)
	f.pool.Open()
	f.advanceUntil("the pool has an idle connection", func() bool { return len(f.pool.idle) == 1 })
	upstream.stop()
	f.requireSlowStartAfter(0, upstream)
}

// TestListedBeforeStart checks that a server gets a slow start if it was listed long before it started and
// nothing was sent to it in between. Without the slow start it would get as many runs as a warmed-up server.
func TestListedBeforeStart(t *testing.T) {
	running, late := newRestartableUpstream(t), newRestartableUpstream(t)
	running.start()
	t.Run("listed initially", func(t *testing.T) {
		f := newSlowStartFixture(t, running.addr, late.addr)
		f.pool.Open()
		f.requireSlowStartAfter(2*slowStartConfig.Duration, late)
		late.stop()
	})
	t.Run("listed later", func(t *testing.T) {
		f := newSlowStartFixture(t, running.addr)
		f.pool.Open()
		f.advanceUntil("an upstream has answered", func() bool { return f.pool.ready })
		f.pool.SetAddresses([]string{running.addr, late.addr}, "s3")
		f.requireSlowStartAfter(2*slowStartConfig.Duration, late)
	})
}
