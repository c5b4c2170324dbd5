package main

import (
	"context"
	"time"
)

// noticePollInterval is the time between two looks at whether the notice has come.
const noticePollInterval = 25 * time.Millisecond

// awaitNotice waits for the notice that the process will be stopped, and returns a time that is no
// later than when it was sent. What arrives too long after that must not run, and a process that
// stood still, or whose threads wait for a core, handles a signal late. So the time is that of the
// last look but one: a look that comes with the end of a standstill may still precede the handling
// of the signal.
func awaitNotice(notice context.Context, ordered <-chan struct{}) time.Time {
	ticker := time.NewTicker(noticePollInterval)
	defer ticker.Stop()
	looked := time.Now()
	lookedBefore := looked
	for {
		select {
		case <-notice.Done():
			return lookedBefore
		case <-ordered:
			return time.Now() // it comes by no signal
		case <-ticker.C:
			if notice.Err() == nil {
				lookedBefore = looked
				looked = time.Now()
			}
		}
	}
}
