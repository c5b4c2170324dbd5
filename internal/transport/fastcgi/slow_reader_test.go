package fastcgi

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/frontend"
)

const (
	sweepsUntilClosed = 10 // sweeps without progress after which a connection is closed
	noIdleTimeout     = time.Hour
	chunkBytes        = 64 << 10
)

// sweptConn is a connection of a listening frontend, with the peer's end. The test makes the sweeps.
type sweptConn struct {
	*testing.T
	frontend *Frontend
	*conn
	peer net.Conn
}

func newSweptConn(t *testing.T) *sweptConn {
	return newSweptConns(t, 1, func(*Frontend) {})[0]
}

// newSweptConns returns connections of one frontend, which configure may change before it listens.
func newSweptConns(t *testing.T, count int, configure func(*Frontend)) (conns []*sweptConn) {
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	f := New(exchange.New(10), map[string]frontend.Class{"nom-submit": {}}, zap.NewNop())
	configure(f)
	accepted := make(chan *conn, 1)
	pool := fdquota.NewConnPool(fdquota.Quotas{Connections: 10})
	require.NoError(t, f.Server.Listen(loop, "127.0.0.1:0", 10, pool, func(raw *eventloop.Conn) *frontend.Conn {
		c := f.newConn(raw)
		accepted <- c
		return c.Conn
	}))
	t.Cleanup(f.StopListening)
	for range count {
		peer, err := net.Dial("tcp", f.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { peer.Close() })
		require.NoError(t, peer.SetDeadline(time.Now().Add(20*time.Second)))
		conns = append(conns, &sweptConn{t, f, <-accepted, peer})
	}
	return conns
}

// sendRequest sends a complete request, so that no first request is due.
func (s *sweptConn) sendRequest() {
	_, err := s.peer.Write(encodeRecords(1, completeRequestRecords()))
	require.NoError(s, err)
	require.Eventually(s, func() bool { return len(s.frontend.Exchange.Dequeue(nil)) == 1 }, 10*time.Second, time.Millisecond)
}

// fillBuffers writes until the peer's and the own system take no more bytes, and returns how many were written.
func (s *sweptConn) fillBuffers() (written int) {
	for full := 0; full < 3; { // the systems may enlarge their buffers at first
		if s.PendingBytes() > 0 {
			full++
			time.Sleep(20 * time.Millisecond)
			continue
		}
		full = 0
		s.Write(make([]byte, chunkBytes))
		written += chunkBytes
	}
	return written
}

func (s *sweptConn) sweep() { s.frontend.CloseIdleAndStalled(noIdleTimeout) }

// TestSlowReaderIsNotAborted guards against lost responses: a caller that reads more slowly than responses are
// written, or less at a time than makes its system accept more, must not be taken for one that does not read.
func TestSlowReaderIsNotAborted(t *testing.T) {
	for name, tt := range map[string]struct{ readBytes, writtenBytes int }{
		"as fast as responses are written": {chunkBytes, chunkBytes},
		"slower than they are written":     {chunkBytes / 2, chunkBytes},
		"little at a time":                 {chunkBytes / 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSweptConn(t)
			s.sendRequest()
			unread := s.fillBuffers()
			for range sweepsUntilClosed + 2 {
				_, err := io.CopyN(io.Discard, s.peer, int64(tt.readBytes))
				require.NoError(t, err)
				s.Write(make([]byte, tt.writtenBytes))
				unread += tt.writtenBytes - tt.readBytes
				require.Positive(t, s.PendingBytes(), "the test must keep the buffers full")
				time.Sleep(10 * time.Millisecond) // for the acknowledgement
				s.sweep()
			}
			_, err := io.CopyN(io.Discard, s.peer, int64(unread))
			require.NoError(t, err, "aborted with responses that the caller would have read")
		})
	}
}

// TestReaderThatStopsIsAborted: a caller that reads nothing must not hold its connection and the unsent responses.
func TestReaderThatStopsIsAborted(t *testing.T) {
	s := newSweptConn(t)
	s.sendRequest()
	s.fillBuffers()
	closed := func() bool { s.Lock(); defer s.Unlock(); return s.RejectsRequests() }
	for range sweepsUntilClosed - 1 {
		s.sweep()
	}
	require.Never(t, closed, 50*time.Millisecond, time.Millisecond, "closed too early")
	s.sweep()
	s.sweep() // the first sweep of all counted what the systems had taken as read
	require.Eventually(t, closed, 10*time.Second, time.Millisecond)
}

// TestStoppedWriterGetsEarlierResponses guards against lost responses: sweeps in which a caller has sent nothing must not
// count as sweeps in which it has read nothing.
func TestStoppedWriterGetsEarlierResponses(t *testing.T) {
	s := newSweptConn(t)
	request := completeRequestRecords()
	_, err := s.peer.Write(encodeRecords(1, request[:len(request)-1]))
	require.NoError(t, err)
	require.Eventually(t, func() bool { s.Lock(); defer s.Unlock(); return s.OpenRequests() == 1 }, 10*time.Second, time.Millisecond)
	// The first sweep must count the input, which the event loop reports after it has handled all of it.
	require.Eventually(t, func() bool { return !s.HasUnhandledInput() }, 10*time.Second, time.Millisecond)
	for range sweepsUntilClosed {
		s.sweep()
	}
	written := s.fillBuffers()
	s.sweep()
	_, err = io.CopyN(io.Discard, s.peer, int64(written))
	require.NoError(t, err, "aborted with responses that the caller would have read")
	requireEndRequest(t, s.peer, 1, statusOverloaded)
}
