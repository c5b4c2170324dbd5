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

// peer is a handler that a test steers: it passes on what it is told, and waits in Data
// until it may go on.
type peer struct {
	conn   *Conn
	data   chan string
	goOn   chan struct{}
	closed chan error
}

func (p *peer) OnData(b []byte) {
	if p.data != nil {
		p.data <- string(b)
		<-p.goOn
	}
}

func (p *peer) OnClose(err error) {
	if p.closed != nil {
		p.closed <- err
	}
}

// pair is a connection of a loop, and its other side.
func pair(t *testing.T, lingering int) (*Loop, func() (*peer, *net.TCPConn)) {
	loop, err := New(lingering)
	require.NoError(t, err)
	t.Cleanup(loop.Stop)
	made := make(chan *peer, 1)
	ln, err := loop.Listen("127.0.0.1:0", func(c *Conn) Handler {
		p := &peer{conn: c, data: make(chan string, 1), goOn: make(chan struct{}), closed: make(chan error, 1)}
		made <- p
		return p
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	return loop, func() (*peer, *net.TCPConn) {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
		p := <-made
		require.Eventually(t, func() bool { // nothing is written before the loop has it
			p.conn.mu.Lock()
			defer p.conn.mu.Unlock()
			return p.conn.registered
		}, 10*time.Second, time.Microsecond)
		return p, c.(*net.TCPConn)
	}
}

// TestNoDelay: small writes leave at once, on connections of either origin.
func TestNoDelay(t *testing.T) {
	_, connect := pair(t, 2)
	p, _ := connect()
	on, err := syscall.GetsockoptInt(p.conn.nb.Hash(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	require.NoError(t, err)
	require.NotZero(t, on)
}

// TestDescriptorsAreClosedByTheLoop: a connection is aborted, and another one fails to take
// what is written, while the loop stands in an event of a third one, with theirs perhaps
// fetched already. Their descriptors stay theirs until the loop goes on: had they been closed
// meanwhile, the next connections would get their numbers, and their events.
func TestDescriptorsAreClosedByTheLoop(t *testing.T) {
	_, connect := pair(t, 4)
	stands, c := connect()
	given, _ := connect()
	failing, reset := connect()
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	<-stands.data // the loop stands there
	goOn := sync.OnceFunc(func() { close(stands.goOn) })
	defer goOn()

	inode := func(p *peer) uint64 {
		var stat unix.Stat_t
		if unix.Fstat(p.conn.nb.Hash(), &stat) != nil {
			return 0
		}
		return stat.Ino
	}
	before := []uint64{inode(given), inode(failing)}
	given.conn.Abort()
	require.NoError(t, reset.SetLinger(0))
	require.NoError(t, reset.Close())
	require.Eventually(t, func() bool { // until the reset has come
		failing.conn.Write([]byte("x"))
		failing.conn.mu.Lock()
		defer failing.conn.mu.Unlock()
		return failing.conn.aborted()
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, before, []uint64{inode(given), inode(failing)})
	require.Empty(t, given.closed)
	goOn()
	<-given.closed
	<-failing.closed
}
