package slowstart

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

func TestMain(m *testing.M) {
	flag.Parse()
	rapidseed.Fix()
	os.Exit(m.Run())
}

func limits(processes int) Config {
	return Config{Cores: 4, WarmRunsPerCore: 8, MinSpeedFraction: 0.2, WarmUp: 16 * time.Second, AveragingWindow: 3 * time.Second, Processes: processes}
}

// TestAllowed: the settings' figures at the start, half way and warm.
func TestAllowed(t *testing.T) {
	l := limits(1)
	require.InDelta(t, 4*(1+7*0.2), l.TotalQuota(0), 1e-9)
	require.InDelta(t, 4*(1+7*0.6), l.TotalQuota(8*time.Second), 1e-9)
	require.InDelta(t, 4*8, l.TotalQuota(16*time.Second), 1e-9)
	require.False(t, l.IsWarm(16*time.Second-1))
	require.True(t, l.IsWarm(16*time.Second))
	l.WarmUp = 0
	require.InDelta(t, 4*8, l.TotalQuota(0), 1e-9)
}

// TestSumOfProcesses: any number of processes that use all their slots send what is allowed
// in the mean, and never more than 2 x its root + 2 beyond it in a window, but for one
// window in a hundred.
func TestSumOfProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(rapid.IntRange(1, 200).Draw(t, "processes"))
		l.Cores = rapid.IntRange(1, 40).Draw(t, "cores")
		l.MinSpeedFraction = rapid.Float64Range(0.05, 0.9).Draw(t, "cold share")
		seed := rapid.Uint64().Draw(t, "seed")
		var ramps []*SlowStart
		for i := range l.Processes {
			ramps = append(ramps, New(l, seed+uint64(i), time.Duration(i)))
		}
		over, windows := 0, 0
		var sum, allowed float64
		for age := l.AveragingWindow; age < l.WarmUp; age += l.AveragingWindow {
			n := 0
			for _, r := range ramps {
				n += r.Quota(age)
			}
			most := l.TotalQuota(age)
			windows++
			sum, allowed = sum+float64(n), allowed+most
			if float64(n) > most+2*math.Sqrt(most)+2 {
				over++
			}
		}
		require.LessOrEqual(t, over, 1)
		require.InDelta(t, allowed, sum, 4*math.Sqrt(allowed)+4)
	})
}

// TestSlotsStayForAWindow: the drawn slot neither comes nor goes within a window, and a warm
// server has no bound.
func TestSlotsStayForAWindow(t *testing.T) {
	l := limits(30)
	l.WarmUp = time.Hour // its share hardly grows meanwhile
	r := New(l, 7, 0)
	changes, last := 0, r.Quota(0)
	for now := time.Duration(0); now < 100*l.AveragingWindow; now += l.AveragingWindow / 10 {
		if n := r.Quota(now); n != last {
			changes, last = changes+1, n
		}
	}
	require.Positive(t, changes)
	require.LessOrEqual(t, changes, 100)
	require.Equal(t, math.MaxInt, r.Quota(time.Hour))
	require.True(t, r.Warm(time.Hour))
}
