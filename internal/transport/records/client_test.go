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

// rig is a Link whose core is the test, and a records service that answers each call when
// the test says so.
type rig struct {
	t        *testing.T
	pool     *fdquota.ConnPool
	client   *Client
	exchange *exchange.Exchange
	calls    chan received // that have reached the service
	outcomes []exchange.Outcome
}

// received is a call as the service sees it.
type received struct {
	trace string
	conn  net.Conn
}

func newRig(t *testing.T, most int) *rig {
	pool := fdquota.NewConnPool(fdquota.Quotas{Connections: 2 * most, ReservedForCalls: most})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	r := &rig{t: t, pool: pool, exchange: exchange.New(100), calls: make(chan received, 100)}
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
	began := time.Now()
	r.client = New(ln.Addr().String(), pool, 0, session.Config{Exchange: r.exchange, Loop: loop, Timers: &timerqueue.Queue{},
		Now: func() time.Duration { return time.Since(began) }, Log: zap.NewNop()})
	return r
}

func (r *rig) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var trace string
		var ms, length int
		if _, err := fmt.Sscanf(line, "OP %s %d %d", &trace, &ms, &length); err != nil {
			continue
		}
		if _, err := io.CopyN(io.Discard, in, int64(length+2)); err != nil {
			return
		}
		r.calls <- received{trace, c}
	}
}

// turn does what the dispatcher does: it carries out callbacks, and keeps outcomes.
func (r *rig) turn() {
	for _, e := range r.exchange.Dequeue(nil) {
		switch e := e.(type) {
		case exchange.Callback:
			e()
		case exchange.Outcome:
			r.outcomes = append(r.outcomes, e)
		}
	}
}

func (r *rig) await(what string, ok func() bool) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { r.turn(); return ok() }, 20*time.Second, time.Millisecond, what)
}

// arrived is the next call that reaches the service.
func (r *rig) arrived() (c received) {
	r.t.Helper()
	r.await("a call at the service", func() bool {
		select {
		case c = <-r.calls:
			return true
		default:
			return false
		}
	})
	return c
}

func (c received) reply(t *testing.T) {
	_, err := fmt.Fprintf(c.conn, "%s DONE 2\r\nok\r\n", c.trace)
	require.NoError(t, err)
}

func trace(n int) string { return strings.Repeat("0", 15) + fmt.Sprintf("%x", n) }

// TestBoundOnConnections: a connection that is closed to make room for one call makes
// none for the next that queues. Calls that are not idempotent each need a connection of
// their own, so that every reply leaves an idle one behind.
func TestBoundOnConnections(t *testing.T) {
	for most := 1; most <= 3; most++ {
		r := newRig(t, most)
		const calls = 9
		for n := range calls {
			r.client.Call(exchange.Job{TraceID: trace(n), Timeout: time.Minute, Body: []byte("x")})
		}
		for n := range calls {
			c := r.arrived()
			require.LessOrEqual(t, r.pool.OpenCalls(), most)
			c.reply(t)
			r.await("the outcome", func() bool {
				require.LessOrEqual(t, r.pool.OpenCalls(), most, "after %d replies, %d at most", n+1, most)
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
