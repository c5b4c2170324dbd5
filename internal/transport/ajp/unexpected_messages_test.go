package ajp

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/slowstart"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/testrig/protocolfuzz"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/session"
)

const deliveryDelay = 300 * time.Microsecond // time for sent bytes to arrive

// upstreamMessages are valid and invalid messages that a test upstream sends.
var upstreamMessages = []string{
	"AB\x00\x01\x09", "AB\x00\x0a\x04\x00\xc8\x00\x02OK\x00\x00\x00", "AB\x00\x07\x03\x00\x03abc\x00", "AB\x00\x02\x05\x01",
	"AB\x00\x02\x05\x00", "AB\x00\x01\x05", "AB\x00\x03\x06\x00\x64", "AB\x00\x01\x06", "AB\x00\x00", "AB\x00\x01\x63",
	"AB\x00\x03\x03\xff\xff", "AB\x00\x02\x04\x01", "\x12\x34\x00\x01\x0a", "AB\xff\xff", "AB\x00", "\r\n\r\n",
	"AB\x00\x0a\x04\x01\xf7\x00\x02NO\x00\x00\x00",
}

// clockSteps are the durations by which a step advances the clock.
var clockSteps = []time.Duration{5 * time.Millisecond, 25 * time.Millisecond, probeInterval, pongTimeout, maxIdleTime}

// upstreamFixture holds a pool and two upstreams. The test acts as the dispatcher and as the upstreams.
type upstreamFixture struct {
	t             *testing.T
	pool          *UpstreamPool
	exchange      *exchange.Exchange
	now           time.Duration
	addrs         []string      // addresses of the two upstreams, and one that refuses connections
	accepted      chan net.Conn // accepted connections that are not in conns yet
	conns         []net.Conn
	runCount      int                        // runs started so far
	outcomeCounts map[string]int             // number of outcomes by trace id
	results       map[string]exchange.Result // latest result by trace id
}

func newUpstreamFixture(t *testing.T) *upstreamFixture {
	loop, err := eventloop.New(16)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	f := &upstreamFixture{t: t, exchange: exchange.New(100), accepted: make(chan net.Conn, 1000), outcomeCounts: map[string]int{}, results: map[string]exchange.Result{}}
	for range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		f.addrs = append(f.addrs, ln.Addr().String())
		if len(f.addrs) == 3 {
			ln.Close()
			break
		}
		go acceptAll(ln, func(c net.Conn) { f.accepted <- c })
	}
	f.pool = NewUpstreamPool(f.addrs[:1], "s3", []string{"core_use"}, slowstart.Config{Cores: 4}, 1, session.Config{Exchange: f.exchange, Loop: loop,
		Timers: &timerqueue.Queue{}, Now: func() time.Duration { return f.now }, Log: zap.NewNop()})
	t.Cleanup(f.closeConns)
	return f
}

func acceptAll(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		serve(c)
	}
}

func (f *upstreamFixture) closeConns() {
	f.collectAccepted()
	for _, c := range f.conns {
		c.Close()
	}
	f.conns = nil
}

func (f *upstreamFixture) collectAccepted() {
	for {
		select {
		case c := <-f.accepted:
			f.conns = append(f.conns, c)
		default:
			return
		}
	}
}

// ProcessEvents runs due timers and posted callbacks, records outcomes, and checks the invariants.
func (f *upstreamFixture) ProcessEvents() {
	time.Sleep(deliveryDelay)
	f.collectAccepted()
	f.pool.Timers.RunDue(f.now)
	for _, e := range f.exchange.Dequeue(nil) {
		switch e := e.(type) {
		case exchange.Callback:
			e()
		case exchange.Outcome:
			f.outcomeCounts[e.TraceID]++
			f.results[e.TraceID] = e.Result
			require.Equal(f.t, 1, f.outcomeCounts[e.TraceID], "outcomes of run %s", e.TraceID)
		}
	}
	f.checkInvariants()
}

// advanceUntil advances the clock by a millisecond at a time and processes events, until the condition holds.
func (f *upstreamFixture) advanceUntil(description string, holds func() bool) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		f.now += time.Millisecond
		f.ProcessEvents()
		return holds()
	}, 10*time.Second, time.Millisecond, description)
}

func (f *upstreamFixture) checkInvariants() {
	for _, c := range f.pool.idle {
		require.Equal(f.t, upstreamIdle, c.state)
		require.Nil(f.t, c.run)
		require.True(f.t, f.pool.isListed(c.addr), "the idle list holds a connection to a server that is not listed")
	}
	for _, r := range f.pool.runs {
		require.True(f.t, r.sendCount <= 1 || r.Idempotent && r.sendCount <= maxSendsPerRun, "run sent %d times", r.sendCount)
	}
	for _, s := range f.pool.servers {
		require.GreaterOrEqual(f.t, s.runCount, 0)
		require.GreaterOrEqual(f.t, s.connCount, 0)
	}
}

// Step executes one action of a dispatcher or an upstream, which action and value select.
func (f *upstreamFixture) Step(action, value byte) {
	n := int(value)
	traceID := fmt.Sprintf("%016x", 1+n%(1+f.runCount))
	switch action % 12 {
	case 0, 1:
		f.runCount++
		f.pool.Run(exchange.Job{TraceID: fmt.Sprintf("%016x", f.runCount), Class: "c", Body: []byte("ok"), Idempotent: n%2 == 0})
	case 2:
		f.pool.Stop(traceID, n%2 == 0)
	case 3:
		f.pool.SetAddresses([][]string{f.addrs[:1], f.addrs[1:2], f.addrs[:2], f.addrs}[n%4], "s3")
	case 4:
		f.pool.RequestGauges()
	case 5:
		f.pool.Open()
	case 6:
		f.now += clockSteps[n%len(clockSteps)]
	case 7:
		if len(f.conns) > 0 {
			f.conns[n%len(f.conns)].Close()
		}
	default:
		if len(f.conns) > 0 {
			io.WriteString(f.conns[n%len(f.conns)], upstreamMessages[n/4%len(upstreamMessages)])
		}
	}
}

// FuzzUpstreamUnexpectedMessages checks the pool with upstreams that send unexpected messages, close or refuse
// connections, and are removed from the list. Each run must end exactly once, a run that is not idempotent must
// be sent at most once, no idle connection may remain to a server that is not listed, and a later run at a
// correct server must succeed.
func FuzzUpstreamUnexpectedMessages(f *testing.F) {
	protocolfuzz.Fuzz(f, func(t *testing.T) protocolfuzz.Scenario { return newUpstreamFixture(t) })
}

// VerifyRecovery stops all runs and checks that a run at a correct server succeeds.
func (f *upstreamFixture) VerifyRecovery() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	defer ln.Close()
	go acceptAll(ln, func(c net.Conn) { go serveUpstream(c) })
	f.pool.SetAddresses([]string{ln.Addr().String()}, "s3")
	for n := range f.runCount {
		f.pool.Stop(fmt.Sprintf("%016x", n+1), false)
	}
	f.ProcessEvents()
	require.Len(f.t, f.outcomeCounts, f.runCount, "number of ended runs")
	const last = "ffffffffffffffff"
	f.pool.Run(exchange.Job{TraceID: last, Class: "c", Body: []byte("ok")})
	f.advanceUntil("the last run has ended", func() bool { return f.outcomeCounts[last] > 0 })
	require.Equal(f.t, exchange.ResultOK, f.results[last])
	f.ProcessEvents()
	for addr, s := range f.pool.servers {
		require.Zero(f.t, s.runCount, addr)
	}
}

// serveUpstream answers health checks and requests as a correct upstream does.
func serveUpstream(c net.Conn) {
	defer c.Close()
	header := make([]byte, 4)
	for {
		if _, err := io.ReadFull(c, header); err != nil {
			return
		}
		content := make([]byte, binary.BigEndian.Uint16(header[2:]))
		if _, err := io.ReadFull(c, content); err != nil {
			return
		}
		switch {
		case content[0] == codeCPing:
			io.WriteString(c, "AB\x00\x01\x09")
		case content[0] != codeForwardRequest: // a body chunk
			io.WriteString(c, "AB\x00\x0a\x04\x00\xc8\x00\x02OK\x00\x00\x00"+"AB\x00\x02\x05\x01")
		}
	}
}
