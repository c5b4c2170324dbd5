package frontend

import (
	"slices"
	"time"

	"oxbowbridge/internal/proxy/exchange"
)

// firstRequestGracePeriod is how long a new connection has for its first request before it may be
// evicted: the request may have been sent with the connection.
const firstRequestGracePeriod = exchange.MaxCloseRace

// evictOne closes a connection to make room for a new one, and reports whether it found one. The
// order of candidates, within each group the one inactive for longest first:
//
//  1. no complete request yet, made at least minFirstRequestTime ago, and no part of one;
//  2. idle after at least one complete request;
//  3. no complete request yet and made just now, no part of one;
//  4. part of its first request.
//
// A connection with open requests, or with bytes that are not parsed yet, is never evicted: a
// complete request may be among them, and its caller could not know that nothing ran. Rejecting
// the new connection is safer then. The lock of the Server is held.
//
// evictAny is the whole rule; the two candidates that are tried before it are those that it would
// try first, found without sorting.
func (s *Server) evictOne() bool {
	now := time.Now()
	unused, used := s.longestInactive()
	switch {
	case unused != nil && firstRequestGraceOver(unused, now) && s.evictIdle(unused, now):
		return true
	case used != nil && s.evictIdle(used, now):
		return true
	}
	return s.evictAny(now)
}

// longestInactive returns, of the connections without a complete request and of the others, the
// one that has been inactive for longest, nil if there is none. It is the quick way for the many
// new connections of a busy frontend.
func (s *Server) longestInactive() (unused, used *Conn) {
	var unusedSince, usedSince time.Time
	for c := range s.conns {
		since, isUnused := c.activity()
		switch {
		case isUnused && (unused == nil || since.Before(unusedSince)):
			unused, unusedSince = c, since
		case !isUnused && (used == nil || since.Before(usedSince)):
			used, usedSince = c, since
		}
	}
	return unused, used
}

// evictAny looks at all connections, where those inactive for longest can't be evicted.
func (s *Server) evictAny(now time.Time) bool {
	unused, used := s.byInactivity()
	firstTooNew := slices.IndexFunc(unused, func(c *Conn) bool { return !firstRequestGraceOver(c, now) })
	if firstTooNew < 0 {
		firstTooNew = len(unused)
	}
	for _, c := range slices.Concat(unused[:firstTooNew], used, unused[firstTooNew:]) {
		if s.evictIdle(c, now) {
			return true
		}
	}
	for _, c := range unused {
		if !c.HasUnread() {
			c.Drain()
			s.untrack(c)
			return true
		}
	}
	return false
}

// byInactivity lists the connections without a complete request, and the others, those that
// have been inactive for longest first.
func (s *Server) byInactivity() (unused, used []*Conn) {
	lastActive := make(map[*Conn]time.Time, len(s.conns))
	for c := range s.conns {
		activeAt, isUnused := c.activity()
		lastActive[c] = activeAt
		if isUnused {
			unused = append(unused, c)
		} else {
			used = append(used, c)
		}
	}
	longestFirst := func(a, b *Conn) int { return lastActive[a].Compare(lastActive[b]) }
	slices.SortFunc(unused, longestFirst)
	slices.SortFunc(used, longestFirst)
	return unused, used
}

// evictIdle closes a connection if it is idle, and reports whether it was.
func (s *Server) evictIdle(c *Conn, now time.Time) bool {
	if !c.CloseIfIdle(now, 0) {
		return false
	}
	s.untrack(c)
	return true
}

// activity returns when the connection was last active, and whether it has had no complete
// request yet.
func (c *Conn) activity() (lastActive time.Time, unused bool) {
	c.Lock()
	defer c.Unlock()
	return c.lastActive, !c.receivedRequest
}

func firstRequestGraceOver(c *Conn, now time.Time) bool {
	lastActive, _ := c.activity()
	return now.Sub(lastActive) >= firstRequestGracePeriod
}
