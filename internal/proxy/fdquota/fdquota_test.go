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
		u := Usage{
			Limit:       rapid.IntRange(1, 1<<20).Draw(t, "limit"),
			AlreadyOpen: rapid.IntRange(3, 200).Draw(t, "open"),
			Listeners:   rapid.IntRange(1, 3).Draw(t, "listeners"),
			Reserved:    rapid.IntRange(0, 200).Draw(t, "others"),
		}
		kept := u.AlreadyOpen + u.Listeners + u.Reserved + reserve
		s := Divide(u)
		if s.BelowMinimum {
			require.Less(t, u.Limit-kept, connsLeast+2*endedLeast+allParts, "short though there is room")
		} else {
			require.LessOrEqual(t, s.Connections+2*s.Lingering+kept, u.Limit)
		}
		require.GreaterOrEqual(t, s.Connections, connsLeast)
		require.GreaterOrEqual(t, s.ReservedCalls, callsLeast)
		require.GreaterOrEqual(t, s.Lingering, endedLeast)
		require.Less(t, s.ReservedCalls, s.Connections)
	})
}

// TestPool: in any order of callers and calls that come and go, both together never take
// more than there is, and a call always finds what is kept for calls.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := Divide(Usage{Limit: rapid.IntRange(30, 600).Draw(t, "limit"), AlreadyOpen: 10, Listeners: 1})
		p := NewPool(shares)
		callers, calls := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"caller", "caller", "caller leaves", "call", "call", "call ends"}).Draw(t, "step") {
			case "caller":
				if p.HasCallerCapacity() {
					p.AddCallers(1)
					callers++
				}
			case "caller leaves":
				if callers > 0 {
					p.AddCallers(-1)
					callers--
				}
			case "call":
				taken := p.AcquireCall()
				require.True(t, taken || calls >= shares.ReservedCalls, "%d calls, %d are kept", calls, shares.ReservedCalls)
				if taken {
					calls++
				}
			case "call ends":
				if calls > 0 {
					p.ReleaseCall()
					calls--
				}
			}
			require.LessOrEqual(t, callers+calls, shares.Connections)
			require.LessOrEqual(t, callers, p.MaxCallers())
		}
	})
}

// TestDivideSmallest: the smallest limit that a configuration may give is enough for a
// process that was started with a few descriptors open.
func TestDivideSmallest(t *testing.T) {
	require.Equal(t, Quotas{Connections: 37, ReservedCalls: 4, Lingering: 2}, Divide(Usage{Limit: 64, AlreadyOpen: 10, Listeners: 1}))
	require.Equal(t, Quotas{Connections: 10, ReservedCalls: 2, Lingering: 1, BelowMinimum: true}, Divide(Usage{Limit: 30, AlreadyOpen: 10, Listeners: 1}))
}
