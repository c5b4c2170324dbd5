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

// TestAbortBeforeRegistered: a connection that is aborted before the loop has it is closed
// once the loop does. nbio must not register the number of a closed descriptor, which may
// be another connection's by then.
func TestAbortBeforeRegistered(t *testing.T) {
	loop, err := New(4)
	require.NoError(t, err)
	defer loop.Stop()
	closed := make(chan error, 1)
	descriptor := make(chan int, 1)
	ln, err := loop.Listen("127.0.0.1:0", func(c *Conn) Handler {
		c.Abort()
		_, err := unix.FcntlInt(uintptr(c.nb.Hash()), unix.F_GETFD, 0)
		if err != nil {
			descriptor <- -1
		} else {
			descriptor <- c.nb.Hash()
		}
		return &peer{closed: closed}
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.Positive(t, <-descriptor, "closed before nbio knew the connection")
	<-closed
	require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
}

// TestGracefulCloseOverUnreadBytes: a connection is closed while bytes that nobody has read wait on it.
// All that was written arrives, no reset takes it along, and nothing that came is handled.
func TestGracefulCloseOverUnreadBytes(t *testing.T) {
	loop, connect := pair(t, 4)
	p, c := connect()
	_, err := c.Write([]byte("first"))
	require.NoError(t, err)
	require.Equal(t, "first", <-p.data)
	_, err = c.Write([]byte("in the moment of the end")) // the loop stands in Data: not read
	require.NoError(t, err)
	answer := strings.Repeat("x", 700<<10) // more than the system takes at once
	p.conn.Write([]byte(answer))
	p.conn.CloseGracefully()
	p.conn.Write([]byte("after the end"))
	close(p.goOn)
	got, err := io.ReadAll(c)
	require.NoError(t, err, "reset")
	require.Equal(t, len(answer), len(got))
	_, err = c.Write([]byte("and after it"))
	require.NoError(t, err)
	require.Equal(t, 1, loop.ReapLingering(time.Now()), "still there for its peer")
	require.NoError(t, c.CloseWrite())
	require.NoError(t, drop(<-p.closed))
	require.Empty(t, p.data, "nothing is handled after the end")
	_, err = c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "no reset in the end either")
	require.Zero(t, loop.ReapLingering(time.Now()))
}

// drop is an error that is not the peer's end.
func drop(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// closeWithinMinLinger closes connections in so short a time that none of them has lingered for
// minLinger when Reap counts them. A round that a busy machine makes longer has to keep the upper
// bound alone, and is followed by another.
func closeWithinMinLinger(t *testing.T, loop *Loop, connect func() (*peer, *net.TCPConn), count int) (peers []*peer, lingering int) {
	t.Helper()
	const rounds = 20
	for range rounds {
		peers = nil
		for range count {
			p, _ := connect()
			peers = append(peers, p)
		}
		start := time.Now()
		for _, p := range peers {
			p.conn.CloseGracefully()
		}
		lingering = loop.ReapLingering(time.Now())
		if time.Since(start) < minLinger {
			return peers, lingering
		}
		require.LessOrEqual(t, lingering, lingerOvercommit*2)
		require.Zero(t, loop.ReapLingering(time.Now().Add(maxLinger)))
	}
	require.Fail(t, "the machine is too busy to close connections within minLinger")
	return nil, 0
}

// TestLingeringIsBounded: peers that never end their side, or send without end, cost no more
// than the bounds on time, bytes and connections say.
func TestLingeringIsBounded(t *testing.T) {
	loop, connect := pair(t, 2)
	p, _ := connect()
	p.conn.CloseGracefully()
	p.conn.CloseGracefully() // once is enough
	require.Equal(t, 1, loop.ReapLingering(time.Now()))
	require.Zero(t, loop.ReapLingering(time.Now().Add(maxLinger)), "its time is over")
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
	require.Empty(t, p.data)

	_, lingering := closeWithinMinLinger(t, loop, connect, lingerOvercommit*2+1)
	require.Equal(t, lingerOvercommit*2, lingering)
	require.Zero(t, loop.ReapLingering(time.Now().Add(maxLinger)))

	peers, lingering := closeWithinMinLinger(t, loop, connect, 3)
	require.Equal(t, 3, lingering, "what crosses an end has its time, whatever the bound")
	require.Eventually(t, func() bool { // the bound counts for those that have had it
		p, c := connect()
		p.conn.CloseGracefully()
		c.Close()
		return len(peers[0].closed) == 1
	}, 10*time.Second, time.Millisecond)
}

// TestGracefulCloseWaitsForSlowReader: what was written leaves whole, however long a peer that goes
// on reading takes over it; one that stands still has the time that all have.
func TestGracefulCloseWaitsForSlowReader(t *testing.T) {
	const whole = 900 << 10
	loop, connect := pair(t, 4)
	owes := func() (*peer, *net.TCPConn) {
		p, c := connect()
		require.NoError(t, c.SetReadBuffer(32<<10))
		require.NoError(t, p.conn.nb.SetWriteBuffer(32<<10))
		p.conn.Write(make([]byte, whole))
		require.Positive(t, p.conn.PendingBytes())
		p.conn.CloseGracefully()
		return p, c
	}
	p, c := owes()
	began := time.Now()
	for read := 0; read < whole/2; {
		waits := p.conn.PendingBytes()
		for p.conn.PendingBytes() == waits {
			n, err := c.Read(make([]byte, 32<<10))
			require.NoError(t, err)
			read += n
		}
		began = began.Add(maxLinger * 9 / 10)
		require.Equal(t, 1, loop.ReapLingering(began), "after %d bytes", read)
	}
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err)
	require.NoError(t, c.CloseWrite())
	require.NoError(t, drop(<-p.closed))

	p, _ = owes()
	at := time.Now()
	require.Eventually(t, func() bool { // once the system's buffers are full
		at = at.Add(maxLinger)
		return loop.ReapLingering(at) == 0
	}, 10*time.Second, time.Millisecond, "its time is over")
	<-p.closed
}

// TestCloseAfterDescriptorClosed: a connection that is closed or aborted once its descriptor is
// closed does not count as lingering or aborted: it would for ever.
func TestCloseAfterDescriptorClosed(t *testing.T) {
	loop, connect := pair(t, 2)
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
