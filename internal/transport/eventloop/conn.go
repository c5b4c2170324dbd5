package eventloop

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// maxDroppedBytes is how much input a connection may receive after the close was requested before it is aborted.
const maxDroppedBytes = 1 << 20

// Handler receives the events of one connection. Its methods are called on the loop's goroutine
// and must not block.
type Handler interface {
	// OnData is called with received bytes. They are valid only during the call.
	OnData(b []byte)
	// OnClose is called when the descriptor is closed. Later calls of any method must have no effect.
	OnClose(err error)
}

// Conn is a connection of the loop. It is safe for concurrent use.
//
// Only the loop's goroutine closes the descriptor, while it handles an event of that connection. If
// another goroutine closed the descriptor, a new connection could reuse it before the loop handles an
// event that it has already fetched for the old connection, and the loop would close the new connection.
// Other goroutines shut down the socket instead, which raises an event on which the loop closes the
// descriptor.
type Conn struct {
	loop    *Loop
	nbConn  *nbio.Conn
	handler Handler

	writeMu sync.Mutex // serializes writers; acquired before nbio's lock, which is acquired before mu
	queued  *queuedBytes

	// Guarded by writeMu.
	combining bool   // between BeginCombinedWrite and EndCombinedWrite
	combined  []byte // written in the meantime and not sent

	mu                  sync.Mutex // the innermost lock: acquired after nbio's and after the loop's
	state               connState
	registered          bool      // the connection was added to the loop
	abortedAt           time.Time // time of the first Abort, or zero
	pendingBytes        int       // written bytes that have not been sent
	sentBytes           int64     // written bytes that have been sent, since the connection was opened
	droppedBytes        int       // bytes received after the close was requested
	lingerDeadline      time.Time // time at which a closing connection is aborted
	deliveredAtLastReap int64     // delivered bytes at the latest ReapLingering, or when the close was requested
	closeRequestedAt    time.Time
}

// PendingBytes returns the number of written bytes that have not been sent.
func (c *Conn) PendingBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingBytes
}

// DeliveredBytes returns how many written bytes the peer's system has acknowledged since the connection was opened. While
// bytes are pending it grows only if the peer reads. A peer that reads less at a time than makes the system send more
// leaves PendingBytes unchanged, and so does one that reads as fast as bytes are written.
func (c *Conn) DeliveredBytes() int64 {
	c.mu.Lock()
	sent := c.sentBytes // before the unacknowledged ones, so that the result is never too large
	c.mu.Unlock()
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); closed {
		return sent
	}
	unacknowledged, err := unix.IoctlGetInt(c.nbConn.Hash(), unix.SIOCOUTQ)
	if err != nil {
		return sent
	}
	return sent - int64(unacknowledged)
}

// HasUnhandledInput reports whether bytes have arrived that the Handler has not handled completely. When the loop
// lags behind, a connection from which nothing was read may have input in the socket and is not idle.
func (c *Conn) HasUnhandledInput() bool {
	// Checks the socket first, since the loop marks a connection as being read before it drains the socket.
	c.nbConn.Lock()
	closed, _ := c.nbConn.IsClosed()
	unread := !closed && c.socketHasInput()
	c.nbConn.Unlock()
	return unread || c.isBeingRead()
}

// PeerClosed reports whether the peer has closed its side of the connection or has reset it. Unlike Handler.OnClose, it does
// not wait until the bytes that arrived before are read.
func (c *Conn) PeerClosed() bool {
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); closed {
		return true
	}
	const closeEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	polled := []unix.PollFd{{Fd: int32(c.nbConn.Hash()), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(polled, 0)
	return err == nil && n > 0 && polled[0].Revents&closeEvents != 0
}

// socketHasInput reports whether the socket's receive buffer holds bytes. The caller must hold nbio's
// lock, and the descriptor must be open.
func (c *Conn) socketHasInput() bool {
	n, err := unix.IoctlGetInt(c.nbConn.Hash(), unix.SIOCINQ)
	return err == nil && n > 0
}

// isBeingRead reports whether the loop is reading the connection or its Handler is handling received bytes.
func (c *Conn) isBeingRead() bool { return c.loop.readingConn.Load() == c.nbConn }

// receive passes bytes to the Handler, or drops them if the connection is closing.
func (c *Conn) receive(b []byte) {
	c.mu.Lock()
	closing := c.closing()
	if closing {
		c.droppedBytes += len(b)
	}
	overLimit := c.droppedBytes > maxDroppedBytes
	c.mu.Unlock()
	switch {
	case overLimit:
		c.Abort()
	case !closing:
		c.handler.OnData(b)
	}
}

// closing reports whether the connection neither accepts writes nor passes input to the Handler. The
// caller must hold mu.
func (c *Conn) closing() bool { return c.state != connOpen || c.aborted() }

// aborted reports whether Abort was called. The caller must hold mu.
func (c *Conn) aborted() bool { return !c.abortedAt.IsZero() }
