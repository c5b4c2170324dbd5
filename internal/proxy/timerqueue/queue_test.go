package timerqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunDue: timers run in the order of their times, then of their scheduling; cancelled
// ones don't; and a timer that is scheduled for the past runs with the rest.
func TestRunDue(t *testing.T) {
	var q Queue
	var got []int
	schedule := func(due time.Duration, n int) *Timer { return q.Schedule(due, func() { got = append(got, n) }) }
	schedule(5, 4)
	schedule(1, 1)
	cancelled := schedule(2, 0)
	schedule(2, 2)
	q.Schedule(2, func() { schedule(1, 3) })
	schedule(9, 5)
	q.Cancel(cancelled)
	q.Cancel(cancelled)
	q.Cancel(nil)
	q.RunDue(5)
	require.Equal(t, []int{1, 2, 3, 4}, got)
	next, ok := q.NextDue()
	require.True(t, ok)
	require.EqualValues(t, 9, next)
}
