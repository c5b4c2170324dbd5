package eventloop

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
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

// TestCloseUnderFlood: a queue that never empties, since each connection taken brings the
// next one, does not keep the listener from closing.
func TestCloseUnderFlood(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts
	require.NoError(t, err)
	done := make(chan struct{})
	close(done)
	const waiting = 3
	connect := func() {
		c, err := net.Dial("tcp", raw.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	taken := 0
	ln := &Listener{Listener: raw, done: done, take: func(c net.Conn) {
		c.Close()
		if taken++; taken < 100*waiting { // without end, but for the test's own
			connect()
		}
	}}
	for range waiting {
		connect()
	}
	require.NoError(t, ln.Close())
	require.Equal(t, closeRounds*waiting, taken, "what comes while it takes is taken too, so many times")
}

// TestCloseTakesWhatComesMeanwhile: a connection that comes while the closing listener takes
// those before it is taken, not reset.
func TestCloseTakesWhatComesMeanwhile(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0") // nobody accepts
	require.NoError(t, err)
	done := make(chan struct{})
	close(done)
	const late = 5
	connect := func() {
		c, err := net.Dial("tcp", raw.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
	}
	taken := 0
	ln := &Listener{Listener: raw, done: done, take: func(c net.Conn) {
		c.Close()
		if taken++; taken <= late {
			connect()
		}
	}}
	connect()
	require.NoError(t, ln.Close())
	require.Equal(t, 1+late, taken)
}

// TestAbandonBeforeAdded: a connection that is given up before the loop has it is closed
// once the loop does. nbio must not register the number of a closed descriptor, which may
// be another connection's by then.
func TestAbandonBeforeAdded(t *testing.T) {
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

// TestCloseWaitsForTheAccepted: a connection that was accepted while the listener
// closes is handed over before Close returns, and counts as open from then on.
func TestCloseWaitsForTheAccepted(t *testing.T) {
	loop, err := New(4)
	require.NoError(t, err)
	defer loop.Stop()
	taking, goOn := make(chan struct{}), make(chan struct{})
	handed := make(chan struct{}, 1)
	var later atomic.Bool
	ln, err := loop.Listen("127.0.0.1:0", func(*Conn) Handler {
		if !later.Swap(true) {
			close(taking)
			<-goOn
			handed <- struct{}{}
		}
		return &peer{}
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	<-taking
	closed := make(chan bool, 1)
	go func() {
		ln.Close()
		closed <- len(handed) == 1
	}()
	require.Eventually(t, func() bool { // the listener is closed, the connection still on its way
		c, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, 10*time.Second, time.Millisecond)
	close(goOn)
	require.True(t, <-closed)
}

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
			return p.conn.added
		}, 10*time.Second, time.Microsecond)
		return p, c.(*net.TCPConn)
	}
}

// TestEndOverUnreadBytes: a connection ends while bytes that nobody has read wait on it.
// All that was written arrives, no reset takes it along, and nothing that came is handled.
func TestEndOverUnreadBytes(t *testing.T) {
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
	require.Equal(t, 1, loop.Reap(time.Now()), "still there for its peer")
	require.NoError(t, c.CloseWrite())
	require.NoError(t, drop(<-p.closed))
	require.Empty(t, p.data, "nothing is handled after the end")
	_, err = c.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err, "no reset in the end either")
	require.Zero(t, loop.Reap(time.Now()))
}

// drop is an error that is not the peer's end.
func drop(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// TestEndIsBounded: peers that never end their side, or send without end, cost no more
// than the bounds on time, bytes and connections say.
func TestEndIsBounded(t *testing.T) {
	loop, connect := pair(t, 2)
	p, _ := connect()
	p.conn.CloseGracefully()
	p.conn.CloseGracefully() // once is enough
	require.Equal(t, 1, loop.Reap(time.Now()))
	require.Zero(t, loop.Reap(time.Now().Add(lingerMost)), "its time is over")
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

	for range lingerBound*2 + 1 { // however short the time since their ends
		p, _ := connect()
		p.conn.CloseGracefully()
	}
	require.Equal(t, lingerBound*2, loop.Reap(time.Now()))
	require.Zero(t, loop.Reap(time.Now().Add(lingerMost)))

	var peers []*peer
	for range 3 {
		p, _ := connect()
		p.conn.CloseGracefully()
		peers = append(peers, p)
	}
	require.Equal(t, 3, loop.Reap(time.Now()), "what crosses an end has its time, whatever the bound")
	require.Eventually(t, func() bool { // the bound counts for those that have had it
		p, c := connect()
		p.conn.CloseGracefully()
		c.Close()
		return len(peers[0].closed) == 1
	}, 10*time.Second, time.Millisecond)
}

// TestEndWaitsForASlowReader: what was written leaves whole, however long a peer that goes
// on reading takes over it; one that stands still has the time that all have.
func TestEndWaitsForASlowReader(t *testing.T) {
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
		began = began.Add(lingerMost * 9 / 10)
		require.Equal(t, 1, loop.Reap(began), "after %d bytes", read)
	}
	_, err := io.Copy(io.Discard, c)
	require.NoError(t, err)
	require.NoError(t, c.CloseWrite())
	require.NoError(t, drop(<-p.closed))

	p, _ = owes()
	at := time.Now()
	require.Eventually(t, func() bool { // once the system's buffers are full
		at = at.Add(lingerMost)
		return loop.Reap(at) == 0
	}, 10*time.Second, time.Millisecond, "its time is over")
	<-p.closed
}

// TestNoDelay: small writes leave at once, on connections of either origin.
func TestNoDelay(t *testing.T) {
	_, connect := pair(t, 2)
	p, _ := connect()
	on, err := syscall.GetsockoptInt(p.conn.nb.Hash(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
	require.NoError(t, err)
	require.NotZero(t, on)
}

// TestDescriptorsAreClosedByTheLoop: a connection is given up, and another one fails to take
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
		return !failing.conn.gone.IsZero()
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, before, []uint64{inode(given), inode(failing)})
	require.Empty(t, given.closed)
	goOn()
	<-given.closed
	<-failing.closed
}

// TestEndAfterTheClose: a connection that is ended or given up once it is closed is counted
// among those that wait for that no more: it would be for ever.
func TestEndAfterTheClose(t *testing.T) {
	loop, connect := pair(t, 2)
	for range 5 {
		p, c := connect()
		require.NoError(t, c.Close())
		<-p.closed
		p.conn.Write([]byte("x"))
		p.conn.CloseGracefully()
		p.conn.Abort()
	}
	require.Zero(t, loop.Reap(time.Now()))
	loop.mu.Lock()
	defer loop.mu.Unlock()
	require.Empty(t, loop.leaving)
}
