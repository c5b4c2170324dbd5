package eventloop

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connWithoutLocalAddr is a UDP socket whose local address is unknown. LocalAddr returns nil, as package net
// does in that case, and fails the test: nbio panics on that nil.
type connWithoutLocalAddr struct {
	*net.UDPConn
	t *testing.T
}

func (n connWithoutLocalAddr) LocalAddr() net.Addr {
	n.t.Error("LocalAddr was called, but the local address may be unknown")
	return nil
}

// TestDatagramConnNeedsNoLocalAddress checks that a socket with an unknown local address sends datagrams,
// also after the system has reported that an earlier datagram was refused.
func TestDatagramConnNeedsNoLocalAddress(t *testing.T) {
	receiver, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := receiver.LocalAddr().String()
	conn, err := net.Dial("udp", addr)
	require.NoError(t, err)
	d, err := newDatagramConn(connWithoutLocalAddr{conn.(*net.UDPConn), t})
	require.NoError(t, err)
	defer d.Close()
	requireReceived := func(want string) {
		b := make([]byte, 64)
		require.NoError(t, receiver.SetReadDeadline(time.Now().Add(10*time.Second)))
		n, _, err := receiver.ReadFrom(b)
		require.NoError(t, err)
		require.Equal(t, want, string(b[:n]))
	}
	require.NoError(t, d.Send([]byte("PULSE n3 open")))
	requireReceived("PULSE n3 open")
	require.NoError(t, receiver.Close())
	require.Eventually(t, func() bool { return d.Send([]byte("PULSE n3 lost")) != nil }, 10*time.Second, time.Millisecond)
	receiver, err = net.ListenPacket("udp", addr)
	require.NoError(t, err)
	defer receiver.Close()
	d.Send([]byte("PULSE n3 back")) // may return the error of the previous datagram, but is sent
	requireReceived("PULSE n3 back")
}
