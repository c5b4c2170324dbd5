// Package eventloop is the event loop under all connections: nbio, with one
// handler for each connection and closing after what was written has left.
package eventloop

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"
)

const (
	readBuffer = 16 << 10
	writeMost  = 1 << 20     // unsent bytes of one connection, past which it is closed
	dropMost   = 1 << 20     // bytes read and dropped after the end of a connection, past which it is closed
	readsMost  = 5           // buffers read of one connection in a row: the longest message with its line, if the peer ends behind it
	lingerMost = time.Second // that a peer has, after the end of a connection, to end its side too
	// What crosses the end of a connection within 50 ms is sent again: for twice as long
	// no bound on connections closes it over what may still come.
	lingerLeast = 100 * time.Millisecond
	// lingerBound times the wanted number of ended connections are never exceeded, however
	// short the time since their ends: descriptors that are kept for links must stay free.
	lingerBound = 2
	// closeRounds is how often a closing listener looks whether more has come while it took
	// what had: where nobody floods it, the queue is empty after one or two.
	closeRounds = 16
	// queueMost is how many connections a closing listener takes from the system's queue if
	// the system does not tell how many there are.
	queueMost = 128
	// leavingWaits is for how many milliseconds no connection is taken, at most, while the
	// loop is behind with closing others.
	leavingWaits = 100
)

// Handler gets what happens on one connection. Data and Closed are called from
// the loop's goroutines and must not block; after Closed come no more calls
// that matter.
type Handler interface {
	OnData(b []byte)
	OnClose(err error)
}

// Conn is a connection of the loop.
//
// Its descriptor is closed by the loop's goroutine, while that handles the connection's own
// event. A descriptor that another goroutine closed could be a new connection's before the
// loop comes to an event that it has fetched already, and the new one would be closed by it.
// The others shut the connection down instead, which is such an event.
type Conn struct {
	loop    *Loop
	nb      *nbio.Conn
	handler Handler
	writing sync.Mutex // orders writers; taken before nbio's lock, and that before mu
	mu      sync.Mutex
	pending int       // bytes that wait to leave
	added   bool      // the loop has it
	gone    time.Time // when Abandon was called first
	closed  bool      // guarded by the loop's lock
	ending  bool      // nothing more is written
	half    bool      // the peer was told
	ended   time.Time // when End was called
	until   time.Time // when it is closed, whatever the peer does
	unsent  int       // bytes that waited to leave at the latest sweep since the end
	dropped int       // bytes that came after the end
}

// Write sends b, or queues it without blocking. A connection that can't take it
// is closed.
func (c *Conn) Write(b []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	if c.over() {
		c.mu.Unlock()
		return
	}
	waiting := c.pending
	c.pending += len(b)
	c.mu.Unlock()
	if waiting+len(b) > writeMost {
		c.Abort()
		return
	}
	if waiting == 0 {
		n, ok := c.send(b)
		c.written(n)
		if !ok {
			c.Abort()
			return
		}
		b = b[n:]
	}
	if len(b) > 0 {
		c.nb.Write(b) // queues it: the system had no room just now
	}
}

// send writes what the system takes at once. It reports false if the connection is lost:
// nbio's own write would close the descriptor in this goroutine.
func (c *Conn) send(b []byte) (sent int, ok bool) {
	c.nb.Lock()
	defer c.nb.Unlock()
	if closed, _ := c.nb.IsClosed(); closed {
		return 0, false
	}
	for {
		n, err := syscall.Write(c.nb.Hash(), b)
		switch err {
		case nil:
			return n, true
		case syscall.EINTR:
		case syscall.EAGAIN:
			return 0, true
		default:
			return 0, false
		}
	}
}

// PendingBytes is how many bytes wait to leave.
func (c *Conn) PendingBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// HasUnread tells whether bytes have come that are not handled yet: where the loop is behind, a
// connection on which nothing was read is not idle, nor is one of which the loop has read
// bytes and not handed them over whole.
func (c *Conn) HasUnread() bool {
	// In this order: what leaves the system's queue is in the loop's hands before.
	c.nb.Lock()
	closed, _ := c.nb.IsClosed()
	queued := !closed && c.queued()
	c.nb.Unlock()
	return queued || c.loop.reading.Load() == c.nb
}

// queued tells whether bytes wait in the system's queue. nbio's lock is held, and the
// connection is not closed.
func (c *Conn) queued() bool {
	n, err := unix.IoctlGetInt(c.nb.Hash(), unix.SIOCINQ)
	return err == nil && n > 0
}

// CloseGracefully ends the connection in order. All that was written leaves first, then the peer
// is told that nothing more comes. What it still sends is read and dropped, since a
// close over unread bytes would reset the connection under what was written. The
// connection is closed once the peer has ended its side too, or the loop's bounds on
// time, bytes and connections are reached; a peer that goes on taking what was written
// has time for that. It can be called at any time, also again.
func (c *Conn) CloseGracefully() {
	c.mu.Lock()
	first := !c.ending
	c.ending = true
	c.mu.Unlock()
	if first {
		c.loop.linger(c)
		c.finish()
	}
}

// CloseIfQuiet ends the connection as End does, unless bytes have come that are not handled
// yet, or some wait to leave. Between the look and the end there is no lock to wait for: a
// process that has used up its share of the processor may stand still there for longer than a
// request may take to cross the end.
func (c *Conn) CloseIfQuiet() bool {
	first, quiet := c.endIfQuiet()
	if first {
		c.loop.linger(c)
	}
	return quiet
}

func (c *Conn) endIfQuiet() (first, quiet bool) {
	c.nb.Lock() // the loop reads nothing meanwhile
	defer c.nb.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return false, true
	}
	if closed, _ := c.nb.IsClosed(); !closed {
		if !c.added || c.pending > 0 || c.loop.reading.Load() == c.nb || c.queued() {
			return false, false
		}
		syscall.Shutdown(c.nb.Hash(), syscall.SHUT_WR)
	}
	c.ending, c.half = true, true
	return true, true
}

// finish tells the peer, once all has left.
func (c *Conn) finish() {
	c.mu.Lock()
	now := c.added && c.ending && !c.half && c.pending <= 0
	if now {
		c.half, c.until = true, time.Now().Add(lingerMost)
	}
	c.mu.Unlock()
	if !now {
		return
	}
	c.shutdown(syscall.SHUT_WR)
}

// shutdown ends the given directions. nbio's lock is held meanwhile, so that the descriptor
// is not closed, and another's by then.
func (c *Conn) shutdown(how int) {
	c.nb.Lock()
	defer c.nb.Unlock()
	if closed, _ := c.nb.IsClosed(); !closed {
		syscall.Shutdown(c.nb.Hash(), how)
	}
}

// Abort ends the connection at once, in both directions: for peers to which nothing is
// owed. The loop closes it by the event that comes of that. Before the loop has the
// connection it is only marked, and add goes on from there: nbio would register a
// descriptor that is closed already, and by then perhaps another connection's.
func (c *Conn) Abort() {
	c.mu.Lock()
	first := c.gone.IsZero()
	if first {
		c.gone = time.Now()
	}
	added := c.added
	c.mu.Unlock()
	if first {
		c.loop.abandoned(c)
	}
	if added {
		c.shutdown(syscall.SHUT_RDWR)
	}
}

// over tells whether nothing more is written or handled. The lock is held.
func (c *Conn) over() bool { return c.ending || !c.gone.IsZero() }

// data passes on what came, unless the connection has ended.
func (c *Conn) data(b []byte) {
	c.mu.Lock()
	over := c.over()
	if over {
		c.dropped += len(b)
	}
	flood := c.dropped > dropMost
	c.mu.Unlock()
	switch {
	case flood:
		c.Abort()
	case !over:
		c.handler.OnData(b)
	}
}

func (c *Conn) written(n int) {
	c.mu.Lock()
	c.pending -= n
	now := c.ending && c.pending <= 0
	c.mu.Unlock()
	if now {
		go c.finish() // called under nbio's lock of the connection
	}
}

// late tells whether a connection that has ended is to be closed.
func (c *Conn) late(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending < c.unsent { // the peer reads on
		c.until = now.Add(lingerMost)
	}
	c.unsent = c.pending
	return !now.Before(c.until)
}

// Loop is the event loop.
type Loop struct {
	engine    *nbio.Engine
	mu        sync.Mutex // orders the making of a Conn before its first use
	lingering []*Conn    // that have ended and are not closed, the oldest first
	most      int        // of them, but for those that ended just now
	leaving   []*Conn    // that were abandoned and are not closed
	handing   sync.Mutex // one connection at a time has two descriptors, while nbio takes it over

	reading atomic.Pointer[nbio.Conn] // whose bytes the loop's goroutine reads and hands over just now
	buffer  []byte                    // of the loop's goroutine
}

// linger notes a connection that ends. Beyond the bound the oldest are closed, as each
// holds a descriptor; those that ended just now only beyond lingerBound times as many.
func (l *Loop) linger(c *Conn) {
	now := time.Now()
	c.mu.Lock()
	c.ended, c.until, c.unsent = now, now.Add(lingerMost), c.pending
	c.mu.Unlock()
	l.mu.Lock()
	if !c.closed {
		l.lingering = append(l.lingering, c)
	}
	n := 0
	for left := len(l.lingering); left > l.most; left-- {
		recent := now.Sub(l.lingering[n].ended) < lingerLeast
		if recent && left <= lingerBound*l.most {
			break
		}
		n++
	}
	old := slices.Clone(l.lingering[:n])
	l.lingering = slices.Delete(l.lingering, 0, n)
	l.mu.Unlock()
	abandon(old)
}

// abandoned notes a connection that the loop is to close, unless it has.
func (l *Loop) abandoned(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.closed {
		l.leaving = append(l.leaving, c)
	}
}

// awaitClosed waits while more abandoned connections than wanted hold a descriptor, so that
// callers that connect without end get no further ahead of the loop than that.
func (l *Loop) awaitClosed() {
	for range leavingWaits {
		l.mu.Lock()
		leaving := len(l.leaving)
		l.mu.Unlock()
		if leaving <= l.most {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func abandon(conns []*Conn) {
	for _, c := range conns {
		c.Abort()
	}
}

// closed forgets a connection.
func (l *Loop) closed(c *Conn) {
	l.mu.Lock()
	c.closed = true
	same := func(x *Conn) bool { return x == c }
	l.lingering = slices.DeleteFunc(l.lingering, same)
	l.leaving = slices.DeleteFunc(l.leaving, same)
	l.mu.Unlock()
}

// Sweep closes connections whose peers have had their time since the end, and tells
// how many are left that have ended.
func (l *Loop) Reap(now time.Time) (left int) {
	var old []*Conn
	l.mu.Lock()
	l.lingering = slices.DeleteFunc(l.lingering, func(c *Conn) bool {
		late := c.late(now)
		if late {
			old = append(old, c)
		}
		return late
	})
	left = len(l.lingering)
	stuck := l.stuck(now)
	l.mu.Unlock()
	abandon(old)
	for _, c := range stuck {
		c.nb.Close()
	}
	return left
}

// stuck are the connections that were abandoned long ago and that no event has closed. The
// lock is held.
func (l *Loop) stuck(now time.Time) (conns []*Conn) {
	for _, c := range l.leaving {
		c.mu.Lock()
		if c.added && now.Sub(c.gone) >= lingerMost {
			conns = append(conns, c)
		}
		c.mu.Unlock()
	}
	return conns
}

func (l *Loop) conn(nb *nbio.Conn) (*Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := nb.Session().(*Conn)
	return c, ok
}

// New starts a loop in which so many connections may be at their end at a time, and
// lingerBound times as many for less than lingerLeast.
func New(lingering int) (*Loop, error) {
	logging.SetLevel(logging.LevelNone)
	e := nbio.NewEngine(nbio.Config{Name: "loop", NPoller: 1, ReadBufferSize: readBuffer, MaxWriteBufferSize: writeMost,
		MaxConnReadTimesPerEventLoop: readsMost})
	l := &Loop{engine: e, most: lingering, buffer: make([]byte, readBuffer)}
	e.OnOpen(func(*nbio.Conn) {})
	e.OnReadBufferAlloc(func(nb *nbio.Conn) *[]byte {
		l.reading.Store(nb)
		return &l.buffer
	})
	e.OnReadBufferFree(func(*nbio.Conn, *[]byte) { l.reading.Store(nil) })
	e.OnData(func(nb *nbio.Conn, b []byte) {
		if c, ok := l.conn(nb); ok {
			c.data(b)
		}
	})
	e.OnClose(func(nb *nbio.Conn, err error) {
		if c, ok := l.conn(nb); ok {
			l.closed(c)
			c.handler.OnClose(err)
		}
	})
	e.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := l.conn(nb); ok {
			c.written(n)
		}
	})
	if err := e.Start(); err != nil {
		return nil, fmt.Errorf("event loop: %w", err)
	}
	return l, nil
}

func (l *Loop) add(raw net.Conn, handle func(*Conn) Handler) (*Conn, error) {
	l.handing.Lock()
	nb, err := nbio.NBConn(raw)
	l.handing.Unlock()
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("hand over connection: %w", err)
	}
	if err := nb.SetNoDelay(true); err != nil { // an answer must not wait for the next one
		nb.Close()
		return nil, fmt.Errorf("TCP_NODELAY: %w", err)
	}
	c := &Conn{loop: l, nb: nb}
	c.handler = handle(c)
	l.mu.Lock()
	nb.SetSession(c)
	l.mu.Unlock()
	if _, err := l.engine.AddConn(nb); err != nil {
		l.closed(c)
		return nil, fmt.Errorf("add connection: %w", err)
	}
	c.mu.Lock()
	c.added = true
	gone := !c.gone.IsZero()
	c.mu.Unlock()
	if gone {
		c.shutdown(syscall.SHUT_RDWR)
	}
	c.finish() // its handler may have ended it
	return c, nil
}

// Listener takes connections until it is closed.
type Listener struct {
	net.Listener
	take func(net.Conn)
	done chan struct{} // closed once nothing is taken any more
}

// Close takes what the system has accepted, and comes to an end however fast callers go on
// connecting. Connections that were left in the system's
// queue would be reset under the requests on them.
func (l *Listener) Close() error {
	if tcp, ok := l.Listener.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { takeQueued(int(fd), l.take) })
		}
	}
	err := l.Listener.Close()
	<-l.done // what was accepted meanwhile is taken too
	return err
}

// takeQueued takes what has come, and what comes meanwhile as long as callers give the
// queue a chance to empty.
func takeQueued(listener int, take func(net.Conn)) {
	for range closeRounds {
		n := queued(listener)
		if n == 0 || !takeSome(listener, n, take) {
			return
		}
	}
}

// takeSome takes so many connections, and tells whether there may be more.
func takeSome(listener, n int, take func(net.Conn)) bool {
	for range n {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch err {
		case nil:
			if c, err := fileConn(fd); err == nil {
				take(c)
			}
		case syscall.EINTR, syscall.ECONNABORTED: // says nothing of those behind it
		default:
			return false // the queue is empty, or descriptors have run out
		}
	}
	return true
}

// queued is how many connections wait in a listener's queue: what the kernel reports as
// unacknowledged for a socket that listens (tcp_info in tcp(7)).
func queued(listener int) int {
	info, err := unix.GetsockoptTCPInfo(listener, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return queueMost
	}
	return int(info.Unacked)
}

// fileConn makes a net.Conn of a descriptor, which it takes over.
func fileConn(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "accepted")
	defer f.Close()
	return net.FileConn(f)
}

// Listen accepts connections on the address until the listener is closed.
func (l *Loop) Listen(addr string, handle func(*Conn) Handler, failed func(error)) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	take := func(raw net.Conn) {
		if _, err := l.add(raw, handle); err != nil {
			failed(err)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			l.awaitClosed()
			raw, err := ln.Accept()
			switch {
			case err == nil:
				take(raw)
			case errors.Is(err, net.ErrClosed):
				return
			default: // out of descriptors, mostly: don't spin on it
				failed(err)
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	return &Listener{Listener: ln, take: take, done: done}, nil
}

// Dial connects in the background and reports to done.
func (l *Loop) Dial(addr string, timeout time.Duration, handle func(*Conn) Handler, done func(*Conn, error)) {
	go func() {
		raw, err := net.DialTimeout("tcp", addr, timeout)
		if err != nil {
			done(nil, err)
			return
		}
		done(l.add(raw, handle))
	}()
}

// Stop closes all connections. nbio forgets a stop that comes before its goroutine has
// begun, and waits for ever: a connection that it has served shows that it has.
func (l *Loop) Stop() {
	begun := make(first, 1)
	ln, err := l.Listen("127.0.0.1:0", func(*Conn) Handler { return begun }, begun.OnClose)
	if err == nil {
		if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
			c.Close()
			<-begun
		}
		ln.Close()
	}
	l.engine.Stop()
}

// first is the handler of a loop's first connection, which only ends.
type first chan struct{}

func (f first) OnData([]byte) {}

func (f first) OnClose(error) {
	select {
	case f <- struct{}{}:
	default:
	}
}
