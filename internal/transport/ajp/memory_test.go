package ajp

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/memquota"
	"oxbowbridge/internal/transport/frontend"
)

// TestLargestHolderIsRejected guards against exceeding the memory: if all connections together hold too much of
// incomplete requests, the largest holder gets a rejection and is closed, and the smaller one is served.
func TestLargestHolderIsRejected(t *testing.T) {
	input := memquota.Fixed(8 << 10)
	quotas := frontend.MemoryQuotas{Input: input, Output: memquota.Fixed(1 << 30)}
	f := newConfiguredFrontend(t, func(f *Frontend) { f.LimitMemory(quotas) })
	connect := func() (*conn, net.Conn) {
		c, peer := f.Connect()
		require.NoError(t, peer.SetDeadline(time.Now().Add(10*time.Second)))
		return c, peer
	}
	write := func(peer net.Conn, b []byte) {
		_, err := peer.Write(b)
		require.NoError(t, err)
	}
	requireClosed := func(peer net.Conn) (response []byte) {
		response, err := io.ReadAll(peer)
		require.NoError(t, err, "still open, or reset")
		return response
	}
	_, large := connect()
	_, small := connect()
	partialConn, partial := connect()
	write(large, encodeForwardRequest("/call/nom-submit", "", newHeaders("content-length", "2", "cookie", strings.Repeat("x", 4000))))
	require.Eventually(t, func() bool { return input.Used() > 4000 }, 10*time.Second, time.Millisecond)
	write(small, testForwardRequest())
	require.Eventually(t, func() bool { return input.Used() > 4500 }, 10*time.Second, time.Millisecond)

	packet := encodePacket(magicToServer, make([]byte, 8000))
	write(partial, packet[:3900])
	rejection := []byte{codeSendHeaders, 503 >> 8, 503 & 0xff}
	require.Equal(t, rejection, requireClosed(large)[packetHeaderBytes:][:len(rejection)])
	write(partial, packet[3900:7900])
	rejects := func() bool { partialConn.Lock(); defer partialConn.Unlock(); return partialConn.RejectsRequests() }
	require.Eventually(t, rejects, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return partialConn.CloseIfIdle(time.Now(), 0) }, 10*time.Second, time.Millisecond)
	require.Empty(t, requireClosed(partial), "no request has begun")

	write(small, encodeRequestBodyChunk([]byte("ok")))
	var submitted []exchange.Event
	require.Eventually(t, func() bool {
		submitted = append(submitted, f.Exchange.Dequeue(nil)...)
		return len(submitted) == 1
	}, 10*time.Second, time.Millisecond)
}
