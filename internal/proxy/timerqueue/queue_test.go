package timerqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSweep: in order of time, then of setting; what was taken back stays out,
// and what is added for the past is swept with the rest.
func TestSweep(t *testing.T) {
	var s Queue
	var got []int
	put := func(at time.Duration, n int) *Timer { return s.Schedule(at, func() { got = append(got, n) }) }
	put(5, 4)
	put(1, 1)
	gone := put(2, 0)
	put(2, 2)
	s.Schedule(2, func() { put(1, 3) })
	put(9, 5)
	s.Cancel(gone)
	s.Cancel(gone)
	s.Cancel(nil)
	s.RunDue(5)
	require.Equal(t, []int{1, 2, 3, 4}, got)
	next, ok := s.NextDue()
	require.True(t, ok)
	require.EqualValues(t, 9, next)
}
