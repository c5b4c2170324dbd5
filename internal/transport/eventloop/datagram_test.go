package eventloop

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// nameless is a socket whose own address the system does not tell: whoever asks
// gets the nil that net gives then, and may panic on it as nbio does.
type nameless struct {
	*net.UDPConn
	t *testing.T
}

func (n nameless) LocalAddr() net.Addr {
	n.t.Error("asked for the socket's own address, which may be unknown")
	return nil
}

// TestDatagramConnNeedsNoLocalAddress: datagrams are sent by a socket that can't tell its own
// address, also after one that nobody received.
func TestDatagramConnNeedsNoLocalAddress(t *testing.T) {
	list, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := list.LocalAddr().String()
	conn, err := net.Dial("udp", addr)
	require.NoError(t, err)
	d, err := newDatagramConn(nameless{conn.(*net.UDPConn), t})
	require.NoError(t, err)
	defer d.Close()
	heard := func(want string) {
		b := make([]byte, 64)
		require.NoError(t, list.SetReadDeadline(time.Now().Add(10*time.Second)))
		n, _, err := list.ReadFrom(b)
		require.NoError(t, err)
		require.Equal(t, want, string(b[:n]))
	}
	require.NoError(t, d.Send([]byte("PULSE n3 open")))
	heard("PULSE n3 open")
	require.NoError(t, list.Close())
	require.Eventually(t, func() bool { return d.Send([]byte("PULSE n3 lost")) != nil }, 10*time.Second, time.Millisecond)
	list, err = net.ListenPacket("udp", addr)
	require.NoError(t, err)
	defer list.Close()
	d.Send([]byte("PULSE n3 back")) // may be told of the last one, and leaves all the same
	heard("PULSE n3 back")
}
