package eventloop

import (
	"syscall"
	"time"
)

// CloseGracefully sends all that was written and then a FIN. What the peer still sends is dropped.
// The descriptor is closed once the peer has ended its side too, or a bound of the lingering close
// is reached. It may be called at any time, and more than once.
func (c *Conn) CloseGracefully() {
	c.mu.Lock()
	first := c.state == connOpen
	c.state = c.state.next(closeRequested)
	c.mu.Unlock()
	if first {
		c.loop.linger(c)
		c.sendFIN()
	}
}

// CloseIfQuiet does what CloseGracefully does, unless bytes have arrived that are not handled
// completely, or some are pending, and reports whether the connection is closing. It waits for no
// lock between the check and the FIN: a process that has used up its CPU quota could pause there
// for longer than a request may take to cross the close.
func (c *Conn) CloseIfQuiet() bool {
	result := c.closeIfQuiet()
	if result == closeBegun {
		c.loop.linger(c)
	}
	return result != notQuiet
}

// closeResult is what an attempt to close a connection has found.
type closeResult uint8

const (
	notQuiet       closeResult = iota // the connection goes on
	alreadyClosing                    // or its descriptor is closed
	closeBegun                        // by this attempt
)

// closeIfQuiet checks and sends the FIN. It takes the locks in the order that Conn names.
func (c *Conn) closeIfQuiet() closeResult {
	c.nb.Lock() // the loop reads nothing meanwhile
	defer c.nb.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connOpen {
		return alreadyClosing
	}
	if closed, _ := c.nb.IsClosed(); !closed {
		if !c.registered || c.pendingBytes > 0 || c.beingRead() || c.socketHasUnread() {
			return notQuiet
		}
		syscall.Shutdown(c.nb.Hash(), syscall.SHUT_WR)
	}
	c.state = c.state.next(closeRequested).next(flushed)
	return closeBegun
}

// sendFIN ends this side of the connection, once all that was written before the close was
// requested has been sent.
func (c *Conn) sendFIN() {
	c.mu.Lock()
	due := c.registered && c.state == connFlushing && c.pendingBytes <= 0
	if due {
		c.state = c.state.next(flushed)
		c.abortAt = time.Now().Add(maxLinger)
	}
	c.mu.Unlock()
	if due {
		c.shutdown(syscall.SHUT_WR)
	}
}

// shutdown ends the given directions. The lock of nbio is held meanwhile, so that the descriptor
// is not closed, and another connection's by then.
func (c *Conn) shutdown(how int) {
	c.nb.Lock()
	defer c.nb.Unlock()
	if closed, _ := c.nb.IsClosed(); !closed {
		syscall.Shutdown(c.nb.Hash(), how)
	}
}

// Abort ends both directions at once and drops pending bytes; the loop closes the descriptor by
// the event that this causes. Before the loop has the connection it is only marked, and
// Loop.register does the rest: nbio would register a descriptor that is closed already, and by
// then perhaps another connection's.
func (c *Conn) Abort() {
	c.mu.Lock()
	first := !c.aborted()
	if first {
		c.abortedAt = time.Now()
	}
	registered := c.registered
	c.mu.Unlock()
	if first {
		c.loop.noteAborted(c)
	}
	if registered {
		c.shutdown(syscall.SHUT_RDWR)
	}
}
