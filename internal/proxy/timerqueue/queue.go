// Package timerqueue holds everything that is due at some time in one sorted
// list. It belongs to one goroutine, which sweeps it each turn.
package timerqueue

import (
	"cmp"
	"slices"
	"time"
)

// Entry is one deadline. It can be taken back until it is swept.
type Timer struct {
	at   time.Duration
	seq  uint64
	do   func()
	done bool
}

// Set is the sorted list, the earliest last so that sweeping is cheap.
type Queue struct {
	list []*Timer
	seq  uint64
}

// compare sorts the later before the earlier, and of one time the last first.
func compare(a, b *Timer) int {
	return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(b.seq, a.seq))
}

// At has do called by the first Sweep at or after the time.
func (s *Queue) Schedule(at time.Duration, do func()) *Timer {
	s.seq++
	e := &Timer{at: at, seq: s.seq, do: do}
	i, _ := slices.BinarySearchFunc(s.list, e, compare)
	s.list = slices.Insert(s.list, i, e)
	return e
}

// Cancel takes a deadline back; nil and swept entries are skipped.
func (s *Queue) Cancel(e *Timer) {
	if e == nil || e.done {
		return
	}
	e.done = true
	if i, ok := slices.BinarySearchFunc(s.list, e, compare); ok {
		s.list = slices.Delete(s.list, i, i+1)
	}
}

// Next is the earliest deadline, if there is one.
func (s *Queue) NextDue() (time.Duration, bool) {
	if len(s.list) == 0 {
		return 0, false
	}
	return s.list[len(s.list)-1].at, true
}

// Sweep calls all that is due, in order. What they add is left for the next
// sweep unless it is due by now too.
func (s *Queue) RunDue(now time.Duration) {
	for len(s.list) > 0 {
		e := s.list[len(s.list)-1]
		if e.at > now {
			return
		}
		s.list = s.list[:len(s.list)-1]
		e.done = true
		e.do()
	}
}
