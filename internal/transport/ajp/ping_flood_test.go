package ajp

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestShortAnswersAreSentTogether guards against a caller that delays all others: the answers to thousands of short
// messages that arrive at once must not take a system call each.
func TestShortAnswersAreSentTogether(t *testing.T) {
	const (
		pings       = 3000 // fewer bytes than one read takes
		maxSegments = 30
	)
	_, peer := newTestFrontend(t).Connect()
	require.NoError(t, peer.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := peer.Write(bytes.Repeat(encodePacket(magicToServer, []byte{codeCPing}), pings))
	require.NoError(t, err)
	answers := bytes.Repeat(encodePacket(magicToWebServer, []byte{codeCPong}), pings)
	received := make([]byte, len(answers))
	_, err = io.ReadFull(peer, received)
	require.NoError(t, err)
	require.Equal(t, answers, received)
	require.LessOrEqual(t, receivedSegments(t, peer.(*net.TCPConn)), maxSegments)
}

// receivedSegments returns the number of segments with data that a connection has received.
func receivedSegments(t *testing.T, c *net.TCPConn) (segments int) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		require.NoError(t, err)
		segments = int(info.Data_segs_in)
	}))
	return segments
}
