// Package timerqueue is a queue of timers, each with a function and a due time. The package has no
// clock and no goroutine: the owner of a queue runs the due timers. A Queue must be used by one
// goroutine only.
package timerqueue

import (
	"cmp"
	"slices"
	"time"
)

// Timer is one scheduled function.
type Timer struct {
	due      time.Duration
	sequence uint64 // position in the order of scheduling
	run      func()
	done     bool // has run or was canceled
}

// Queue is a list of timers. The zero value is an empty queue. Times are durations since a fixed
// start, read from a clock of the owner.
type Queue struct {
	timers       []*Timer // in descending order: the next timer is last, so that it is cheap to remove
	lastSequence uint64
}

// compareTimers sorts in descending order of due time, and timers with equal due times in descending
// order of scheduling.
func compareTimers(a, b *Timer) int {
	return cmp.Or(cmp.Compare(b.due, a.due), cmp.Compare(b.sequence, a.sequence))
}

// Schedule adds a timer. The first call of RunDue at or after the due time calls run. Timers with
// equal due times run in the order in which they were scheduled.
func (q *Queue) Schedule(due time.Duration, run func()) *Timer {
	q.lastSequence++
	t := &Timer{due: due, sequence: q.lastSequence, run: run}
	i, _ := slices.BinarySearchFunc(q.timers, t, compareTimers)
	q.timers = slices.Insert(q.timers, i, t)
	return t
}

// Cancel removes a timer from the queue. It does nothing if the timer is nil, has run or was already
// canceled.
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

// NextDue returns the due time of the next timer, or false if the queue is empty.
func (q *Queue) NextDue() (due time.Duration, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[len(q.timers)-1].due, true
}

// RunDue runs all timers that are due by now, in order, including timers that they schedule for now
// or earlier.
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
