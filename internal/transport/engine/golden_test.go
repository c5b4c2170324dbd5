package engine

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/session"
)

// sessionFixture holds a Session and the listener of its engine. The test acts as the dispatcher and as
// the engine.
type sessionFixture struct {
	t        *testing.T
	session  *Session
	exchange *exchange.Exchange
	listener net.Listener
	events   []exchange.Event
}

func newSessionFixture(t *testing.T, pausesOnStop bool) *sessionFixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	start, x := time.Now(), exchange.New(10)
	return &sessionFixture{t: t, exchange: x, listener: ln, session: New(ln.Addr().String(), pausesOnStop, session.Config{Exchange: x, Loop: loop,
		Timers: &timerqueue.Queue{}, Now: func() time.Duration { return time.Since(start) }, Log: zap.NewNop()})}
}

// handleEvents runs the posted callbacks and stores the other events in f.events.
func (f *sessionFixture) handleEvents() {
	for _, e := range f.exchange.Dequeue(nil) {
		if callback, ok := e.(exchange.Callback); ok {
			callback()
		} else {
			f.events = append(f.events, e)
		}
	}
}

func (f *sessionFixture) waitFor(description string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { f.handleEvents(); return condition() }, 10*time.Second, time.Millisecond, description)
}

// acceptConn accepts the session's next connection and returns the engine's end of it.
func (f *sessionFixture) acceptConn() net.Conn {
	f.t.Helper()
	c, err := f.listener.Accept()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	return c
}

// connectEngine opens the session, checks ATTACH, sends hello, waits for the given number of events and
// reads the first poll. The test sends the answer to that poll on the returned connection.
func (f *sessionFixture) connectEngine(lastNotification int, hello string, events int) net.Conn {
	f.t.Helper()
	f.session.Open()
	c := f.acceptConn()
	f.engineReads(c, fmt.Sprintf("ATTACH %d\r\n", lastNotification))
	f.engineSends(c, hello+"\r\n", events)
	f.engineReads(c, "STAT sync\r\n")
	return c
}

// closeFromEngine closes a connection at the engine's end and waits until the session has detected it.
func (f *sessionFixture) closeFromEngine(c net.Conn) {
	f.t.Helper()
	require.NoError(f.t, c.Close())
	f.waitFor("the session to detect the closed connection", func() bool { return f.session.conn == nil })
}

// engineReads reads len(want) bytes at the engine's end and compares them with want.
func (f *sessionFixture) engineReads(c net.Conn, want string) {
	f.t.Helper()
	got := make(chan string, 1)
	go func() {
		b := make([]byte, len(want))
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _ := io.ReadFull(c, b)
		got <- string(b[:n])
	}()
	var text string
	f.waitFor("bytes at the engine's end", func() bool {
		select {
		case text = <-got:
			return true
		default:
			return false
		}
	})
	require.Equal(f.t, want, text)
}

// engineSends writes text at the engine's end, waits for the given number of events and returns them.
func (f *sessionFixture) engineSends(c net.Conn, text string, events int) []exchange.Event {
	f.t.Helper()
	f.events = nil
	_, err := io.WriteString(c, text)
	require.NoError(f.t, err)
	f.waitFor("the events", func() bool { return len(f.events) == events })
	return f.events
}

const (
	traceID1 = "0123456789abcdef"
	traceID2 = "fedcba9876543210"
)

// TestGoldenLines checks the bytes of each command to the engine, and the event that each message from
// the engine causes.
func TestGoldenLines(t *testing.T) {
	f := newSessionFixture(t, true)
	f.session.Open()
	c := f.acceptConn()
	f.engineReads(c, "ATTACH 0\r\n")
	require.Equal(t, []exchange.Event{exchange.RunnerReady{WarmingUp: true, Uptime: 1500 * time.Millisecond}}, f.engineSends(c, "HELLO COLD 1500\r\n", 1))
	f.engineReads(c, "STAT sync\r\n")
	f.session.RequestGauges()
	f.engineReads(c, "STAT gauges\r\n")
	require.Equal(t, []exchange.Event{exchange.Gauges{0.5, 1, 0.25, -1}}, f.engineSends(c, "STATS sync 1\r\nSTATS gauges 0.5 1 0.25 -1\r\n", 1))

	f.session.Run(exchange.Job{TraceID: traceID1, Class: "nom-submit", Body: []byte("body\r\n")})
	f.engineReads(c, "RUN "+traceID1+" nom-submit 6\r\nbody\r\n\r\n")
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: traceID1, Stage: exchange.CallNeeded, Body: []byte("call")}},
		f.engineSends(c, "NOTE 1 "+traceID1+" begun\r\nNEED 2 "+traceID1+" 4\r\ncall\r\n", 1))
	f.session.DeliverReply(traceID1, []byte("reply"))
	f.engineReads(c, "FEED "+traceID1+" 5\r\nreply\r\n")
	f.session.Stop(traceID1, false)
	f.engineReads(c, "HALT "+traceID1+"\r\n")
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: traceID1, Stage: exchange.RunEnded, Result: exchange.ResultStopped, Duration: 5 * time.Millisecond, Body: []byte{}}},
		f.engineSends(c, "DONE 3 "+traceID1+" STOPPED 5 0\r\n\r\n", 1))
	f.session.Resume(traceID1)
	f.engineReads(c, "RESUME "+traceID1+"\r\n")
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: traceID1, Stage: exchange.RunEnded, Result: exchange.ResultOK, Duration: 1500 * time.Microsecond, Body: []byte("result")}},
		f.engineSends(c, "DONE 4 "+traceID1+" OK 1.5 6\r\nresult\r\n", 1))

	for i, end := range []struct {
		word string
		end  exchange.Result
	}{{"ERROR", exchange.ResultError}, {"MOOT", exchange.ResultObsolete}, {"NONSENSE", exchange.ResultError}} {
		f.session.Run(exchange.Job{TraceID: traceID2, Class: "nom-update"})
		f.engineReads(c, "RUN "+traceID2+" nom-update 0\r\n\r\n")
		require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: traceID2, Stage: exchange.RunEnded, Result: end.end, Body: []byte{}}},
			f.engineSends(c, "DONE "+string(rune('5'+i))+" "+traceID2+" "+end.word+" 0 0\r\n\r\n", 1))
	}
	f.session.Run(exchange.Job{TraceID: traceID2, Class: "nom-update"})
	f.engineReads(c, "RUN "+traceID2+" nom-update 0\r\n\r\n")
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: traceID2, Stage: exchange.RunEnded, Result: exchange.ResultUnknownRequest}},
		f.engineSends(c, "NO RUN "+traceID2+"\r\n", 1))

	// On a new connection, commands that may be lost are sent again once the missed notifications are
	// received. A run that is not idempotent is not sent again, since it may have run and ended.
	f.session.Run(exchange.Job{TraceID: traceID1, Class: "nom-submit", Body: []byte("b"), Idempotent: true})
	f.engineReads(c, "RUN "+traceID1+" nom-submit 1\r\nb\r\n")
	f.session.Stop(traceID1, true)
	f.engineReads(c, "HALT "+traceID1+"\r\n")
	f.session.Run(exchange.Job{TraceID: traceID2, Class: "nom-submit", Body: []byte("b"), Timeout: time.Minute})
	f.engineReads(c, "RUN "+traceID2+" nom-submit 1\r\nb\r\n")
	require.NoError(t, c.Close())
	f.waitFor("the session to detect the closed connection", func() bool { return f.session.conn == nil })
	f.session.Open()
	c = f.acceptConn()
	f.engineReads(c, "ATTACH 7\r\n")
	f.engineSends(c, "HELLO WARM 20000\r\n", 0)
	f.engineReads(c, "STAT sync\r\n")
	f.engineSends(c, "STATS sync 1\r\n", 0)
	f.engineReads(c, "RUN "+traceID1+" nom-submit 1\r\nb\r\n"+"HALT "+traceID1+"\r\n")
	f.session.RequestGauges()
	f.engineReads(c, "STAT gauges\r\n") // no other command was sent before this one
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: traceID2, Stage: exchange.RunEnded, Result: exchange.ResultOK, Body: []byte{}}},
		f.engineSends(c, "DONE 8 "+traceID2+" OK 0 0\r\n\r\n", 1))
}
