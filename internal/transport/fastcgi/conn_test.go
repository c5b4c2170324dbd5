package fastcgi

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/testrig/looptest"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/frontend"
)

// completeRequestRecords returns the records of a complete request.
func completeRequestRecords() []record {
	var params []byte
	for _, p := range [][2]string{{"SCRIPT_NAME", "/call/nom-submit"}, {"REQUEST_METHOD", "POST"}, {"HTTP_TRACE_ID", "0123456789abcdef"},
		{"HTTP_RESERVE_KB", "1"}, {"HTTP_ACCEPTED_AT_MS", strconv.FormatInt(time.Now().UnixMilli(), 10)}} {
		params = appendPair(params, p[0], p[1])
	}
	return []record{{typeBeginRequest, 1, []byte{0, 1, 1, 0, 0, 0, 0, 0}}, {typeParams, 1, params}, {typeParams, 1, nil},
		{typeStdin, 1, []byte("ok")}, {typeStdin, 1, nil}}
}

// encodeRecords returns the bytes of records without padding, with the given request id.
func encodeRecords(id uint16, records []record) (encoded []byte) {
	for _, r := range records {
		encoded = append(appendHeader(encoded, r.recordType, id, len(r.content)), r.content...)
	}
	return encoded
}

// blockingHandler is a handler that blocks the event loop until unblock is closed.
type blockingHandler struct{ started, unblock chan struct{} }

func (b blockingHandler) OnData([]byte) { close(b.started); <-b.unblock }
func (b blockingHandler) OnClose(error) {}

// TestUnreadInputIsNotIdle sends a request while the event loop is blocked. The connection must not be closed as
// idle, since the request may have been sent too long before the close to be retried. It must count as one with
// a partial message when connections are evicted. The request must be submitted once the loop continues.
func TestUnreadInputIsNotIdle(t *testing.T) {
	f := newTestFrontend(t)
	unblock := f.blockLoop()
	c, peer := f.Connect()
	_, err := peer.Write(encodeRecords(1, completeRequestRecords()))
	require.NoError(t, err)
	require.Eventually(t, c.HasPartialMessage, 10*time.Second, time.Millisecond)
	require.False(t, c.CloseIfIdle(time.Now().Add(time.Hour), 0))
	unblock()
	var got []exchange.Event
	require.Eventually(t, func() bool { got = append(got, f.Exchange.Dequeue(nil)...); return len(got) > 0 }, 10*time.Second, time.Millisecond)
	require.IsType(t, &exchange.Request{}, got[0])
}

// delayedConn is a connection that does not parse received bytes until unblock is closed.
type delayedConn struct {
	*conn
	started, unblock chan struct{}
}

func (g delayedConn) OnData(b []byte) {
	close(g.started)
	<-g.unblock
	g.conn.OnData(b)
}

// TestUnparsedInputIsNotIdle checks a connection whose request the loop has read but not parsed when idle or
// stalled connections are closed or evicted. The connection must stay open and the request must be submitted.
func TestUnparsedInputIsNotIdle(t *testing.T) {
	f := newTestFrontend(t)
	server := looptest.NewServer(t, func(raw *eventloop.Conn) delayedConn {
		return delayedConn{f.newConn(raw), make(chan struct{}), make(chan struct{})}
	})
	g, peer := server.Connect()
	_, err := peer.Write(encodeRecords(1, completeRequestRecords()))
	require.NoError(t, err)
	<-g.started
	require.True(t, g.HasUnhandledInput())
	require.True(t, g.HasPartialMessage())
	require.False(t, g.CloseIfIdle(time.Now().Add(time.Hour), 0))
	close(g.unblock)
	var got []exchange.Event
	require.Eventually(t, func() bool { got = append(got, f.Exchange.Dequeue(nil)...); return len(got) > 0 }, 10*time.Second, time.Millisecond)
	require.IsType(t, &exchange.Request{}, got[0])
	require.Eventually(t, func() bool { return !g.HasUnhandledInput() }, 10*time.Second, time.Millisecond)
}

// testFrontend is a frontend that makes its accepted connections available to the test.
type testFrontend struct {
	*testing.T
	*Frontend
	*looptest.Server[*conn]
}

func newTestFrontend(t *testing.T) *testFrontend {
	return newConfiguredFrontend(t, func(*Frontend) {})
}

// newConfiguredFrontend is newTestFrontend with a change to the frontend before connections are accepted.
func newConfiguredFrontend(t *testing.T, configure func(*Frontend)) *testFrontend {
	f := New(exchange.New(10), map[string]frontend.Class{"nom-submit": {}}, zap.NewNop())
	configure(f)
	return &testFrontend{t, f, looptest.NewServer(t, f.newConn)}
}

// TestNoRequestBeginsAfterDrain checks that a request is never submitted if the dispatcher drains its connection
// before the request has arrived completely. Otherwise the request would run although its response cannot be
// sent.
func TestNoRequestBeginsAfterDrain(t *testing.T) {
	f := newTestFrontend(t)
	x := f.Exchange
	connect := func() *conn { c, _ := f.Connect(); return c }
	request := completeRequestRecords()
	for n := range request { // drains before record n
		c := connect()
		for i, r := range request {
			if i == n {
				c.Drain()
			}
			require.NoError(t, c.handleRecord(r))
		}
		require.Empty(t, x.Dequeue(nil), n)
		require.Zero(t, c.OpenRequests(), n)
	}
	c := connect() // the connection is lost between the last record and the submission
	for _, r := range request[:4] {
		require.NoError(t, c.handleRecord(r))
	}
	lost := c.openRequests[1]
	c.OnClose(nil)
	c.submitOrReject(lost, &exchange.Request{Responder: lost})
	require.Empty(t, x.Dequeue(nil))
	c = connect() // without a drain the request is submitted
	for _, r := range request {
		require.NoError(t, c.handleRecord(r))
	}
	require.Len(t, x.Dequeue(nil), 1)
	c.Lock()
	incomplete := &openRequest{conn: c, id: 2, paramsEnded: true}
	c.openRequests[2] = incomplete
	c.RequestStarted(&incomplete.OpenRequest)
	c.Unlock()
	c.Drain()
	require.NoError(t, c.appendBody(incomplete, nil), "a record that was read before the drain")
	require.Empty(t, x.Dequeue(nil))
	require.Equal(t, 1, c.OpenRequests(), "one response must still be pending")
}
