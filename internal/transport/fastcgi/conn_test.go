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

// completeRequest is one, record by record.
func completeRequest() []record {
	var params []byte
	for _, p := range [][2]string{{"SCRIPT_NAME", "/call/nom-submit"}, {"REQUEST_METHOD", "POST"}, {"HTTP_TRACE_ID", "0123456789abcdef"},
		{"HTTP_RESERVE_KB", "1"}, {"HTTP_ACCEPTED_AT_MS", strconv.FormatInt(time.Now().UnixMilli(), 10)}} {
		params = appendPair(params, p[0], p[1])
	}
	return []record{{typeBeginRequest, 1, []byte{0, 1, 1, 0, 0, 0, 0, 0}}, {typeParams, 1, params}, {typeParams, 1, nil},
		{typeStdin, 1, []byte("ok")}, {typeStdin, 1, nil}}
}

// blocker is a handler that blocks the event loop until end is closed.
type blocker struct{ begun, end chan struct{} }

func (b blocker) OnData([]byte) { close(b.begun); <-b.end }
func (b blocker) OnClose(error) {}

// TestUnreadInputIsNotIdle: a request arrives while the event loop stands still. Closing idle
// connections does not drop it unread, as it may have come too long before that to be sent
// again, and a full table counts it among the partial messages. It is submitted once the loop
// goes on.
func TestUnreadInputIsNotIdle(t *testing.T) {
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
	for _, r := range completeRequest() {
		request = append(appendHeader(request, r.kind, r.id, len(r.content)), r.content...)
	}
	_, err = peer.Write(request)
	require.NoError(t, err)
	require.Eventually(t, c.HasPartialMessage, 10*time.Second, time.Millisecond)
	require.False(t, c.CloseIfIdle(time.Now().Add(time.Hour), 0))
	goOn()
	var got []exchange.Event
	require.Eventually(t, func() bool { got = append(got, f.Exchange.Dequeue(nil)...); return len(got) > 0 }, 10*time.Second, time.Millisecond)
	require.IsType(t, &exchange.Request{}, got[0])
}

// gate is a connection that parses what the loop has read once open is closed.
type gate struct {
	*conn
	begun, open chan struct{}
}

func (g gate) OnData(b []byte) {
	close(g.begun)
	<-g.open
	g.conn.OnData(b)
}

// TestUnparsedInputIsNotIdle: the loop has read a request and not parsed it yet when idle or
// stalled connections are closed, or one is evicted. It is submitted all the same.
func TestUnparsedInputIsNotIdle(t *testing.T) {
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
	for _, r := range completeRequest() {
		request = append(appendHeader(request, r.kind, r.id, len(r.content)), r.content...)
	}
	_, err = peer.Write(request)
	require.NoError(t, err)
	g := <-made
	<-g.begun
	require.True(t, g.HasUnhandledInput())
	require.True(t, g.HasPartialMessage())
	require.False(t, g.CloseIfIdle(time.Now().Add(time.Hour), 0))
	close(g.open)
	var got []exchange.Event
	require.Eventually(t, func() bool { got = append(got, f.Exchange.Dequeue(nil)...); return len(got) > 0 }, 10*time.Second, time.Millisecond)
	require.IsType(t, &exchange.Request{}, got[0])
	require.Eventually(t, func() bool { return !g.HasUnhandledInput() }, 10*time.Second, time.Millisecond)
}

// testFront is a frontend whose connections the test controls.
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

// TestNoRequestBeginsAfterDrain: the dispatcher drains a connection between two records of a
// request on it. What is incomplete by then is never submitted: it would run, and its answer
// would find no connection.
func TestNoRequestBeginsAfterDrain(t *testing.T) {
	f := newTestFront(t)
	x := f.Exchange
	connect := func() *conn { c, _ := f.connect(); return c }
	request := completeRequest()
	for n := range request { // the drain comes before the n-th record
		c := connect()
		for i, r := range request {
			if i == n {
				c.Drain()
			}
			require.NoError(t, c.record(r))
		}
		require.Empty(t, x.Dequeue(nil), n)
		require.Zero(t, c.OpenRequests(), n)
	}
	c := connect() // its connection is lost between its last record and the submission
	for _, r := range request[:4] {
		require.NoError(t, c.record(r))
	}
	lost := c.openRequests[1]
	c.OnClose(nil)
	c.submit(lost, &exchange.Request{Responder: lost})
	require.Empty(t, x.Dequeue(nil))
	c = connect() // and without a drain it is submitted
	for _, r := range request {
		require.NoError(t, c.record(r))
	}
	require.Len(t, x.Dequeue(nil), 1)
	c.Lock()
	half := &openRequest{conn: c, id: 2, paramsEnded: true}
	c.openRequests[2] = half
	c.RequestStarted()
	c.Unlock()
	c.Drain()
	require.NoError(t, c.appendBody(half, nil), "its record was looked at before the drain")
	require.Empty(t, x.Dequeue(nil))
	require.Equal(t, 1, c.OpenRequests(), "the answer that is pending")
}
