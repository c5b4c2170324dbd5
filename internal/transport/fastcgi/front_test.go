package fastcgi

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/frontend"
)

// wholeRequest is one, record by record.
func wholeRequest() []record {
	var params []byte
	for _, p := range [][2]string{{"SCRIPT_NAME", "/call/nom-submit"}, {"REQUEST_METHOD", "POST"}, {"HTTP_TRACE_ID", "0123456789abcdef"},
		{"HTTP_RESERVE_KB", "1"}, {"HTTP_ACCEPTED_AT_MS", strconv.FormatInt(time.Now().UnixMilli(), 10)}} {
		params = appendPair(params, p[0], p[1])
	}
	return []record{{typeBegin, 1, []byte{0, 1, 1, 0, 0, 0, 0, 0}}, {typeParams, 1, params}, {typeParams, 1, nil},
		{typeStdin, 1, []byte("ok")}, {typeStdin, 1, nil}}
}

// blocker is a handler that keeps the loop from its work.
type blocker struct{ begun, end chan struct{} }

func (b blocker) OnData([]byte) { close(b.begun); <-b.end }
func (b blocker) OnClose(error) {}

// TestUnreadIsNotIdle: a request came while the loop stood still. The end of idle
// connections does not take it away unread, as it may have come too long before that to be
// sent again, and a full table counts it among the half messages. It is handed over once
// the loop goes on.
func TestUnreadIsNotIdle(t *testing.T) {
	f := newTestFront(t)
	b := blocker{make(chan struct{}), make(chan struct{})}
	ln, err := f.loop.Listen("127.0.0.1:0", func(*eventloop.Conn) eventloop.Handler { return b }, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer ln.Close()
	stuck, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer stuck.Close()
	_, err = stuck.Write([]byte("x"))
	require.NoError(t, err)
	<-b.begun
	goOn := sync.OnceFunc(func() { close(b.end) })
	defer goOn()
	c, peer := f.connect()
	var request []byte
	for _, r := range wholeRequest() {
		request = append(appendHeader(request, r.kind, r.id, len(r.content)), r.content...)
	}
	_, err = peer.Write(request)
	require.NoError(t, err)
	require.Eventually(t, c.HasPartialMessage, 10*time.Second, time.Millisecond)
	require.False(t, c.CloseIdle(time.Now().Add(time.Hour), 0))
	goOn()
	var got []exchange.Event
	require.Eventually(t, func() bool { got = append(got, f.x.Dequeue(nil)...); return len(got) > 0 }, 10*time.Second, time.Millisecond)
	require.IsType(t, &exchange.Request{}, got[0])
}

// gate is a connection whose bytes the loop has read, and hands over once it may.
type gate struct {
	*conn
	begun, open chan struct{}
}

func (g gate) OnData(b []byte) {
	close(g.begun)
	<-g.open
	g.conn.OnData(b)
}

// TestReadIsNotIdle: the loop has read a request and has not begun it yet when idle
// connections are ended, room is made, or what is late is ended. It is handed over all the same.
func TestReadIsNotIdle(t *testing.T) {
	f := newTestFront(t)
	made := make(chan gate, 1)
	ln, err := f.loop.Listen("127.0.0.1:0", func(s *eventloop.Conn) eventloop.Handler {
		g := gate{f.newConn(s), make(chan struct{}), make(chan struct{})}
		made <- g
		return g
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer peer.Close()
	var request []byte
	for _, r := range wholeRequest() {
		request = append(appendHeader(request, r.kind, r.id, len(r.content)), r.content...)
	}
	_, err = peer.Write(request)
	require.NoError(t, err)
	g := <-made
	<-g.begun
	require.True(t, g.HasUnread())
	require.True(t, g.HasPartialMessage())
	require.False(t, g.CloseIdle(time.Now().Add(time.Hour), 0))
	close(g.open)
	var got []exchange.Event
	require.Eventually(t, func() bool { got = append(got, f.x.Dequeue(nil)...); return len(got) > 0 }, 10*time.Second, time.Millisecond)
	require.IsType(t, &exchange.Request{}, got[0])
	require.Eventually(t, func() bool { return !g.HasUnread() }, 10*time.Second, time.Millisecond)
}

// testFront is a front whose connections the test has in hand.
type testFront struct {
	*testing.T
	*Frontend
	loop *eventloop.Loop
	addr string
	made chan *conn
}

func newTestFront(t *testing.T) *testFront {
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	f := &testFront{T: t, Frontend: New(exchange.New(10), map[string]frontend.Class{"nom-submit": {}}, zap.NewNop()), loop: loop, made: make(chan *conn, 1)}
	ln, err := loop.Listen("127.0.0.1:0", func(s *eventloop.Conn) eventloop.Handler {
		c := f.newConn(s)
		f.made <- c
		return c
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	f.addr = ln.Addr().String()
	return f
}

// connect opens a connection, and returns both its ends.
func (f *testFront) connect() (*conn, net.Conn) {
	c, err := net.Dial("tcp", f.addr)
	require.NoError(f, err)
	f.Cleanup(func() { c.Close() })
	return <-f.made, c
}

// TestNothingBeginsAfterTheEnd: the core ends a connection between two records of a
// request on it. What was not whole by then is never handed over: it would run, and its
// answer would find no connection.
func TestNothingBeginsAfterTheEnd(t *testing.T) {
	f := newTestFront(t)
	x := f.x
	connect := func() *conn { c, _ := f.connect(); return c }
	request := wholeRequest()
	for n := range request { // the end comes before the n-th record
		c := connect()
		for i, r := range request {
			if i == n {
				c.Drain()
			}
			require.NoError(t, c.record(r))
		}
		require.Empty(t, x.Dequeue(nil), n)
		require.Zero(t, c.Open, n)
	}
	c := connect() // its connection is lost between its last record and the hand-over
	for _, r := range request[:4] {
		require.NoError(t, c.record(r))
	}
	lost := c.calls[1]
	c.OnClose(nil)
	c.handOver(lost, &exchange.Request{Responder: lost})
	require.Empty(t, x.Dequeue(nil))
	c = connect() // and without an end it is handed over
	for _, r := range request {
		require.NoError(t, c.record(r))
	}
	require.Len(t, x.Dequeue(nil), 1)
	c.Lock()
	half := &call{conn: c, id: 2, complete: true}
	c.calls[2] = half
	c.Open++
	c.Unlock()
	c.Drain()
	require.NoError(t, c.stdin(half, nil), "its record was looked at before the end")
	require.Empty(t, x.Dequeue(nil))
	require.Equal(t, 1, c.Open, "the answer that is owed")
}
