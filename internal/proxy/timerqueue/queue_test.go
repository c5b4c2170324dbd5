package timerqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunDue checks that timers run in order of due time and then of scheduling, that canceled
// timers don't run, and that a timer scheduled for the past by another timer runs in the same call.
func TestRunDue(t *testing.T) {
	var q Queue
	var got []int
	schedule := func(due time.Duration, n int) *Timer { return q.Schedule(due, func() { got = append(got, n) }) }
	schedule(5, 4)
	schedule(1, 1)
	canceled := schedule(2, 0)
	schedule(2, 2)
	q.Schedule(2, func() { schedule(1, 3) })
	schedule(9, 5)
	q.Cancel(canceled)
	q.Cancel(canceled)
	q.Cancel(nil)
	q.RunDue(5)
	require.Equal(t, []int{1, 2, 3, 4}, got)
	next, ok := q.NextDue()
	require.True(t, ok)
	require.EqualValues(t, 9, next)
}
