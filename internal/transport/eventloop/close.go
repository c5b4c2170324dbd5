package eventloop

import (
	"syscall"
	"time"
)

// CloseGracefully sends all written bytes and then a FIN. Input that arrives afterwards is dropped.
// The descriptor is closed once the peer has closed its side too, or when a limit of the lingering
// close is exceeded. CloseGracefully may be called at any time and more than once.
func (c *Conn) CloseGracefully() {
	c.mu.Lock()
	first := c.state == connOpen
	c.state = c.state.next(closeRequested)
	c.mu.Unlock()
	if first {
		c.loop.addLingering(c)
		c.sendFIN()
	}
}

// CloseIfNoPendingData closes the connection like CloseGracefully, but only if all received bytes have been
// handled completely and no written bytes are pending. It reports whether the connection is closing or
// closed. It acquires no lock between the check and the FIN: a process that has used up its CPU quota
// could be paused there for longer than exchange.CloseRaceWindow.
func (c *Conn) CloseIfNoPendingData() bool {
	result := c.closeIfNoPendingData()
	if result == closeStarted {
		c.loop.addLingering(c)
	}
	return result != dataPending
}

// closeResult is the result of an attempt to close a connection that has no pending data.
type closeResult uint8

const (
	dataPending    closeResult = iota // input is unhandled or output is pending; the connection stays open
	alreadyClosing                    // an earlier close was requested, or the descriptor is closed
	closeStarted                      // this attempt closed the connection
)

// closeIfNoPendingData checks for pending data and sends the FIN. It acquires the locks in the order that
// Conn documents.
func (c *Conn) closeIfNoPendingData() closeResult {
	c.nbConn.Lock() // prevents the loop from reading
	defer c.nbConn.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connOpen {
		return alreadyClosing
	}
	if closed, _ := c.nbConn.IsClosed(); !closed {
		if !c.registered || c.pendingBytes > 0 || c.isBeingRead() || c.socketHasInput() {
			return dataPending
		}
		syscall.Shutdown(c.nbConn.Hash(), syscall.SHUT_WR)
	}
	c.state = c.state.next(closeRequested).next(flushed)
	return closeStarted
}

// sendFIN shuts down the write side of the connection if a close was requested and all bytes that were
// written before the request have been sent.
func (c *Conn) sendFIN() {
	c.mu.Lock()
	due := c.registered && c.state == connFlushing && c.pendingBytes <= 0
	if due {
		c.state = c.state.next(flushed)
		c.lingerDeadline = time.Now().Add(maxLinger)
	}
	c.mu.Unlock()
	if due {
		c.shutdown(syscall.SHUT_WR)
	}
}

// shutdown shuts down the given directions of the socket. It holds nbio's lock so that the descriptor
// cannot be closed and reused by another connection in the meantime.
func (c *Conn) shutdown(how int) {
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); !closed {
		syscall.Shutdown(c.nbConn.Hash(), how)
	}
}

// Abort shuts down both directions at once and drops pending bytes. The shutdown raises an event on which
// the loop closes the descriptor. A connection that is not registered yet is only marked as aborted, and
// Loop.register shuts it down: if Abort closed the descriptor, nbio would register a closed descriptor, or
// one that another connection reuses.
func (c *Conn) Abort() {
	c.mu.Lock()
	first := !c.aborted()
	if first {
		c.abortedAt = time.Now()
	}
	registered := c.registered
	c.mu.Unlock()
	if first {
		c.loop.addAborted(c)
	}
	if registered {
		c.shutdown(syscall.SHUT_RDWR)
	}
}
