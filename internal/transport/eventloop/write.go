package eventloop

import "syscall"

const (
	maxQueuedBytes   = 1 << 20  // a connection with more queued output is aborted
	maxCombinedBytes = 64 << 10 // a combined write with more bytes is sent before its end
)

// Write sends b, or queues it, without blocking. If sending fails or the queue would exceed
// maxQueuedBytes, it aborts the connection. If the quota of LimitQueue is exceeded, it aborts the connections with the
// most queued bytes.
func (c *Conn) Write(b []byte) {
	c.writeAndQueue(b)
	c.queued.reclaim()
}

func (c *Conn) writeAndQueue(b []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	pending, ok := c.addPendingBytes(len(b))
	if !ok {
		return
	}
	if pending+len(b) > maxQueuedBytes {
		c.Abort()
		return
	}
	if c.combining {
		c.combined = append(c.combined, b...)
		if len(c.combined) >= maxCombinedBytes {
			c.sendCombined()
		}
		return
	}
	c.sendOrQueue(b, pending)
}

// sendOrQueue sends b, or queues it if other bytes are queued or the socket takes no more. The number of pending bytes
// does not count b. The caller must hold writeMu.
func (c *Conn) sendOrQueue(b []byte, pending int) {
	if pending == 0 {
		sent, ok := c.send(b)
		c.markSent(sent)
		if !ok {
			c.Abort()
			return
		}
		b = b[sent:]
	}
	if len(b) > 0 {
		c.queued.add(len(b))
		c.nbConn.Write(b) // queues b, since the socket's send buffer is full
	}
}

// BeginCombinedWrite makes the connection collect what is written until EndCombinedWrite, so that many short messages are
// sent with one system call. More than maxCombinedBytes are sent at once.
func (c *Conn) BeginCombinedWrite() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.combining = true
}

// EndCombinedWrite sends what was written since BeginCombinedWrite.
func (c *Conn) EndCombinedWrite() {
	c.writeMu.Lock()
	c.combining = false
	c.sendCombined()
	c.writeMu.Unlock()
	c.queued.reclaim()
}

// sendCombined sends or queues the collected bytes. The caller must hold writeMu.
func (c *Conn) sendCombined() {
	b := c.combined
	c.combined = nil
	if len(b) > 0 {
		c.sendOrQueue(b, c.PendingBytes()-len(b))
	}
}

// addPendingBytes adds n to the pending bytes and returns how many were pending before. It reports false
// if the connection is closing and accepts no writes.
func (c *Conn) addPendingBytes(n int) (queued int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing() {
		return 0, false
	}
	queued = c.pendingBytes
	c.pendingBytes += n
	return queued, true
}

// send writes as many bytes as the socket accepts without blocking. It reports false if the connection
// has failed. It does not use nbio's write, which would close the descriptor on this goroutine.
func (c *Conn) send(b []byte) (sent int, ok bool) {
	c.nbConn.Lock()
	defer c.nbConn.Unlock()
	if closed, _ := c.nbConn.IsClosed(); closed {
		return 0, false
	}
	for {
		n, err := syscall.Write(c.nbConn.Hash(), b)
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

// markSent subtracts n sent bytes from the pending ones. The caller may hold nbio's lock, so a FIN that
// is due is sent on a separate goroutine.
func (c *Conn) markSent(n int) {
	c.mu.Lock()
	c.pendingBytes -= n
	c.sentBytes += int64(n)
	finDue := c.state == connFlushing && c.pendingBytes <= 0
	c.mu.Unlock()
	if finDue {
		go c.sendFIN()
	}
}
