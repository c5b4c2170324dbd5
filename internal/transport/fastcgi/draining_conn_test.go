package fastcgi

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
)

// requireEndRequest reads the next record and requires that it ends the request with the protocol status.
func requireEndRequest(t *testing.T, peer net.Conn, id uint16, status byte) {
	t.Helper()
	want := appendEndRequest(nil, id, status)
	got := make([]byte, len(want))
	_, err := io.ReadFull(peer, got)
	require.NoError(t, err, "request %d", id)
	require.Equal(t, want, got, "request %d", id)
}

// TestRequestsOnDrainingConnectionAreRejected guards against requests without a response: a caller does not know that its
// connection drains while an earlier request is open, and goes on sending.
func TestRequestsOnDrainingConnectionAreRejected(t *testing.T) {
	f := newTestFrontend(t)
	c, peer := f.Connect()
	require.NoError(t, peer.SetDeadline(time.Now().Add(10*time.Second)))
	request := completeRequestRecords()
	_, err := peer.Write(encodeRecords(1, request))
	require.NoError(t, err)
	_, err = peer.Write(encodeRecords(2, request[:len(request)-1]))
	require.NoError(t, err)
	openRequests := func() int { c.Lock(); defer c.Unlock(); return c.OpenRequests() }
	require.Eventually(t, func() bool { return openRequests() == 2 }, 10*time.Second, time.Millisecond)
	submitted := f.Exchange.Dequeue(nil)
	require.Len(t, submitted, 1)

	c.Drain()
	requireEndRequest(t, peer, 2, statusOverloaded)
	large := append([]record{}, request...)
	large[3].content = bytes.Repeat([]byte("x"), 2<<10)
	for id := uint16(3); id < 100; id++ { // more bytes than maxSkippedBytes
		_, err = peer.Write(encodeRecords(id, large))
		require.NoError(t, err)
		requireEndRequest(t, peer, id, statusOverloaded)
	}
	require.Empty(t, f.Exchange.Dequeue(nil), "submitted after the drain")

	submitted[0].(*exchange.Request).Responder.Respond(exchange.Response{Kind: exchange.Succeeded, Body: []byte("result")})
	response, err := io.ReadAll(peer)
	require.NoError(t, err, "the connection must be closed without a reset")
	require.Contains(t, string(response), "result")
	require.True(t, bytes.HasSuffix(response, appendEndRequest(nil, 1, statusRequestComplete)))
}
