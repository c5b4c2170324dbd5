// Package looptest gives tests both ends of connections that an event loop accepts.
package looptest

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/transport/eventloop"
)

// maxLingering is the number of lingering connections of the loop.
const maxLingering = 4

// Server accepts connections on a loopback address. C is the type of their handlers.
type Server[C eventloop.Handler] struct {
	Loop     *eventloop.Loop // stopped at the end of the test
	t        testing.TB
	address  string
	accepted chan C
}

// NewServer starts a loop that accepts connections, with the handler that newHandler creates for each.
func NewServer[C eventloop.Handler](t testing.TB, newHandler func(*eventloop.Conn) C) *Server[C] {
	t.Helper()
	loop, err := eventloop.New(maxLingering)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	s := &Server[C]{Loop: loop, t: t, accepted: make(chan C, 1)}
	accept := func(raw *eventloop.Conn) eventloop.Handler {
		handler := newHandler(raw)
		s.accepted <- handler
		return handler
	}
	listener, err := loop.Listen("127.0.0.1:0", accept, func(err error) { t.Error(err) })
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	s.address = listener.Addr().String()
	return s
}

// Connect opens a connection and returns the handler of the accepting end and the other end, which is closed at the end of
// the test.
func (s *Server[C]) Connect() (C, net.Conn) {
	s.t.Helper()
	peer, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { peer.Close() })
	return <-s.accepted, peer
}
