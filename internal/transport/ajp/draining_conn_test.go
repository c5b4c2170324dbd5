package ajp

import (
	"io"
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

// TestDrainingConnectionTellsWebServer guards against requests without a response: the web server must not reuse a
// connection that drains, and a request whose body is incomplete is rejected.
func TestDrainingConnectionTellsWebServer(t *testing.T) {
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
		"reserve-kb", "1", "accepted-at-ms", strconv.FormatInt(time.Now().UnixMilli(), 10)))
	noReuse := encodePacket(magicToWebServer, []byte{codeEndResponse, 0})
	for what, respond := range map[string]func(*conn, net.Conn){
		"complete": func(c *conn, peer net.Conn) {
			_, err := peer.Write(append(forward, encodeRequestBodyChunk([]byte("ok"))...))
			require.NoError(t, err)
			var submitted []exchange.Event
			require.Eventually(t, func() bool { submitted = x.Dequeue(submitted); return len(submitted) == 1 }, 10*time.Second, time.Millisecond)
			c.Drain()
			submitted[0].(*exchange.Request).Responder.Respond(exchange.Response{Kind: exchange.Succeeded})
		},
		"incomplete": func(c *conn, peer net.Conn) {
			_, err := peer.Write(forward)
			require.NoError(t, err)
			require.Eventually(t, func() bool { c.Lock(); defer c.Unlock(); return c.OpenRequests() == 1 }, 10*time.Second, time.Millisecond)
			c.Drain()
		},
	} {
		peer, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer peer.Close()
		require.NoError(t, peer.SetDeadline(time.Now().Add(10*time.Second)))
		respond(<-conns, peer)
		response, err := io.ReadAll(peer)
		require.NoError(t, err, what)
		require.Greater(t, len(response), len(noReuse), what)
		require.Equal(t, noReuse, response[len(response)-len(noReuse):], what)
	}
}
