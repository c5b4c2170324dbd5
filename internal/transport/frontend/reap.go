package frontend

import (
	"time"

	"go.uber.org/zap"
)

// maxStalledSweeps is the number of sweeps in a row for which a caller may be stalled; the next
// one closes its connection. With the dispatcher's sweepInterval of 200 ms that is after 2 s.
// Sweeps are counted rather than time, so that a pause of the machine does not count.
const maxStalledSweeps = 9

// stall counts for how long a caller has made no progress.
type stall struct {
	sweeps      int // in a row without progress
	unsentBytes int // pending at the latest sweep
}

// progress is what a sweep finds of a caller.
type progress uint8

const (
	progressing progress = iota // nothing is expected of it, or not for long
	stalled                     // its first request, or the rest of one, is overdue
	notReading                  // it has read no answer for maxStalledSweeps
)

// String returns the name of p.
func (p progress) String() string {
	return [...]string{"progressing", "stalled", "not reading"}[p]
}

// checkProgress counts a sweep. A caller without progress has sent no request yet, or only part of
// one, or has read no bytes of its answers since the sweep before.
func (c *Conn) checkProgress() progress {
	c.Lock()
	defer c.Unlock()
	unsent := c.PendingBytes()
	unread := unsent > 0 && unsent >= c.stall.unsentBytes
	c.stall.unsentBytes = unsent
	requestDue := c.hasPartialMessage() || !c.receivedRequest && !c.rejectsRequests
	if !requestDue && !unread {
		c.stall.sweeps = 0
		return progressing
	}
	c.stall.sweeps++
	switch {
	case c.stall.sweeps <= maxStalledSweeps:
		return progressing
	case unread:
		return notReading
	default:
		return stalled
	}
}

// CloseIfIdle closes the connection gracefully if no request has been open for the given time, and
// reports whether it did. A connection with part of a message is not idle; nor is one with unread
// bytes, which may be a request that was sent long before the close. For a connection that refuses
// requests see finishDrain.
func (c *Conn) CloseIfIdle(now time.Time, idle time.Duration) bool {
	c.Lock()
	defer c.Unlock()
	if c.rejectsRequests {
		return c.finishDrain()
	}
	if c.hasPartialMessage() || c.openRequests > 0 || now.Sub(c.lastActive) < idle || !c.CloseIfQuiet() {
		return false
	}
	c.rejectsRequests = true
	return true
}

// finishDrain closes a connection that refuses requests if none is open. It reports whether that
// is so, also while the connection is closing. The lock is held.
func (c *Conn) finishDrain() (closed bool) {
	c.closeOnceAnswered()
	return c.openRequests == 0
}

// Sweep closes the connections of callers that have stalled, and those that have been idle for the
// given time. The connection of a caller that reads no answers is aborted. One whose request is
// overdue is closed, or drained, unless it has unread bytes: the request may be among them.
func (s *Server) Sweep(idle time.Duration) {
	s.mu.Lock()
	closed := 0
	now := time.Now()
	for c := range s.conns {
		switch c.checkProgress() {
		case notReading:
			closed++
			c.Abort()
		case stalled:
			if c.CloseIfIdle(now, 0) {
				closed++
			} else if !c.HasUnread() {
				closed++
				c.Drain()
			}
		}
	}
	s.mu.Unlock()
	if closed > 0 {
		s.Log.Warn("callers stalled, connections closed", zap.Int("connections", closed))
	}
	s.CloseIdle(idle)
}

// CloseIdle closes the connections that have had no open request for the given time. It returns
// how many remain, one more while the listener is being closed, and how many bytes are pending.
func (s *Server) CloseIdle(idle time.Duration) (remaining, unsentBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainingBacklog {
		remaining++
	}
	now := time.Now()
	for c := range s.conns {
		unsentBytes += c.PendingBytes()
		if !c.CloseIfIdle(now, idle) {
			remaining++
		}
	}
	return remaining, unsentBytes
}
