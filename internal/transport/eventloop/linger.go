package eventloop

import (
	"slices"
	"time"
)

// The bounds of the lingering close.
const (
	// maxLinger is how long a peer has to end its side, after the FIN or, while queued bytes are
	// being sent, after the latest progress in reading them.
	maxLinger = time.Second
	// minLinger is for how long no bound on their number aborts a connection. It is twice
	// exchange.CloseRaceWindow, the time for which a request may cross the close.
	minLinger = 100 * time.Millisecond
	// lingerOvercommit times the wanted number of lingering connections are never exceeded, even
	// within minLinger: the descriptors reserved for sessions must stay free.
	lingerOvercommit = 2
)

// linger notes a connection that is being closed. Beyond the wanted number the oldest are
// aborted, as each holds a descriptor; those that were closed within minLinger only beyond
// lingerOvercommit times that number.
func (l *Loop) linger(c *Conn) {
	now := time.Now()
	c.mu.Lock()
	c.closeRequestedAt = now
	c.abortAt = now.Add(maxLinger)
	c.lastReapBytes = c.pendingBytes
	c.mu.Unlock()
	l.mu.Lock()
	if !c.isClosed() {
		l.lingering = append(l.lingering, c)
	}
	evicted := l.evictLingering(now)
	l.mu.Unlock()
	abortAll(evicted)
}

// evictLingering takes those that are too many from the list, the oldest first. The lock is
// held.
func (l *Loop) evictLingering(now time.Time) []*Conn {
	n := 0
	for remaining := len(l.lingering); remaining > l.maxLingering; remaining-- {
		recent := now.Sub(l.lingering[n].closeRequestedAt) < minLinger
		if recent && remaining <= lingerOvercommit*l.maxLingering {
			break
		}
		n++
	}
	evicted := slices.Clone(l.lingering[:n])
	l.lingering = slices.Delete(l.lingering, 0, n)
	return evicted
}

// ReapLingering aborts lingering connections whose peers have had their time, and returns how many still
// linger. It also closes aborted connections that the loop's events have not closed in
// maxLinger.
func (l *Loop) ReapLingering(now time.Time) (lingering int) {
	var expired []*Conn
	l.mu.Lock()
	l.lingering = slices.DeleteFunc(l.lingering, func(c *Conn) bool {
		if !c.lingerExpired(now) {
			return false
		}
		expired = append(expired, c)
		return true
	})
	lingering = len(l.lingering)
	stuck := l.stuckAborted(now)
	l.mu.Unlock()
	abortAll(expired)
	for _, c := range stuck {
		c.nb.Close()
	}
	return lingering
}

// lingerExpired reports whether the peer has had its time. A peer that has read some of what
// was written since the ReapLingering before has time anew.
func (c *Conn) lingerExpired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingBytes < c.lastReapBytes {
		c.abortAt = now.Add(maxLinger)
	}
	c.lastReapBytes = c.pendingBytes
	return !now.Before(c.abortAt)
}

// stuckAborted returns the connections that were aborted long ago and that no event has closed.
// The lock is held.
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

// noteAborted notes a connection that the loop is to close, unless it has.
func (l *Loop) noteAborted(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.isClosed() {
		l.aborted = append(l.aborted, c)
	}
}

// forget drops a connection whose descriptor is closed.
func (l *Loop) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.mu.Lock()
	c.state = c.state.next(descriptorClosed)
	c.mu.Unlock()
	same := func(x *Conn) bool { return x == c }
	l.lingering = slices.DeleteFunc(l.lingering, same)
	l.aborted = slices.DeleteFunc(l.aborted, same)
}

// isClosed reports whether the descriptor is closed. It changes under the loop's lock alone.
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
