package registry

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/session"
)

// TestDeregisterWhileOpening guards against a service that is listed as available again after Deregister,
// because a socket was still being opened at that time.
func TestDeregisterWhileOpening(t *testing.T) {
	registry, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { registry.Close() })
	x := exchange.New(10)
	r := New(registry.LocalAddr().String(), "n3", session.Config{Exchange: x, Timers: &timerqueue.Queue{},
		Now: func() time.Duration { return 0 }, Log: zap.NewNop()})
	r.Register()
	r.Deregister()
	r.SetAvailable(true)
	<-x.WakeupChan() // the socket is open
	for _, e := range x.Dequeue(nil) {
		e.(exchange.Callback)()
	}
	require.NoError(t, registry.SetReadDeadline(time.Now().Add(10*time.Second)))
	b := make([]byte, 100)
	n, _, err := registry.ReadFrom(b)
	require.NoError(t, err)
	require.Equal(t, "PULSE n3 closed", string(b[:n]))
}
