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

// fixture is a Link whose dispatcher is the test, and an engine that the test speaks for.
type fixture struct {
	t        *testing.T
	link     *Session
	exchange *exchange.Exchange
	listener net.Listener
	events   []exchange.Event
}

func newFixture(t *testing.T, pauses bool) *fixture {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	began, x := time.Now(), exchange.New(10)
	return &fixture{t: t, exchange: x, listener: ln, link: New(ln.Addr().String(), pauses, session.Config{Exchange: x, Loop: loop,
		Timers: &timerqueue.Queue{}, Now: func() time.Duration { return time.Since(began) }, Log: zap.NewNop()})}
}

// turn carries out steps, and keeps other events.
func (f *fixture) turn() {
	for _, e := range f.exchange.Dequeue(nil) {
		if step, ok := e.(exchange.Callback); ok {
			step()
		} else {
			f.events = append(f.events, e)
		}
	}
}

func (f *fixture) await(what string, ok func() bool) {
	f.t.Helper()
	require.Eventually(f.t, func() bool { f.turn(); return ok() }, 10*time.Second, time.Millisecond, what)
}

// accept is the engine's end of the link's next connection.
func (f *fixture) accept() net.Conn {
	f.t.Helper()
	c, err := f.listener.Accept()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	return c
}

// attach opens the link and is the engine at its new connection, up to the first poll's answer, which
// the caller says. The HELLO has as many events.
func (f *fixture) attach(lastNotice int, hello string, events int) net.Conn {
	f.t.Helper()
	f.link.Open()
	c := f.accept()
	f.hears(c, fmt.Sprintf("ATTACH %d\r\n", lastNotice))
	f.says(c, hello+"\r\n", events)
	f.hears(c, "STAT sync\r\n")
	return c
}

// lose closes a connection at the engine, and waits until the link has noticed.
func (f *fixture) lose(c net.Conn) {
	f.t.Helper()
	require.NoError(f.t, c.Close())
	f.await("a closed link", func() bool { return f.link.conn == nil })
}

// hears reads exactly the wanted bytes at the engine.
func (f *fixture) hears(c net.Conn, want string) {
	f.t.Helper()
	got := make(chan string, 1)
	go func() {
		b := make([]byte, len(want))
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, _ := io.ReadFull(c, b)
		got <- string(b[:n])
	}()
	var text string
	f.await("bytes at the engine", func() bool {
		select {
		case text = <-got:
			return true
		default:
			return false
		}
	})
	require.Equal(f.t, want, text)
}

// says writes the engine's bytes, and returns the events that come of them.
func (f *fixture) says(c net.Conn, text string, events int) []exchange.Event {
	f.t.Helper()
	f.events = nil
	_, err := io.WriteString(c, text)
	require.NoError(f.t, err)
	f.await("events", func() bool { return len(f.events) == events })
	return f.events
}

const (
	trace1 = "0123456789abcdef"
	trace2 = "fedcba9876543210"
)

// TestGoldenLines: the bytes of each command to the engine, and what comes of each of its
// messages.
func TestGoldenLines(t *testing.T) {
	f := newFixture(t, true)
	f.link.Open()
	c := f.accept()
	f.hears(c, "ATTACH 0\r\n")
	require.Equal(t, []exchange.Event{exchange.RunnerReady{WarmingUp: true, Uptime: 1500 * time.Millisecond}}, f.says(c, "HELLO COLD 1500\r\n", 1))
	f.hears(c, "STAT sync\r\n")
	f.link.RequestGauges()
	f.hears(c, "STAT gauges\r\n")
	require.Equal(t, []exchange.Event{exchange.Gauges{0.5, 1, 0.25, -1}}, f.says(c, "STATS sync 1\r\nSTATS gauges 0.5 1 0.25 -1\r\n", 1))

	f.link.Run(exchange.Job{TraceID: trace1, Class: "nom-submit", Body: []byte("body\r\n")})
	f.hears(c, "RUN "+trace1+" nom-submit 6\r\nbody\r\n\r\n")
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: trace1, Stage: exchange.CallNeeded, Body: []byte("call")}},
		f.says(c, "NOTE 1 "+trace1+" begun\r\nNEED 2 "+trace1+" 4\r\ncall\r\n", 1))
	f.link.DeliverReply(trace1, []byte("reply"))
	f.hears(c, "FEED "+trace1+" 5\r\nreply\r\n")
	f.link.Stop(trace1, false)
	f.hears(c, "HALT "+trace1+"\r\n")
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: trace1, Stage: exchange.RunEnded, Result: exchange.ResultStopped, Duration: 5 * time.Millisecond, Body: []byte{}}},
		f.says(c, "DONE 3 "+trace1+" STOPPED 5 0\r\n\r\n", 1))
	f.link.Resume(trace1)
	f.hears(c, "RESUME "+trace1+"\r\n")
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: trace1, Stage: exchange.RunEnded, Result: exchange.ResultOK, Duration: 1500 * time.Microsecond, Body: []byte("result")}},
		f.says(c, "DONE 4 "+trace1+" OK 1.5 6\r\nresult\r\n", 1))

	for i, end := range []struct {
		word string
		end  exchange.Result
	}{{"ERROR", exchange.ResultError}, {"MOOT", exchange.ResultObsolete}, {"NONSENSE", exchange.ResultError}} {
		f.link.Run(exchange.Job{TraceID: trace2, Class: "nom-update"})
		f.hears(c, "RUN "+trace2+" nom-update 0\r\n\r\n")
		require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: trace2, Stage: exchange.RunEnded, Result: end.end, Body: []byte{}}},
			f.says(c, "DONE "+string(rune('5'+i))+" "+trace2+" "+end.word+" 0 0\r\n\r\n", 1))
	}
	f.link.Run(exchange.Job{TraceID: trace2, Class: "nom-update"})
	f.hears(c, "RUN "+trace2+" nom-update 0\r\n\r\n")
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: trace2, Stage: exchange.RunEnded, Result: exchange.ResultUnknownRequest}},
		f.says(c, "NO RUN "+trace2+"\r\n", 1))

	// Another link: what the one before may have lost is sent again after its notices.
	// The run of a class that may run once only is not: it may have been read, and have ended.
	f.link.Run(exchange.Job{TraceID: trace1, Class: "nom-submit", Body: []byte("b"), Idempotent: true})
	f.hears(c, "RUN "+trace1+" nom-submit 1\r\nb\r\n")
	f.link.Stop(trace1, true)
	f.hears(c, "HALT "+trace1+"\r\n")
	f.link.Run(exchange.Job{TraceID: trace2, Class: "nom-submit", Body: []byte("b"), Timeout: time.Minute})
	f.hears(c, "RUN "+trace2+" nom-submit 1\r\nb\r\n")
	require.NoError(t, c.Close())
	f.await("a closed link", func() bool { return f.link.conn == nil })
	f.link.Open()
	c = f.accept()
	f.hears(c, "ATTACH 7\r\n")
	f.says(c, "HELLO WARM 20000\r\n", 0)
	f.hears(c, "STAT sync\r\n")
	f.says(c, "STATS sync 1\r\n", 0)
	f.hears(c, "RUN "+trace1+" nom-submit 1\r\nb\r\n"+"HALT "+trace1+"\r\n")
	f.link.RequestGauges()
	f.hears(c, "STAT gauges\r\n") // and nothing before it
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: trace2, Stage: exchange.RunEnded, Result: exchange.ResultOK, Body: []byte{}}},
		f.says(c, "DONE 8 "+trace2+" OK 0 0\r\n\r\n", 1))
}
