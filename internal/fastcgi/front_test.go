package fastcgi

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/exchange"
	"oxbowbridge/internal/front"
	"oxbowbridge/internal/socket"
)

// TestNothingBeginsAfterTheEnd: the core ends a connection between two records of a
// request on it. What was not whole by then is never handed over: it would run, and its
// answer would find no connection.
func TestNothingBeginsAfterTheEnd(t *testing.T) {
	loop, err := socket.New(4)
	require.NoError(t, err)
	defer loop.Stop()
	x := exchange.New(10)
	f := New(x, map[string]front.Class{"nom-submit": {}}, zap.NewNop())
	made := make(chan *conn, 1)
	ln, err := loop.Listen("127.0.0.1:0", func(s *socket.Conn) socket.Handler {
		c := &conn{front: f, Base: front.Base{Conn: s, Used: time.Now()}, calls: map[uint16]*call{}}
		made <- c
		return c
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer ln.Close()
	connect := func() *conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return <-made
	}
	var params []byte
	for _, p := range [][2]string{{"SCRIPT_NAME", "/call/nom-submit"}, {"REQUEST_METHOD", "POST"}, {"HTTP_TRACE_ID", "0123456789abcdef"},
		{"HTTP_RESERVE_KB", "1"}, {"HTTP_ACCEPTED_AT_MS", strconv.FormatInt(time.Now().UnixMilli(), 10)}} {
		params = appendPair(params, p[0], p[1])
	}
	request := []record{{typeBegin, 1, []byte{0, 1, 1, 0, 0, 0, 0, 0}}, {typeParams, 1, params}, {typeParams, 1, nil},
		{typeStdin, 1, []byte("ok")}, {typeStdin, 1, nil}}
	for n := range request { // the end comes before the n-th record
		c := connect()
		for i, r := range request {
			if i == n {
				c.Finish()
			}
			require.NoError(t, c.record(r))
		}
		require.Empty(t, x.Take(nil), n)
		require.Zero(t, c.Open, n)
	}
	c := connect() // its connection is lost between its last record and the hand-over
	for _, r := range request[:4] {
		require.NoError(t, c.record(r))
	}
	lost := c.calls[1]
	c.Closed(nil)
	c.handOver(lost, &exchange.Request{From: lost})
	require.Empty(t, x.Take(nil))
	c = connect() // and without an end it is handed over
	for _, r := range request {
		require.NoError(t, c.record(r))
	}
	require.Len(t, x.Take(nil), 1)
	c.Lock()
	half := &call{conn: c, id: 2, complete: true}
	c.calls[2] = half
	c.Open++
	c.Unlock()
	c.Finish()
	require.NoError(t, c.stdin(half, nil), "its record was looked at before the end")
	require.Empty(t, x.Take(nil))
	require.Equal(t, 1, c.Open, "the answer that is owed")
}
