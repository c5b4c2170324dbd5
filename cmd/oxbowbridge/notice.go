package main

import (
	"context"
	"time"
)

const (
	// noticePollInterval is the time between two looks at whether the notice has come.
	noticePollInterval = 25 * time.Millisecond
	// noticeSettleTime is how long a signal may take to be noticed by a process that runs, also just
	// after a standstill and beside busy processes.
	noticeSettleTime = 100 * time.Millisecond
)

// awaitNotice waits for the notice that the process will be stopped, and returns a time that is no
// later than when it was sent. What arrives too long after that must not run, and a process that
// stood still, or whose threads wait for a core, handles a signal late. So the time is that of the
// last look which lies noticeSettleTime back: after a standstill that is one before it.
func awaitNotice(notice context.Context, ordered <-chan struct{}) time.Time {
	ticker := time.NewTicker(noticePollInterval)
	defer ticker.Stop()
	looks := []time.Time{time.Now()}
	for {
		select {
		case <-notice.Done():
			return settledLooks(looks, time.Now())[0]
		case <-ordered:
			return time.Now() // it comes by no signal
		case now := <-ticker.C:
			if notice.Err() == nil {
				looks = append(settledLooks(looks, now), now)
			}
		}
	}
}

// settledLooks drops the looks, the oldest first, before the last that lies noticeSettleTime back.
func settledLooks(looks []time.Time, now time.Time) []time.Time {
	for len(looks) > 1 && now.Sub(looks[1]) >= noticeSettleTime {
		looks = looks[1:]
	}
	return looks
}
