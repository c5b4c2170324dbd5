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

// TestNoRequestBeginsAfterDrain checks that a request is never submitted if the dispatcher closes or drains its
// connection before the request has arrived completely. Otherwise the request would run although its response
// cannot be sent.
func TestNoRequestBeginsAfterDrain(t *testing.T) {
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	defer loop.Stop()
	x := exchange.New(10)
	f := NewFrontend(x, map[string]frontend.Class{"nom-submit": {}}, "", zap.NewNop())
	conns := make(chan *conn, 1)
	ln, err := loop.Listen("127.0.0.1:0", func(s *eventloop.Conn) eventloop.Handler {
		c := f.newConn(s)
		conns <- c
		return c
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer ln.Close()
	forward := encodeForwardRequest("/call/nom-submit", "", newHeaders("trace-id", "0123456789abcdef", "content-length", "2",
		"reserve-kb", "1", "accepted-at-ms", strconv.FormatInt(time.Now().UnixMilli(), 10)))[5:]
	chunk := encodeRequestBodyChunk([]byte("ok"))[4:]
	connect := func() *conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return <-conns
	}

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
