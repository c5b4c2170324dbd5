package ajp

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/frontend"
)

// testFrontend is a frontend that makes its accepted connections available to the test.
type testFrontend struct {
	*testing.T
	*Frontend
	addr     string
	accepted chan *conn
}

func newTestFrontend(t *testing.T) *testFrontend {
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	classes := map[string]frontend.Class{"nom-submit": {}}
	f := &testFrontend{T: t, Frontend: NewFrontend(exchange.New(10), classes, "", zap.NewNop()), accepted: make(chan *conn, 1)}
	ln, err := loop.Listen("127.0.0.1:0", func(raw *eventloop.Conn) eventloop.Handler {
		c := f.newConn(raw)
		f.accepted <- c
		return c
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	f.addr = ln.Addr().String()
	return f
}

// connect opens a connection and returns both ends.
func (f *testFrontend) connect() (*conn, net.Conn) {
	c, err := net.Dial("tcp", f.addr)
	require.NoError(f, err)
	f.Cleanup(func() { c.Close() })
	return <-f.accepted, c
}

// testForwardRequest returns the FORWARD_REQUEST packet of a request whose body has two bytes.
func testForwardRequest() []byte {
	return encodeForwardRequest("/call/nom-submit", "", newHeaders("trace-id", "0123456789abcdef", "content-length", "2",
		"reserve-kb", "1", "accepted-at-ms", strconv.FormatInt(time.Now().UnixMilli(), 10)))
}

// TestNoRequestBeginsAfterDrain checks that a request is never submitted if the dispatcher closes or drains its
// connection before the request has arrived completely. Otherwise the request would run although its response
// cannot be sent.
func TestNoRequestBeginsAfterDrain(t *testing.T) {
	f := newTestFrontend(t)
	x := f.Exchange
	forward := testForwardRequest()[packetHeaderBytes+1:]
	chunk := encodeRequestBodyChunk([]byte("ok"))[packetHeaderBytes:]
	connect := func() *conn { c, _ := f.connect(); return c }

	c := connect()
	require.True(t, c.CloseIfIdle(time.Now().Add(time.Hour), 0))
	require.NoError(t, c.handleForwardRequest(forward), "a packet that was read before the close")
	require.Nil(t, c.openReq)

	c = connect()
	require.NoError(t, c.handleForwardRequest(forward))
	incomplete := c.openReq
	require.NotNil(t, incomplete)
	c.Drain()
	require.NoError(t, c.handleBodyChunk(incomplete, chunk), "a packet that was read before the drain")
	require.Empty(t, x.Dequeue(nil))
	require.Zero(t, c.OpenRequests())

	c = connect() // the connection is lost between the last chunk and the submission
	require.NoError(t, c.handleForwardRequest(forward))
	incomplete = c.openReq
	c.OnClose(nil)
	c.submitOrReject(incomplete, &exchange.Request{Responder: incomplete})
	require.Empty(t, x.Dequeue(nil))

	c = connect() // without a close or drain the request is submitted
	require.NoError(t, c.handleForwardRequest(forward))
	require.NoError(t, c.handleBodyChunk(c.openReq, chunk))
	require.Len(t, x.Dequeue(nil), 1)
}
