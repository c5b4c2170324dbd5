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

// TestDeregisterWhileOpening: a socket that finishes opening after Deregister does not list a
// service again that takes no more work.
func TestDeregisterWhileOpening(t *testing.T) {
	list, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { list.Close() })
	x := exchange.New(10)
	r := New(list.LocalAddr().String(), "n3", session.Config{Exchange: x, Timers: &timerqueue.Queue{},
		Now: func() time.Duration { return 0 }, Log: zap.NewNop()})
	r.Register()
	r.Deregister()
	r.SetAvailable(true)
	<-x.WakeupChan() // the socket is open
	for _, e := range x.Dequeue(nil) {
		e.(exchange.Callback)()
	}
	require.NoError(t, list.SetReadDeadline(time.Now().Add(10*time.Second)))
	b := make([]byte, 100)
	n, _, err := list.ReadFrom(b)
	require.NoError(t, err)
	require.Equal(t, "PULSE n3 closed", string(b[:n]))
}
