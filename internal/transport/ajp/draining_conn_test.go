package ajp

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
)

// TestDrainingConnectionTellsWebServer guards against requests without a response: the web server must not reuse a
// connection that drains, and a request whose body is incomplete is rejected.
func TestDrainingConnectionTellsWebServer(t *testing.T) {
	f := newTestFrontend(t)
	x := f.Exchange
	forward := testForwardRequest()
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
		c, peer := f.Connect()
		require.NoError(t, peer.SetDeadline(time.Now().Add(10*time.Second)))
		respond(c, peer)
		response, err := io.ReadAll(peer)
		require.NoError(t, err, what)
		require.Greater(t, len(response), len(noReuse), what)
		require.Equal(t, noReuse, response[len(response)-len(noReuse):], what)
	}
}
