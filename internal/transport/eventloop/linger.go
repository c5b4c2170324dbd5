package eventloop

import (
	"slices"
	"time"
)

// The limits of the lingering close.
const (
	// maxLinger is the time that a peer has to close its side. It is measured from the FIN or, while
	// queued bytes are being sent, from the latest progress of the peer in reading them.
	maxLinger = time.Second
	// minLinger is the time for which a lingering connection is not aborted when there are more than
	// maxLingering of them. It is twice exchange.CloseRaceWindow, the longest time for which a request
	// may cross the close on the wire.
	minLinger = 100 * time.Millisecond
	// lingerOvercommitFactor limits the number of lingering connections to this multiple of maxLingering,
	// even within minLinger, so that the descriptors reserved for sessions stay free.
	lingerOvercommitFactor = 2
)

// addLingering adds a connection whose close was requested to the lingering ones. If there are more than
// maxLingering, it aborts the oldest, since each uses a descriptor. Connections whose close was requested
// less than minLinger ago are aborted only if there are more than lingerOvercommitFactor times
// maxLingering.
func (l *Loop) addLingering(c *Conn) {
	now := time.Now()
	delivered := c.DeliveredBytes()
	c.mu.Lock()
	c.closeRequestedAt = now
	c.deliveredAtLastReap = delivered
	c.lingerDeadline = now.Add(maxLinger)
	c.mu.Unlock()
	l.mu.Lock()
	if !c.isClosed() {
		l.lingering = append(l.lingering, c)
	}
	evicted := l.evictLingering(now)
	l.mu.Unlock()
	abortAll(evicted)
}

// evictLingering removes the excess connections from the list of lingering ones, the oldest first, and
// returns them. The caller must hold l.mu.
func (l *Loop) evictLingering(now time.Time) []*Conn {
	n := 0
	for remaining := len(l.lingering); remaining > l.maxLingering; remaining-- {
		recent := now.Sub(l.lingering[n].closeRequestedAt) < minLinger
		if recent && remaining <= lingerOvercommitFactor*l.maxLingering {
			break
		}
		n++
	}
	evicted := slices.Clone(l.lingering[:n])
	l.lingering = slices.Delete(l.lingering, 0, n)
	return evicted
}

// ReapLingering aborts lingering connections whose deadline has passed and returns how many remain. It
// also closes connections that were aborted at least maxLinger ago and that no event of the loop has
// closed.
func (l *Loop) ReapLingering(now time.Time) (lingering int) {
	expired := l.expiredLingering(now)
	l.mu.Lock()
	l.lingering = slices.DeleteFunc(l.lingering, func(c *Conn) bool { return slices.Contains(expired, c) })
	lingering = len(l.lingering)
	stuck := l.stuckAborted(now)
	l.mu.Unlock()
	abortAll(expired)
	for _, c := range stuck {
		c.nbConn.Close()
	}
	return lingering
}

// expiredLingering returns the lingering connections whose deadline has passed. It examines them without l.mu,
// which the loop acquires after nbio's lock.
func (l *Loop) expiredLingering(now time.Time) (expired []*Conn) {
	l.mu.Lock()
	lingering := slices.Clone(l.lingering)
	l.mu.Unlock()
	for _, c := range lingering {
		if c.lingerExpired(now) {
			expired = append(expired, c)
		}
	}
	return expired
}

// lingerExpired reports whether the linger deadline has passed. It extends the deadline if queued bytes are being sent
// and the peer has read bytes since the previous ReapLingering.
func (c *Conn) lingerExpired(now time.Time) bool {
	delivered := int64(0)
	if c.PendingBytes() > 0 {
		delivered = c.DeliveredBytes()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if delivered > c.deliveredAtLastReap {
		c.lingerDeadline = now.Add(maxLinger)
	}
	c.deliveredAtLastReap = max(c.deliveredAtLastReap, delivered)
	return !now.Before(c.lingerDeadline)
}

// stuckAborted returns the connections that were aborted at least maxLinger ago and that no event has
// closed. The caller must hold l.mu.
func (l *Loop) stuckAborted(now time.Time) (stuck []*Conn) {
	for _, c := range l.aborted {
		c.mu.Lock()
		if c.registered && now.Sub(c.abortedAt) >= maxLinger {
			stuck = append(stuck, c)
		}
		c.mu.Unlock()
	}
	return stuck
}

// addAborted records a connection that the loop must still close. It ignores one that is already closed.
func (l *Loop) addAborted(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.isClosed() {
		l.aborted = append(l.aborted, c)
	}
}

// removeClosed marks a connection as closed and removes it from the lists of lingering and aborted ones.
func (l *Loop) removeClosed(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.mu.Lock()
	c.state = c.state.next(descriptorClosed)
	c.mu.Unlock()
	same := func(x *Conn) bool { return x == c }
	l.lingering = slices.DeleteFunc(l.lingering, same)
	l.aborted = slices.DeleteFunc(l.aborted, same)
}

// isClosed reports whether the descriptor is closed. The result changes only while Loop.mu is held.
func (c *Conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connClosed
}

func abortAll(conns []*Conn) {
	for _, c := range conns {
		c.Abort()
	}
}
