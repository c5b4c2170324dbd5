package records

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/session"
)

// clientFixture holds a Client and a records service. The test acts as the dispatcher, and decides when
// the service replies to each call.
type clientFixture struct {
	t        *testing.T
	pool     *fdquota.ConnPool
	client   *Client
	exchange *exchange.Exchange
	calls    chan receivedCall // calls received by the service
	outcomes []exchange.Outcome
}

// receivedCall is a call that the service has received.
type receivedCall struct {
	traceID string
	conn    net.Conn
}

func newClientFixture(t *testing.T, maxCalls int) *clientFixture {
	pool := fdquota.NewConnPool(fdquota.Quotas{Connections: 2 * maxCalls, ReservedForCalls: maxCalls})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	r := &clientFixture{t: t, pool: pool, exchange: exchange.New(100), calls: make(chan receivedCall, 100)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go r.serve(c)
		}
	}()
	loop, err := eventloop.New(16)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	start := time.Now()
	r.client = New(ln.Addr().String(), pool, 0, session.Config{Exchange: r.exchange, Loop: loop, Timers: &timerqueue.Queue{},
		Now: func() time.Duration { return time.Since(start) }, Log: zap.NewNop()})
	return r
}

func (r *clientFixture) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var traceID string
		var ms, length int
		if _, err := fmt.Sscanf(line, "OP %s %d %d", &traceID, &ms, &length); err != nil {
			continue
		}
		if _, err := io.CopyN(io.Discard, in, int64(length+2)); err != nil {
			return
		}
		r.calls <- receivedCall{traceID, c}
	}
}

// handleEvents acts as the dispatcher: it runs the posted callbacks and stores the outcomes.
func (r *clientFixture) handleEvents() {
	for _, e := range r.exchange.Dequeue(nil) {
		switch e := e.(type) {
		case exchange.Callback:
			e()
		case exchange.Outcome:
			r.outcomes = append(r.outcomes, e)
		}
	}
}

func (r *clientFixture) waitFor(description string, condition func() bool) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { r.handleEvents(); return condition() }, 20*time.Second, time.Millisecond, description)
}

// nextCall waits for the next call at the service.
func (r *clientFixture) nextCall() (c receivedCall) {
	r.t.Helper()
	r.waitFor("a call at the service", func() bool {
		select {
		case c = <-r.calls:
			return true
		default:
			return false
		}
	})
	return c
}

func (c receivedCall) sendReply(t *testing.T) {
	_, err := fmt.Fprintf(c.conn, "%s DONE 2\r\nok\r\n", c.traceID)
	require.NoError(t, err)
}

func testTraceID(n int) string { return strings.Repeat("0", 15) + fmt.Sprintf("%x", n) }

// TestBoundOnConnections guards against more connections than the limit. They arise if the slot of an idle
// connection that was closed for one call is also given to the next queued call. Each call that is not
// idempotent needs a new connection, so every reply leaves an idle connection.
func TestBoundOnConnections(t *testing.T) {
	for maxCalls := 1; maxCalls <= 3; maxCalls++ {
		r := newClientFixture(t, maxCalls)
		const calls = 9
		for n := range calls {
			r.client.Call(exchange.Job{TraceID: testTraceID(n), Timeout: time.Minute, Body: []byte("x")})
		}
		for n := range calls {
			c := r.nextCall()
			require.LessOrEqual(t, r.pool.OpenCalls(), maxCalls)
			c.sendReply(t)
			r.waitFor("the outcome", func() bool {
				require.LessOrEqual(t, r.pool.OpenCalls(), maxCalls, "connections after %d replies, want at most %d", n+1, maxCalls)
				return len(r.outcomes) == n+1
			})
		}
		for _, o := range r.outcomes {
			require.Equal(t, exchange.ResultOK, o.Result, o.TraceID)
		}
		require.Empty(t, r.client.calls)
		require.Empty(t, r.client.queue)
	}
}
