package fdquota

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.RunTests(m) }

// TestDivide checks for any limit that the quotas, counting lingering connections twice, plus all
// other descriptors don't exceed the limit, unless BelowMinimum is set.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := Usage{
			Limit:           rapid.IntRange(1, 1<<20).Draw(t, "limit"),
			OpenDescriptors: rapid.IntRange(3, 200).Draw(t, "open"),
			Listeners:       rapid.IntRange(1, 3).Draw(t, "listeners"),
			Reserved:        rapid.IntRange(0, 200).Draw(t, "others"),
		}
		others := u.OpenDescriptors + u.Listeners + u.Reserved + serviceDescriptors
		q := Divide(u)
		if q.BelowMinimum {
			require.Less(t, u.Limit-others, minConnections+2*minLingering+lingeringDivisor, "BelowMinimum is set although the limit is high enough")
		} else {
			require.LessOrEqual(t, q.Connections+2*q.Lingering+others, u.Limit)
		}
		require.GreaterOrEqual(t, q.Connections, minConnections)
		require.GreaterOrEqual(t, q.ReservedForCalls, minReservedCalls)
		require.GreaterOrEqual(t, q.Lingering, minLingering)
		require.Less(t, q.ReservedForCalls, q.Connections)
	})
}

// TestPool checks with random sequences of opened and closed connections that callers and calls
// together stay within their quota, and that calls can always use the connections reserved for them.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quotas := Divide(Usage{Limit: rapid.IntRange(30, 600).Draw(t, "limit"), OpenDescriptors: 10, Listeners: 1})
		p := NewConnPool(quotas)
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
				acquired := p.AcquireCall()
				require.True(t, acquired || calls >= quotas.ReservedForCalls, "call not acquired: %d calls are open, %d are reserved", calls, quotas.ReservedForCalls)
				if acquired {
					calls++
				}
			case "call ends":
				if calls > 0 {
					p.ReleaseCall()
					calls--
				}
			}
			require.LessOrEqual(t, callers+calls, quotas.Connections)
			require.LessOrEqual(t, callers, p.MaxCallers())
		}
	})
}

// TestDivideMinimumLimit checks that the lowest limit that the configuration allows (64) is enough for a
// process that was started with ten open descriptors, and that a lower limit sets BelowMinimum.
func TestDivideMinimumLimit(t *testing.T) {
	require.Equal(t, Quotas{Connections: 37, ReservedForCalls: 4, Lingering: 2}, Divide(Usage{Limit: 64, OpenDescriptors: 10, Listeners: 1}))
	require.Equal(t, Quotas{Connections: 10, ReservedForCalls: 2, Lingering: 1, BelowMinimum: true}, Divide(Usage{Limit: 30, OpenDescriptors: 10, Listeners: 1}))
}
