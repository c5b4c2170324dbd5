package records

import (
	"bytes"
	"net"
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

// TestGoldenLines checks the bytes of a call and of a cancellation, and the outcome of each kind of
// reply.
func TestGoldenLines(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	defer loop.Stop()
	r := &clientFixture{t: t, exchange: exchange.New(10)}
	pool := fdquota.NewConnPool(fdquota.Quotas{Connections: 8, ReservedForCalls: 4})
	r.client = New(ln.Addr().String(), pool, 0, session.Config{Exchange: r.exchange, Loop: loop, Timers: &timerqueue.Queue{},
		Now: func() time.Duration { return time.Minute }, Log: zap.NewNop()}) // a fixed clock, so that the timeout in each call is the same
	accept := func() net.Conn {
		c, err := ln.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
		return c
	}
	serviceReads := func(c net.Conn, want string) {
		t.Helper()
		var got bytes.Buffer
		r.waitFor("bytes at the service's end", func() bool {
			b := make([]byte, len(want)-got.Len())
			c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
			n, _ := c.Read(b)
			got.Write(b[:n])
			return got.Len() == len(want)
		})
		require.Equal(t, want, got.String())
	}
	const traceID = "0123456789abcdef"
	call := func(idempotent bool) {
		r.client.Call(exchange.Job{TraceID: traceID, Idempotent: idempotent, Timeout: 1500 * time.Millisecond, Body: []byte("call")})
	}
	for _, reply := range []struct {
		text    string
		outcome exchange.Outcome
	}{
		{"DONE 5\r\nreply\r\n", exchange.Outcome{Result: exchange.ResultOK, Body: []byte("reply")}},
		{"ERROR\r\n", exchange.Outcome{Result: exchange.ResultError}},
		{"WAIT\r\n", exchange.Outcome{Result: exchange.ResultNotStarted}},
		{"EMPTY\r\n", exchange.Outcome{Result: exchange.ResultNotStarted}},
		{"PAST\r\n", exchange.Outcome{Result: exchange.ResultTimedOut}},
		{"NONSENSE\r\n", exchange.Outcome{Result: exchange.ResultConnectionLost}},
	} {
		r.outcomes = nil
		call(false)
		c := accept()
		serviceReads(c, "OP "+traceID+" 1500 4\r\ncall\r\n")
		_, err := c.Write([]byte(traceID + " " + reply.text))
		require.NoError(t, err)
		r.waitFor("the outcome", func() bool { return len(r.outcomes) == 1 })
		reply.outcome.TraceID, reply.outcome.Stage = traceID, exchange.CallEnded
		require.Equal(t, []exchange.Outcome{reply.outcome}, r.outcomes, reply.text)
	}
	call(false)
	c := accept()
	serviceReads(c, "OP "+traceID+" 1500 4\r\ncall\r\n")
	r.client.Cancel(traceID)
	serviceReads(c, "UNOP "+traceID+"\r\n")
}
