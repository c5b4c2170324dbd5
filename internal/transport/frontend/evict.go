package frontend

import (
	"slices"
	"time"

	"oxbowbridge/internal/proxy/exchange"
)

// firstRequestGracePeriod is how long a new connection is protected from eviction (except in groups 3
// and 4 of evictOne), since its first request may already be on its way.
const firstRequestGracePeriod = exchange.CloseRaceWindow

// slowRequestGracePeriod is how long a request on a used connection may arrive before the connection can be evicted.
const slowRequestGracePeriod = 2 * time.Second

// evictOne closes a connection to make room for a new one, and reports whether it could evict one. It
// tries connections in the order of these groups, and within a group the longest inactive first:
//
//  1. no complete request and no part of one, and opened at least firstRequestGracePeriod ago;
//  2. idle after at least one complete request;
//  3. no complete request and no part of one, and opened more recently;
//  4. part of the first request received;
//  5. part of a later request received, which has been arriving for at least slowRequestGracePeriod.
//
// A connection with a complete open request or unparsed bytes is never evicted. A complete request may be among
// the bytes, and the caller could not know that it did not run, so rejecting the new connection is
// safer. The lock of the Server must be held.
//
// evictAny implements the complete order. evictOne first tries the longest inactive connections of
// groups 1 and 2, which it finds without sorting.
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

// longestInactive returns the longest inactive connection of those without a complete request (unused)
// and of those with one (used), nil if there is none. It does not sort, which keeps accepting fast on a
// busy frontend with many new connections.
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

// evictAny tries all connections in the order that evictOne documents. It is called if the longest
// inactive ones can't be evicted.
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
	slow := slices.DeleteFunc(used, func(c *Conn) bool { return !c.onlyReceivesSince(now.Add(-slowRequestGracePeriod)) })
	for _, c := range slices.Concat(unused, slow) {
		if !c.HasUnhandledInput() {
			c.Drain()
			s.untrack(c)
			return true
		}
	}
	return false
}

// byInactivity returns the connections without a complete request (unused) and those with one (used),
// each sorted with the longest inactive first.
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

// evictIdle closes a connection if it is idle, and reports whether it did.
func (s *Server) evictIdle(c *Conn, now time.Time) bool {
	if !c.CloseIfIdle(now, 0) {
		return false
	}
	s.untrack(c)
	return true
}

// activity returns when the connection was last active, and whether it has received no complete request.
func (c *Conn) activity() (lastActive time.Time, unused bool) {
	c.Lock()
	defer c.Unlock()
	return c.lastActive, !c.receivedRequest
}

func firstRequestGraceOver(c *Conn, now time.Time) bool {
	lastActive, _ := c.activity()
	return now.Sub(lastActive) >= firstRequestGracePeriod
}
