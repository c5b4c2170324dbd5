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

// TestNoRequestBeginsAfterDrain: the dispatcher closes or drains a connection between two steps
// of reading a request on it. What is incomplete by then is never submitted: it would run, and
// its answer would find no connection.
func TestNoRequestBeginsAfterDrain(t *testing.T) {
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	defer loop.Stop()
	x := exchange.New(10)
	f := NewFrontend(x, map[string]frontend.Class{"nom-submit": {}}, "", zap.NewNop())
	made := make(chan *conn, 1)
	ln, err := loop.Listen("127.0.0.1:0", func(s *eventloop.Conn) eventloop.Handler {
		c := f.newConn(s)
		made <- c
		return c
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer ln.Close()
	forward := forwardPacket("/call/nom-submit", "", headers("trace-id", "0123456789abcdef", "content-length", "2",
		"reserve-kb", "1", "accepted-at-ms", strconv.FormatInt(time.Now().UnixMilli(), 10)))[5:]
	piece := requestChunkPacket([]byte("ok"))[4:]
	connect := func() *conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return <-made
	}

	c := connect()
	require.True(t, c.CloseIfIdle(time.Now().Add(time.Hour), 0))
	require.NoError(t, c.forwardRequest(forward), "looked at before the close")
	require.Nil(t, c.open)

	c = connect()
	require.NoError(t, c.forwardRequest(forward))
	half := c.open
	require.NotNil(t, half)
	c.Drain()
	require.NoError(t, c.bodyChunk(half, piece), "looked at before the close")
	require.Empty(t, x.Dequeue(nil))
	require.Zero(t, c.OpenRequests())

	c = connect() // its connection is lost between its last piece and the hand-over
	require.NoError(t, c.forwardRequest(forward))
	half = c.open
	c.OnClose(nil)
	c.submit(half, &exchange.Request{Responder: half})
	require.Empty(t, x.Dequeue(nil))

	c = connect() // and without an end it is handed over
	require.NoError(t, c.forwardRequest(forward))
	require.NoError(t, c.bodyChunk(c.open, piece))
	require.Len(t, x.Dequeue(nil), 1)
}
