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

// TestGoldenReports: the bytes of each report, the order of reports over a change of state,
// a move to another address and the end, after which no report follows.
func TestGoldenReports(t *testing.T) {
	listen := func() net.PacketConn {
		list, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { list.Close() })
		return list
	}
	first, second := listen(), listen()
	x, due, now := exchange.New(10), &timerqueue.Queue{}, time.Duration(0)
	l := New(first.LocalAddr().String(), "n3", session.Config{Exchange: x, Timers: due, Now: func() time.Duration { return now }, Log: zap.NewNop()})
	hears := func(list net.PacketConn, want string) {
		t.Helper()
		b := make([]byte, 100)
		n := 0
		require.Eventually(t, func() (heard bool) {
			for _, e := range x.Dequeue(nil) {
				e.(exchange.Callback)()
			}
			list.SetReadDeadline(time.Now().Add(time.Millisecond))
			n, _, _ = list.ReadFrom(b)
			return n > 0
		}, 10*time.Second, time.Millisecond)
		require.Equal(t, want, string(b[:n]))
	}
	advance := func(d time.Duration) {
		now += d
		due.RunDue(now)
	}
	l.SetAvailable(false) // nothing is reported before Open
	l.SetAvailable(true)
	l.Register()
	hears(first, "PULSE n3 open")
	advance(299 * time.Millisecond)
	advance(time.Millisecond) // the period
	hears(first, "PULSE n3 open")
	l.SetAvailable(false)
	hears(first, "PULSE n3 closed")
	l.SetAvailable(false) // no change, no report
	advance(300 * time.Millisecond)
	hears(first, "PULSE n3 closed")
	l.SetAvailable(true)
	hears(first, "PULSE n3 open")
	l.SetAddress(second.LocalAddr().String())
	hears(second, "PULSE n3 open")
	l.Deregister()
	hears(second, "PULSE n3 closed")
	l.SetAvailable(true)
	advance(time.Second)
	for _, list := range []net.PacketConn{first, second} {
		require.NoError(t, list.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		n, _, err := list.ReadFrom(make([]byte, 100))
		require.Error(t, err)
		require.Zero(t, n)
	}
}
