package slowstart

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.RunTests(m) }

func newConfig(processes int) Config {
	return Config{Cores: 4, MaxRunsPerCore: 8, MinSpeed: 0.2, Duration: 16 * time.Second, AveragingWindow: 3 * time.Second, Processes: processes}
}

// TestTotalQuota checks MaxRuns at the start, halfway through the warm-up, and when warm.
func TestTotalQuota(t *testing.T) {
	c := newConfig(1)
	require.InDelta(t, 4*(1+7*0.2), c.MaxRuns(0), 1e-9)
	require.InDelta(t, 4*(1+7*0.6), c.MaxRuns(8*time.Second), 1e-9)
	require.InDelta(t, 4*8, c.MaxRuns(16*time.Second), 1e-9)
	require.False(t, c.IsWarm(16*time.Second-1))
	require.True(t, c.IsWarm(16*time.Second))
	c.Duration = 0
	require.InDelta(t, 4*8, c.MaxRuns(0), 1e-9)
}

// TestSumOfQuotas checks for any number of processes that the sum of their quotas equals the total
// on average, and that it exceeds the total by more than twice its square root + 2 in at most one
// window.
func TestSumOfQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newConfig(rapid.IntRange(1, 200).Draw(t, "processes"))
		c.Cores = rapid.IntRange(1, 40).Draw(t, "cores")
		c.MinSpeed = rapid.Float64Range(0.05, 0.9).Draw(t, "minimum speed")
		seed := rapid.Uint64().Draw(t, "seed")
		var slowStarts []*SlowStart
		for i := range c.Processes {
			slowStarts = append(slowStarts, New(c, seed+uint64(i), time.Duration(i)))
		}
		exceeded, windows := 0, 0
		var sum, expectedSum float64
		for age := c.AveragingWindow; age < c.Duration; age += c.AveragingWindow {
			n := 0
			for _, s := range slowStarts {
				n += s.Quota(age)
			}
			total := c.MaxRuns(age)
			windows++
			sum += float64(n)
			expectedSum += total
			if float64(n) > total+2*math.Sqrt(total)+2 {
				exceeded++
			}
		}
		require.LessOrEqual(t, exceeded, 1)
		require.InDelta(t, expectedSum, sum, 4*math.Sqrt(expectedSum)+4)
	})
}

// TestQuotaIsConstantWithinWindow checks that the quota changes at most once per window, and that a warm
// server has no limit.
func TestQuotaIsConstantWithinWindow(t *testing.T) {
	c := newConfig(30)
	c.Duration = time.Hour // so long that the total quota hardly grows during the test
	s := New(c, 7, 0)
	changes, last := 0, s.Quota(0)
	for now := time.Duration(0); now < 100*c.AveragingWindow; now += c.AveragingWindow / 10 {
		if n := s.Quota(now); n != last {
			changes++
			last = n
		}
	}
	require.Positive(t, changes)
	require.LessOrEqual(t, changes, 100)
	require.Equal(t, math.MaxInt, s.Quota(time.Hour))
	require.True(t, c.IsWarm(time.Hour))
}
