package frontend

import (
	"time"

	"go.uber.org/zap"
)

// maxStalledSweeps is the maximum number of consecutive sweeps without progress of a caller. At the next
// sweep without progress its connection is closed, which is after 2 s with the dispatcher's sweepInterval
// of 200 ms. Sweeps are counted instead of time, so that a pause of the machine does not count.
const maxStalledSweeps = 9

// stall tracks how long a caller has made no progress.
type stall struct {
	sweeps      int // consecutive sweeps without progress
	unsentBytes int // unsent bytes at the latest sweep
}

// progress is the state of a caller at a sweep.
type progress uint8

const (
	progressing progress = iota // not stalled, or not for long enough
	stalled                     // the first request, or the rest of a request, is overdue
	notReading                  // the caller has read no response bytes for more than maxStalledSweeps
)

// String returns the name of the progress state.
func (p progress) String() string {
	return [...]string{"progressing", "stalled", "not reading"}[p]
}

// checkProgress updates the stall counter at a sweep. A caller makes no progress while it has sent no
// request or only part of one, or if it has read no response bytes since the previous sweep.
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
// reports whether it did. A connection with part of a message is not idle. A connection with unread bytes
// is not idle either, since they may be a request that was sent long before the close. A connection
// that rejects requests is handled by finishDrain.
func (c *Conn) CloseIfIdle(now time.Time, idle time.Duration) bool {
	c.Lock()
	defer c.Unlock()
	if c.rejectsRequests {
		return c.finishDrain()
	}
	if c.hasPartialMessage() || c.openRequests > 0 || now.Sub(c.lastActive) < idle || !c.CloseIfNoPendingData() {
		return false
	}
	c.rejectsRequests = true
	return true
}

// finishDrain closes a connection that rejects requests if no request is open. It reports true also if
// the connection was already closing. The lock must be held.
func (c *Conn) finishDrain() (closed bool) {
	c.closeOnceAnswered()
	return c.openRequests == 0
}

// CloseIdleAndStalled closes the connections of stalled callers, and those that have been idle for the given time. The
// connection of a caller that reads no responses is aborted. A connection whose request is overdue is
// closed, or drained if it is not idle. It stays open if it has unread bytes, which may contain the
// request.
func (s *Server) CloseIdleAndStalled(idle time.Duration) {
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
			} else if !c.HasUnhandledInput() {
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

// CloseIdle closes the connections that have had no open request for the given time. It returns the
// number of remaining connections, plus one while the listener is being closed, and the number of
// unsent bytes.
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
