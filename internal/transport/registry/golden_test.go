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

// TestGoldenReports checks the bytes of each report, the reports after a change of availability and of the
// address, and that no report follows Deregister.
func TestGoldenReports(t *testing.T) {
	listenDatagram := func() net.PacketConn {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	first, second := listenDatagram(), listenDatagram()
	x, timers, now := exchange.New(10), &timerqueue.Queue{}, time.Duration(0)
	reporter := New(first.LocalAddr().String(), "n3", session.Config{Exchange: x, Timers: timers, Now: func() time.Duration { return now }, Log: zap.NewNop()})
	expectReport := func(conn net.PacketConn, want string) {
		t.Helper()
		b := make([]byte, 100)
		n := 0
		require.Eventually(t, func() (received bool) {
			for _, e := range x.Dequeue(nil) {
				e.(exchange.Callback)()
			}
			conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			n, _, _ = conn.ReadFrom(b)
			return n > 0
		}, 10*time.Second, time.Millisecond)
		require.Equal(t, want, string(b[:n]))
	}
	advance := func(d time.Duration) {
		now += d
		timers.RunDue(now)
	}
	reporter.SetAvailable(false) // nothing is reported before Register
	reporter.SetAvailable(true)
	reporter.Register()
	expectReport(first, "PULSE n3 open")
	advance(299 * time.Millisecond)
	advance(time.Millisecond) // the report interval has passed
	expectReport(first, "PULSE n3 open")
	reporter.SetAvailable(false)
	expectReport(first, "PULSE n3 closed")
	reporter.SetAvailable(false) // no change, no report
	advance(300 * time.Millisecond)
	expectReport(first, "PULSE n3 closed")
	reporter.SetAvailable(true)
	expectReport(first, "PULSE n3 open")
	reporter.SetAddress(second.LocalAddr().String())
	expectReport(second, "PULSE n3 open")
	reporter.Deregister()
	expectReport(second, "PULSE n3 closed")
	reporter.SetAvailable(true)
	advance(time.Second)
	for _, conn := range []net.PacketConn{first, second} {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		n, _, err := conn.ReadFrom(make([]byte, 100))
		require.Error(t, err)
		require.Zero(t, n)
	}
}
