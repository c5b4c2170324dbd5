package eventloop

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// blockingHandler is a Handler that forwards its events to channels. OnData blocks until the test sends to
// resume or closes it.
type blockingHandler struct {
	conn     *Conn
	received chan string
	resume   chan struct{}
	closed   chan error
}

func (p *blockingHandler) OnData(b []byte) {
	if p.received != nil {
		p.received <- string(b)
		<-p.resume
	}
}

func (p *blockingHandler) OnClose(err error) {
	if p.closed != nil {
		p.closed <- err
	}
}

// newTestLoop starts a loop with a listener, and returns it with a function that opens a connection. The
// function returns the connection's handler on the loop and the client's end.
func newTestLoop(t *testing.T, lingering int) (*Loop, func() (*blockingHandler, *net.TCPConn)) {
	loop, err := New(lingering)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	handlers := make(chan *blockingHandler, 1)
	ln, err := loop.Listen("127.0.0.1:0", func(c *Conn) Handler {
		p := &blockingHandler{conn: c, received: make(chan string, 1), resume: make(chan struct{}), closed: make(chan error, 1)}
		handlers <- p
		return p
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return loop, func() (*blockingHandler, *net.TCPConn) {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
		p := <-handlers
		require.Eventually(t, func() bool { // the test must not write before the registration
			p.conn.mu.Lock()
			defer p.conn.mu.Unlock()
			return p.conn.registered
		}, 10*time.Second, time.Microsecond)
		return p, c.(*net.TCPConn)
	}
}

// TestNoDelay checks that TCP_NODELAY is set on accepted connections, so that small writes are sent at once.
func TestNoDelay(t *testing.T) {
	_, connect := newTestLoop(t, 2)
	p, _ := connect()
	noDelay, err := syscall.GetsockoptInt(p.conn.nbConn.Hash(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	require.NoError(t, err)
	require.NotZero(t, noDelay)
}

// TestDescriptorsAreClosedByTheLoop aborts one connection and makes a write fail on another while the loop
// is blocked in a third one's handler. Both descriptors must stay open until the loop continues. If they were
// closed earlier, new connections could reuse their numbers and receive events that the loop has already
// fetched.
func TestDescriptorsAreClosedByTheLoop(t *testing.T) {
	_, connect := newTestLoop(t, 4)
	blocked, c := connect()
	toAbort, _ := connect()
	failing, failingClient := connect()
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	<-blocked.received // the loop is now blocked in OnData
	resume := sync.OnceFunc(func() { close(blocked.resume) })
	defer resume()

	inode := func(p *blockingHandler) uint64 {
		var stat unix.Stat_t
		if unix.Fstat(p.conn.nbConn.Hash(), &stat) != nil {
			return 0
		}
		return stat.Ino
	}
	before := []uint64{inode(toAbort), inode(failing)}
	toAbort.conn.Abort()
	require.NoError(t, failingClient.SetLinger(0))
	require.NoError(t, failingClient.Close())
	require.Eventually(t, func() bool { // until the reset arrives and a write fails
		failing.conn.Write([]byte("x"))
		failing.conn.mu.Lock()
		defer failing.conn.mu.Unlock()
		return failing.conn.aborted()
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, before, []uint64{inode(toAbort), inode(failing)})
	require.Empty(t, toAbort.closed)
	resume()
	<-toAbort.closed
	<-failing.closed
}
