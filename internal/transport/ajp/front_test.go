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

// TestNothingBeginsAfterTheEnd: the core ends a connection between two steps of reading a
// request on it, in either order. What was not whole by then is never handed over: it
// would run, and its answer would find no connection.
func TestNothingBeginsAfterTheEnd(t *testing.T) {
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	defer loop.Stop()
	x := exchange.New(10)
	f := NewFrontend(x, map[string]frontend.Class{"nom-submit": {}}, "", zap.NewNop())
	made := make(chan *conn, 1)
	ln, err := loop.Listen("127.0.0.1:0", func(s *eventloop.Conn) eventloop.Handler {
		c := &conn{front: f, Base: frontend.Base{Conn: s, Used: time.Now()}, parser: parser{magic: toServer}}
		made <- c
		return c
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer ln.Close()
	forward := appendForward("/call/nom-submit", "", [][2]string{{"trace-id", "0123456789abcdef"}, {"content-length", "2"},
		{"reserve-kb", "1"}, {"accepted-at-ms", strconv.FormatInt(time.Now().UnixMilli(), 10)}})[5:]
	piece := chunk([]byte("ok"))[4:]
	connect := func() *conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return <-made
	}

	c := connect()
	require.True(t, c.CloseIdle(time.Now().Add(time.Hour), 0))
	require.NoError(t, c.forward(forward), "looked at before the end")
	require.Nil(t, c.call)

	c = connect()
	require.NoError(t, c.forward(forward))
	half := c.call
	require.NotNil(t, half)
	c.Drain()
	require.NoError(t, c.chunk(half, piece), "looked at before the end")
	require.Empty(t, x.Dequeue(nil))
	require.Zero(t, c.Open)

	c = connect() // its connection is lost between its last piece and the hand-over
	require.NoError(t, c.forward(forward))
	half = c.call
	c.OnClose(nil)
	c.handOver(half, &exchange.Request{Responder: half})
	require.Empty(t, x.Dequeue(nil))

	c = connect() // and without an end it is handed over
	require.NoError(t, c.forward(forward))
	require.NoError(t, c.chunk(c.call, piece))
	require.Len(t, x.Dequeue(nil), 1)
}
