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

func limits(processes int) Limits {
	return Limits{Cores: 4, Multiple: 8, ColdShare: 0.2, Cold: 16 * time.Second, Window: 3 * time.Second, Processes: processes}
}

// TestAllowed: the settings' figures at the start, half way and warm.
func TestAllowed(t *testing.T) {
	l := limits(1)
	require.InDelta(t, 4*(1+7*0.2), l.Allowed(0), 1e-9)
	require.InDelta(t, 4*(1+7*0.6), l.Allowed(8*time.Second), 1e-9)
	require.InDelta(t, 4*8, l.Allowed(16*time.Second), 1e-9)
	require.False(t, l.Warm(16*time.Second-1))
	require.True(t, l.Warm(16*time.Second))
	l.Cold = 0
	require.InDelta(t, 4*8, l.Allowed(0), 1e-9)
}

// TestSumOfProcesses: any number of processes that use all their slots send what is allowed
// in the mean, and never more than 2 x its root + 2 beyond it in a window, but for one
// window in a hundred.
func TestSumOfProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(rapid.IntRange(1, 200).Draw(t, "processes"))
		l.Cores = rapid.IntRange(1, 40).Draw(t, "cores")
		l.ColdShare = rapid.Float64Range(0.05, 0.9).Draw(t, "cold share")
		seed := rapid.Uint64().Draw(t, "seed")
		var ramps []*Ramp
		for i := range l.Processes {
			ramps = append(ramps, New(l, seed+uint64(i), time.Duration(i)))
		}
		over, windows := 0, 0
		var sum, allowed float64
		for age := l.Window; age < l.Cold; age += l.Window {
			n := 0
			for _, r := range ramps {
				n += r.Slots(age)
			}
			most := l.Allowed(age)
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
	l.Cold = time.Hour // its share hardly grows meanwhile
	r := New(l, 7, 0)
	changes, last := 0, r.Slots(0)
	for now := time.Duration(0); now < 100*l.Window; now += l.Window / 10 {
		if n := r.Slots(now); n != last {
			changes, last = changes+1, n
		}
	}
	require.Positive(t, changes)
	require.LessOrEqual(t, changes, 100)
	require.Equal(t, math.MaxInt, r.Slots(time.Hour))
	require.True(t, r.Warm(time.Hour))
}
