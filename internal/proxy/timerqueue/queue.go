// Package timerqueue is a queue of timers, each a function and the time at which it is due.
// It has no clock and no goroutine: its owner runs what is due. A Queue belongs to one
// goroutine.
package timerqueue

import (
	"cmp"
	"slices"
	"time"
)

// Timer is one scheduled function.
type Timer struct {
	due      time.Duration
	sequence uint64 // in the order of scheduling
	run      func()
	done     bool // run or cancelled
}

// Queue is a list of timers. Its zero value is empty. Times are the owner's: spans since a
// fixed start.
type Queue struct {
	timers       []*Timer // the next one due is last, so that it is cheap to remove
	lastSequence uint64
}

// compareTimers orders the later timer first, and of one time the one scheduled last.
func compareTimers(a, b *Timer) int {
	return cmp.Or(cmp.Compare(b.due, a.due), cmp.Compare(b.sequence, a.sequence))
}

// Schedule has run called by the first RunDue at or after due. Timers of one time run in
// the order in which they were scheduled.
func (q *Queue) Schedule(due time.Duration, run func()) *Timer {
	q.lastSequence++
	t := &Timer{due: due, sequence: q.lastSequence, run: run}
	i, _ := slices.BinarySearchFunc(q.timers, t, compareTimers)
	q.timers = slices.Insert(q.timers, i, t)
	return t
}

// Cancel keeps a timer from running. A nil timer, and one that has run or was cancelled, is
// skipped.
func (q *Queue) Cancel(t *Timer) {
	if t == nil || t.done {
		return
	}
	t.done = true
	i, found := slices.BinarySearchFunc(q.timers, t, compareTimers)
	if found {
		q.timers = slices.Delete(q.timers, i, i+1)
	}
}

// NextDue is when the next timer is due, if there is one.
func (q *Queue) NextDue() (due time.Duration, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[len(q.timers)-1].due, true
}

// RunDue runs the timers that are due by now, in order. That includes timers which these
// schedule for now or earlier.
func (q *Queue) RunDue(now time.Duration) {
	for len(q.timers) > 0 {
		last := len(q.timers) - 1
		t := q.timers[last]
		if t.due > now {
			return
		}
		q.timers = q.timers[:last]
		t.done = true
		t.run()
	}
}
