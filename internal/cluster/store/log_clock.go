package store

import (
	"sync"
	"time"
)

// maxLogClockStep is the maximum difference between two consecutive time stamps. It is at least the
// longest interval between two stamps while sessions are open, so that idle sessions expire.
const maxLogClockStep = time.Minute

// logClock stamps the requests that this node proposes as leader. It advances the time in the log by the
// time elapsed between two stamps, and does not follow the wall clock. After a period without requests, or
// a stop of the whole cluster, the log time must not catch up within a few entries, as that would expire
// sessions in use. The zero value is ready to use.
type logClock struct {
	mu        sync.Mutex
	logTime   time.Duration // last stamp, since the Unix epoch
	stampedAt time.Time     // when the last stamp was made
}

// stamp returns the time stamp of a request in Unix milliseconds. logTimeMS is the last time stamp in the
// applied log, or 0 if there is none: then the clock starts at the wall clock time.
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
