package eventloop

import (
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	maxQueuedBytes  = 1 << 20 // queued bytes of one connection, beyond which it is aborted
	maxDroppedBytes = 1 << 20 // input dropped after a close, beyond which the connection is aborted
)

// Handler receives the events of one connection. Its methods are called on the loop's goroutine
// and must not block.
type Handler interface {
	// OnData is called with received bytes, which are valid during the call.
	OnData(b []byte)
	// OnClose is called when the connection is closed. Calls after it must have no effect.
	OnClose(err error)
}

// Conn is a connection of the loop. It is safe for concurrent use.
//
// Its descriptor is closed by the loop's goroutine, while that handles the connection's own
// event. A descriptor that another goroutine closed could be a new connection's before the
// loop comes to an event that it has fetched already, and the new one would be closed by it.
// Other goroutines shut the connection down instead: the loop sees that as an event of the
// connection, and closes it.
type Conn struct {
	loop    *Loop
	nb      *nbio.Conn
	handler Handler

	writing sync.Mutex // orders writers; taken before nbio's lock, and that before mu

	mu               sync.Mutex // the innermost lock: taken after nbio's and after the loop's
	state            connState
	registered       bool      // the loop has the connection
	abortedAt        time.Time // of the first Abort, else zero
	pendingBytes     int       // that wait to be sent
	droppedBytes     int       // that were received after the close was requested
	abortAt          time.Time // when a connection that was closed is aborted, whatever its peer does
	lastReapBytes    int       // that waited to be sent at the latest ReapLingering since the close was requested
	closeRequestedAt time.Time // when the close was requested
}

// Write sends b, or queues it without blocking. A connection that can't take it is aborted.
func (c *Conn) Write(b []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	queued, ok := c.addPending(len(b))
	if !ok {
		return
	}
	if queued+len(b) > maxQueuedBytes {
		c.Abort()
		return
	}
	if queued == 0 {
		sent, ok := c.send(b)
		c.bytesSent(sent)
		if !ok {
			c.Abort()
			return
		}
		b = b[sent:]
	}
	if len(b) > 0 {
		c.nb.Write(b) // queues it: the socket has no room just now
	}
}

// addPending counts bytes that are to be sent, and returns how many waited before them. It
// reports false if nothing is written any more.
func (c *Conn) addPending(n int) (queued int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing() {
		return 0, false
	}
	queued = c.pendingBytes
	c.pendingBytes += n
	return queued, true
}

// send writes what the socket takes at once. It reports false if the connection is lost:
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

// bytesSent counts bytes as sent. The lock of nbio may be held, so that a FIN that is due
// leaves on a goroutine of its own.
func (c *Conn) bytesSent(n int) {
	c.mu.Lock()
	c.pendingBytes -= n
	finDue := c.state == connFlushing && c.pendingBytes <= 0
	c.mu.Unlock()
	if finDue {
		go c.sendFIN()
	}
}

// PendingBytes is the number of bytes that wait to be sent.
func (c *Conn) PendingBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingBytes
}

// HasUnread reports whether bytes have arrived that the Handler has not handled completely:
// where the loop lags, a connection on which nothing was read is not always idle.
func (c *Conn) HasUnread() bool {
	// The socket first: the loop marks a connection as being read before it empties the socket.
	c.nb.Lock()
	closed, _ := c.nb.IsClosed()
	unread := !closed && c.socketHasUnread()
	c.nb.Unlock()
	return unread || c.beingRead()
}

// socketHasUnread reports whether bytes wait in the socket. The lock of nbio is held, and the
// connection is not closed.
func (c *Conn) socketHasUnread() bool {
	n, err := unix.IoctlGetInt(c.nb.Hash(), unix.SIOCINQ)
	return err == nil && n > 0
}

// beingRead reports whether the loop is reading the connection, or its Handler is handling what
// was read.
func (c *Conn) beingRead() bool { return c.loop.reading.Load() == c.nb }

// receive hands bytes to the Handler, unless the connection is being closed.
func (c *Conn) receive(b []byte) {
	c.mu.Lock()
	closing := c.closing()
	if closing {
		c.droppedBytes += len(b)
	}
	flood := c.droppedBytes > maxDroppedBytes
	c.mu.Unlock()
	switch {
	case flood:
		c.Abort()
	case !closing:
		c.handler.OnData(b)
	}
}

// closing reports whether nothing is written or handled any more. The lock is held.
func (c *Conn) closing() bool { return c.state != connOpen || c.aborted() }

// aborted reports whether Abort was called. The lock is held.
func (c *Conn) aborted() bool { return !c.abortedAt.IsZero() }
