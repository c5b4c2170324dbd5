package descriptors

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/rapidseed"
)

func TestMain(m *testing.M) {
	flag.Parse()
	rapidseed.Fix()
	os.Exit(m.Run())
}

// TestDivide: whatever the limit, all shares and what is kept fit into it together, with
// twice the wanted number of ended connections, unless it is said to be short.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := Use{
			Limit:     rapid.IntRange(1, 1<<20).Draw(t, "limit"),
			Open:      rapid.IntRange(3, 200).Draw(t, "open"),
			Listeners: rapid.IntRange(1, 3).Draw(t, "listeners"),
			Others:    rapid.IntRange(0, 200).Draw(t, "others"),
		}
		kept := u.Open + u.Listeners + u.Others + reserve
		s := Divide(u)
		if s.Short {
			require.Less(t, u.Limit-kept, allParts, "short though there is room")
		} else {
			require.LessOrEqual(t, s.Callers+s.Calls+2*s.Ended+kept, u.Limit)
		}
		require.GreaterOrEqual(t, s.Callers, callersLeast)
		require.GreaterOrEqual(t, s.Calls, callsLeast)
		require.GreaterOrEqual(t, s.Ended, endedLeast)
	})
}

// TestDivideSmallest: the smallest limit that a configuration may give is enough for a
// process that was started with a few descriptors open.
func TestDivideSmallest(t *testing.T) {
	require.Equal(t, Shares{Callers: 30, Calls: 5, Ended: 2}, Divide(Use{Limit: 64, Open: 10, Listeners: 1}))
	require.Equal(t, Shares{Callers: 8, Calls: 2, Ended: 1, Short: true}, Divide(Use{Limit: 30, Open: 10, Listeners: 1}))
}
