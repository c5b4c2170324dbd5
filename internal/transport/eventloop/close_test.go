package eventloop

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestAbortBeforeRegistered checks that a connection that is aborted before it is registered keeps its
// descriptor open until the registration, and is closed after it. nbio must not register the number of a
// closed descriptor, which another connection may reuse.
func TestAbortBeforeRegistered(t *testing.T) {
	loop, err := New(4)
	require.NoError(t, err)
	defer loop.Stop()
	closed := make(chan error, 1)
	descriptor := make(chan int, 1)
	ln, err := loop.Listen("127.0.0.1:0", func(c *Conn) Handler {
		c.Abort()
		_, err := unix.FcntlInt(uintptr(c.nbConn.Hash()), unix.F_GETFD, 0)
		if err != nil {
			descriptor <- -1
		} else {
			descriptor <- c.nbConn.Hash()
		}
		return &blockingHandler{closed: closed}
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.Positive(t, <-descriptor, "the descriptor was closed before the registration")
	<-closed
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
}

// TestGracefulCloseOverUnreadBytes closes a connection whose socket holds unread input. The peer must
// receive all written bytes and no reset, and the Handler must not receive the input.
func TestGracefulCloseOverUnreadBytes(t *testing.T) {
	loop, connect := newTestLoop(t, 4)
	p, c := connect()
	_, err := c.Write([]byte("first"))
	require.NoError(t, err)
	require.Equal(t, "first", <-p.received)
	_, err = c.Write([]byte("unread at the close")) // stays unread, since the loop is blocked in OnData
	require.NoError(t, err)
	response := strings.Repeat("x", 700<<10) // more than the socket accepts at once
	p.conn.Write([]byte(response))
	p.conn.CloseGracefully()
	p.conn.Write([]byte("written after the close"))
	close(p.resume)
	got, err := io.ReadAll(c)
	require.NoError(t, err, "the connection was reset")
	require.Equal(t, len(response), len(got))
	_, err = c.Write([]byte("sent after the FIN"))
	require.NoError(t, err)
	require.Equal(t, 1, loop.ReapLingering(time.Now()), "the connection must linger until its peer closes")
	require.NoError(t, c.CloseWrite())
	require.NoError(t, ignoreEOF(<-p.closed))
	require.Empty(t, p.received, "input was handled after the close")
	_, err = c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "the connection must not be reset after the peer's FIN")
	require.Zero(t, loop.ReapLingering(time.Now()))
}

// ignoreEOF returns nil for io.EOF, and any other error unchanged.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// closeWithinMinLinger opens and closes connections and returns the number that ReapLingering reports before
// minLinger has passed since the first close. A round that takes longer on a busy machine is only checked
// against the upper limit, and is repeated.
func closeWithinMinLinger(t *testing.T, loop *Loop, connect func() (*blockingHandler, *net.TCPConn), count int) (handlers []*blockingHandler, lingering int) {
	t.Helper()
	const rounds = 20
	for range rounds {
		handlers = nil
		for range count {
			p, _ := connect()
			handlers = append(handlers, p)
		}
		start := time.Now()
		for _, p := range handlers {
			p.conn.CloseGracefully()
		}
		lingering = loop.ReapLingering(time.Now())
		if time.Since(start) < minLinger {
			return handlers, lingering
		}
		require.LessOrEqual(t, lingering, lingerOvercommitFactor*2)
		require.Zero(t, loop.ReapLingering(time.Now().Add(maxLinger)))
	}
	require.Fail(t, "the machine is too busy to close connections within minLinger")
	return nil, 0
}

// TestLingeringIsBounded checks the limits on time, dropped bytes and number of lingering connections for
// peers that never close their side or that send without end.
func TestLingeringIsBounded(t *testing.T) {
	loop, connect := newTestLoop(t, 2)
	p, _ := connect()
	p.conn.CloseGracefully()
	p.conn.CloseGracefully() // has no effect
	require.Equal(t, 1, loop.ReapLingering(time.Now()))
	require.Zero(t, loop.ReapLingering(time.Now().Add(maxLinger)), "the linger deadline has passed")
	<-p.closed

	p, c := connect()
	p.conn.CloseGracefully()
	go func() {
		for b := make([]byte, 64<<10); ; {
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	}()
	<-p.closed
	require.Empty(t, p.received)

	_, lingering := closeWithinMinLinger(t, loop, connect, lingerOvercommitFactor*2+1)
	require.Equal(t, lingerOvercommitFactor*2, lingering)
	require.Zero(t, loop.ReapLingering(time.Now().Add(maxLinger)))

	handlers, lingering := closeWithinMinLinger(t, loop, connect, 3)
	require.Equal(t, 3, lingering, "connections over maxLingering must linger for minLinger")
	require.Eventually(t, func() bool { // maxLingering applies to connections older than minLinger
		p, c := connect()
		p.conn.CloseGracefully()
		c.Close()
		return len(handlers[0].closed) == 1
	}, 10*time.Second, time.Millisecond)
}

// TestGracefulCloseWaitsForSlowReader checks that a graceful close sends all written bytes to a peer that
// reads slowly, however long that takes, and that a peer that stops reading is aborted after maxLinger.
func TestGracefulCloseWaitsForSlowReader(t *testing.T) {
	const totalBytes = 900 << 10
	loop, connect := newTestLoop(t, 4)
	connectWithPendingOutput := func() (*blockingHandler, *net.TCPConn) {
		p, c := connect()
		require.NoError(t, c.SetReadBuffer(32<<10))
		require.NoError(t, p.conn.nbConn.SetWriteBuffer(32<<10))
		p.conn.Write(make([]byte, totalBytes))
		require.Positive(t, p.conn.PendingBytes())
		p.conn.CloseGracefully()
		return p, c
	}
	p, c := connectWithPendingOutput()
	now := time.Now()
	for read := 0; read < totalBytes/2; {
		pendingBefore := p.conn.PendingBytes()
		for p.conn.PendingBytes() == pendingBefore {
			n, err := c.Read(make([]byte, 32<<10))
			require.NoError(t, err)
			read += n
		}
		now = now.Add(maxLinger * 9 / 10)
		require.Equal(t, 1, loop.ReapLingering(now), "after %d bytes", read)
	}
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err)
	require.NoError(t, c.CloseWrite())
	require.NoError(t, ignoreEOF(<-p.closed))

	p, _ = connectWithPendingOutput()
	reapTime := time.Now()
	require.Eventually(t, func() bool { // the deadline is extended until the socket buffers are full
		reapTime = reapTime.Add(maxLinger)
		return loop.ReapLingering(reapTime) == 0
	}, 10*time.Second, time.Millisecond, "a connection whose peer does not read must be aborted")
	<-p.closed
}

// TestGracefulCloseWaitsForSmallReads guards against lost responses: a peer that reads less at a time than makes the system
// send more must not be taken for one that has stopped reading.
func TestGracefulCloseWaitsForSmallReads(t *testing.T) {
	const chunkBytes = 64 << 10
	loop, connect := newTestLoop(t, 4)
	p, c := connect()
	written := 0
	for full := 0; full < 3; { // the systems may enlarge their buffers at first
		if p.conn.PendingBytes() > 0 {
			full++
			time.Sleep(20 * time.Millisecond)
			continue
		}
		full = 0
		p.conn.Write(make([]byte, chunkBytes))
		written += chunkBytes
	}
	p.conn.CloseGracefully()
	now := time.Now()
	for read := 0; read < 8*chunkBytes; read += chunkBytes {
		_, err := io.CopyN(io.Discard, c, chunkBytes)
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond) // for the acknowledgement
		now = now.Add(maxLinger * 9 / 10)
		require.Equal(t, 1, loop.ReapLingering(now), "after %d bytes", read)
	}
	rest, err := io.Copy(io.Discard, c)
	require.NoError(t, err)
	require.EqualValues(t, written-8*chunkBytes, rest)
}

// TestCloseAfterDescriptorClosed closes and aborts connections whose descriptor is already closed. They must
// not be added to the lists of lingering or aborted connections, where they would stay forever.
func TestCloseAfterDescriptorClosed(t *testing.T) {
	loop, connect := newTestLoop(t, 2)
	for range 5 {
		p, c := connect()
		require.NoError(t, c.Close())
		<-p.closed
		p.conn.Write([]byte("x"))
		p.conn.CloseGracefully()
		p.conn.Abort()
	}
	require.Zero(t, loop.ReapLingering(time.Now()))
	loop.mu.Lock()
	defer loop.mu.Unlock()
	require.Empty(t, loop.aborted)
}
