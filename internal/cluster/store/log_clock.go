package store

import (
	"sync"
	"time"
)

// maxLogClockStep is by how much a stamp is at most ahead of the one before. It is no shorter than the
// longest time between two stamps while sessions are open, so that idle ones do end.
const maxLogClockStep = time.Minute

// logClock stamps the requests that this node proposes as the leader. It goes on from the log's own time
// with the time that passes between two stamps, and not with the wall clock: after a time without
// requests, or a stop of the whole cluster, log time must not catch up within a few entries, which
// would end sessions that are in use. The zero value is ready.
type logClock struct {
	mu        sync.Mutex
	logTime   time.Duration // since the Unix epoch
	stampedAt time.Time     // when that was read
}

// stamp returns the time of a request in Unix milliseconds. logTimeMS is the log's own, 0 if no request
// has set it: the wall clock does then.
func (c *logClock) stamp(logTimeMS int64, now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	appliedTime := time.Duration(logTimeMS) * time.Millisecond
	if appliedTime == 0 && c.logTime == 0 {
		appliedTime = time.Duration(now.UnixNano())
	}
	if c.logTime != 0 {
		c.logTime += min(now.Sub(c.stampedAt), maxLogClockStep)
	}
	c.logTime = max(c.logTime, appliedTime)
	c.stampedAt = now
	return c.logTime.Milliseconds()
}
