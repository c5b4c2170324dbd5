package frontend

import (
	"time"

	"go.uber.org/zap"
)

// maxStalledSweeps is for how many sweeps of the dispatcher, some 2 s, a caller may owe its next
// step. Sweeps are counted rather than time, so that a pause of the machine is held against
// nobody.
const maxStalledSweeps = 9

// stall counts for how long a caller has owed its next step.
type stall struct {
	sweeps      int // in a row for which it has owed it
	unsentBytes int // that waited for the caller to read them at the latest sweep
}

// progress is what a sweep finds of a caller.
type progress uint8

const (
	progressing progress = iota // it owes nothing, or not for long
	stalled                     // its first request, or the rest of one, is overdue
	notReading                  // it has read no answer for as long
)

// String returns the name of p.
func (p progress) String() string {
	return [...]string{"progressing", "stalled", "not reading"}[p]
}

// checkProgress counts a sweep. A caller owes its first request, the rest of one, or the reading
// of its answers: fewer bytes must wait than at the sweep before.
func (c *Conn) checkProgress() progress {
	c.Lock()
	defer c.Unlock()
	unsent := c.PendingBytes()
	unread := unsent > 0 && unsent >= c.stall.unsentBytes
	c.stall.unsentBytes = unsent
	owesRequest := c.hasPartialMessage() || !c.completeRequest && !c.draining
	if !owesRequest && !unread {
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

// CloseIdle closes the connection gracefully if no request is open and none was for so long,
// and reports whether it did. Part of a message is not idle; nor are bytes that wait to be
// read, which may be a request that came long before the close. A draining connection is closed
// once its requests are answered, and counts as closed from then on.
func (c *Conn) CloseIdle(now time.Time, idle time.Duration) bool {
	c.Lock()
	defer c.Unlock()
	if c.draining {
		c.closeOnceAnswered()
		return c.openRequests == 0
	}
	if c.hasPartialMessage() || c.openRequests > 0 || now.Sub(c.lastActive) < idle || !c.CloseIfQuiet() {
		return false
	}
	c.draining = true
	return true
}

// Reap closes the connections of callers that have stalled, and those that have been idle for
// so long. A caller that reads no answers is aborted; one that owes a request, and of which no
// bytes wait to be parsed, is drained.
func (s *Server) Reap(idle time.Duration) {
	s.mu.Lock()
	closed := 0
	now := time.Now()
	for c := range s.conns {
		switch c.checkProgress() {
		case notReading:
			closed++
			c.Abort()
		case stalled:
			if c.CloseIdle(now, 0) {
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

// CloseIdle closes the connections that have had no open request for so long, and returns how
// many remain, one more while the listener is being closed, and how many bytes wait to be sent.
func (s *Server) CloseIdle(idle time.Duration) (remaining, unsentBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		remaining++
	}
	now := time.Now()
	for c := range s.conns {
		unsentBytes += c.PendingBytes()
		if !c.CloseIdle(now, idle) {
			remaining++
		}
	}
	return remaining, unsentBytes
}
