package socket

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCloseTakesQueue: connections that the system accepted before the listener
// closes are taken, not reset.
func TestCloseTakesQueue(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts
	require.NoError(t, err)
	var taken []net.Conn
	done := make(chan struct{})
	close(done) // nobody accepts
	ln := &Listener{Listener: raw, done: done, take: func(c net.Conn) { taken = append(taken, c) }}
	for range 3 {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("x"))
		require.NoError(t, err)
	}
	require.NoError(t, ln.Close())
	require.Len(t, taken, 3)
	for _, c := range taken {
		b := make([]byte, 1)
		_, err := c.Read(b)
		require.NoError(t, err)
		require.Equal(t, "x", string(b))
		c.Close()
	}
}
