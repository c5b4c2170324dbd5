package fdquota

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
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
			require.Less(t, u.Limit-kept, connsLeast+2*endedLeast+allParts, "short though there is room")
		} else {
			require.LessOrEqual(t, s.Conns+2*s.Ended+kept, u.Limit)
		}
		require.GreaterOrEqual(t, s.Conns, connsLeast)
		require.GreaterOrEqual(t, s.Calls, callsLeast)
		require.GreaterOrEqual(t, s.Ended, endedLeast)
		require.Less(t, s.Calls, s.Conns)
	})
}

// TestPool: in any order of callers and calls that come and go, both together never take
// more than there is, and a call always finds what is kept for calls.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := Divide(Use{Limit: rapid.IntRange(30, 600).Draw(t, "limit"), Open: 10, Listeners: 1})
		p := NewPool(shares)
		callers, calls := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"caller", "caller", "caller leaves", "call", "call", "call ends"}).Draw(t, "step") {
			case "caller":
				if p.CallerFits() {
					p.Callers(1)
					callers++
				}
			case "caller leaves":
				if callers > 0 {
					p.Callers(-1)
					callers--
				}
			case "call":
				taken := p.TakeCall()
				require.True(t, taken || calls >= shares.Calls, "%d calls, %d are kept", calls, shares.Calls)
				if taken {
					calls++
				}
			case "call ends":
				if calls > 0 {
					p.EndCall()
					calls--
				}
			}
			require.LessOrEqual(t, callers+calls, shares.Conns)
			require.LessOrEqual(t, callers, p.CallersMost())
		}
	})
}

// TestDivideSmallest: the smallest limit that a configuration may give is enough for a
// process that was started with a few descriptors open.
func TestDivideSmallest(t *testing.T) {
	require.Equal(t, Shares{Conns: 37, Calls: 4, Ended: 2}, Divide(Use{Limit: 64, Open: 10, Listeners: 1}))
	require.Equal(t, Shares{Conns: 10, Calls: 2, Ended: 1, Short: true}, Divide(Use{Limit: 30, Open: 10, Listeners: 1}))
}
