package memquota

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.RunTests(m) }

// TestReclaim checks with random sequences of changes that the holders never use more than the maximum after
// Reclaim, that Reclaim releases nothing below the maximum, and that no holder has to release its memory while a
// larger one keeps it.
func TestReclaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBytes := rapid.IntRange(1, 1000).Draw(t, "maximum")
		q := New(func() int { return maxBytes })
		used := make([]int, rapid.IntRange(1, 20).Draw(t, "holders")) // by holder, as the test counts
		closed := make([]bool, len(used))
		holders := make([]*Holder, len(used))
		var released []int
		for i := range holders {
			holders[i] = q.NewHolder(func() { released = append(released, i) })
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			i := rapid.IntRange(0, len(used)-1).Draw(t, "holder")
			n := rapid.IntRange(0, 300).Draw(t, "bytes")
			step := rapid.SampledFrom([]string{"set", "set", "add", "subtract", "close", "maximum"}).Draw(t, "step")
			switch {
			case step == "maximum":
				maxBytes = max(1, n)
			case step == "close":
				holders[i].Close()
				used[i], closed[i] = 0, true
			case step == "set":
				holders[i].Set(n)
				used[i] = n
			case step == "add":
				holders[i].Add(n)
				used[i] += n
			case step == "subtract":
				holders[i].Add(-n)
				used[i] = max(0, used[i]-n)
			}
			if closed[i] {
				used[i] = 0
			}
			total := sum(used)
			require.Equal(t, total, q.Used())
			released = nil
			q.Reclaim()
			require.Equal(t, total > maxBytes, len(released) > 0)
			smallest := total
			for _, r := range released {
				smallest = min(smallest, used[r])
				used[r] = 0
			}
			require.LessOrEqual(t, q.Used(), maxBytes)
			require.Equal(t, sum(used), q.Used())
			for kept, bytes := range used {
				require.False(t, len(released) > 0 && bytes > smallest, "holder %d keeps %d bytes, another one had to release %d", kept, bytes, smallest)
			}
		}
	})
}

func sum(numbers []int) (total int) {
	for _, n := range numbers {
		total += n
	}
	return total
}

// TestReleaseReportsWhatIsLeft guards against an endless loop: a holder that still uses memory after its release is not
// asked again by the same Reclaim, and counts with what it has left.
func TestReleaseReportsWhatIsLeft(t *testing.T) {
	q := Fixed(100)
	releases := 0
	var stubborn *Holder
	stubborn = q.NewHolder(func() { releases++; stubborn.Set(150) })
	stubborn.Set(200)
	q.Reclaim()
	require.Equal(t, 1, releases)
	require.Equal(t, 150, q.Used())
	q.Reclaim()
	require.Equal(t, 2, releases)
}
