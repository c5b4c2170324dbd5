package frontend

import (
	"time"

	"go.uber.org/zap"
)

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

// CloseIdleAndStalled closes the connections that have been idle for the given time, and those of callers that make
// no progress or have taken too long for a request. The connection of a caller that reads no responses is aborted. A
// connection whose request is overdue is closed, or drained if it is not idle. It stays open if it has unread bytes, which
// may contain the request.
func (s *Server) CloseIdleAndStalled(idle time.Duration) {
	s.mu.Lock()
	closed := map[progress]int{}
	now := time.Now()
	for c := range s.conns {
		state := c.checkProgress(now)
		if state != progressing && c.closeWithoutProgress(state, now) {
			closed[state]++
		}
	}
	s.mu.Unlock()
	s.logWithoutProgress(closed)
	s.CloseIdle(idle)
}

// closeWithoutProgress closes a connection that is not progressing, and reports whether it did.
func (c *Conn) closeWithoutProgress(state progress, now time.Time) bool {
	switch {
	case state == notReading:
		c.Abort()
	case c.CloseIfIdle(now, 0):
	case c.HasUnhandledInput():
		return false
	default:
		c.Drain()
	}
	return true
}

// logWithoutProgress logs the number of closed connections by the state of their callers.
func (s *Server) logWithoutProgress(closed map[progress]int) {
	if len(closed) == 0 {
		return
	}
	s.Log.Warn("callers stalled, connections closed", zap.Int("connections", closed[silent]+closed[tooSlow]+closed[notReading]),
		zap.Int("silent", closed[silent]), zap.Int("too_slow", closed[tooSlow]), zap.Int("not_reading", closed[notReading]))
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
