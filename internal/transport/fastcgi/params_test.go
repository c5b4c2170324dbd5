package fastcgi

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestParams checks the values of single, repeated and absent parameters.
func TestParams(t *testing.T) {
	var stream []byte
	for _, p := range [][2]string{{"A", "1"}, {"B", ""}, {"C", "x"}, {"B", "2"}, {"B", ""}, {"", "y"}} {
		stream = appendPair(stream, p[0], p[1])
	}
	p, err := parseParams(stream)
	require.NoError(t, err)
	for name, want := range map[string]string{"A": "1", "B": ", 2, ", "C": "x", "": "y", "D": "", "a": ""} {
		require.Equal(t, want, p.get(name), "%q", name)
	}
	_, err = parseParams(stream[:len(stream)-1])
	require.ErrorIs(t, err, errMalformedPairs)
	p, err = parseParams(nil)
	require.NoError(t, err)
	require.Empty(t, p.get(""))
}

// TestManyShortParamsAreCheap guards against callers whose heads of very many short parameters delay all others: a
// head must not cost more memory than a few times its length.
func TestManyShortParamsAreCheap(t *testing.T) {
	const maxFactor = 8
	heads := map[string][]byte{"one name": make([]byte, maxParamsBytes)}
	for i := range uint16(maxParamsBytes / 4) {
		heads["many names"] = appendPair(heads["many names"], string([]byte{byte(i >> 8), byte(i)}), "")
	}
	for name, head := range heads {
		allocated := allocatedBytes(func() {
			p, err := parseParams(head)
			require.NoError(t, err)
			raw := p.toRawRequest()
			_, err = raw.Decode(nil, time.Now())
			require.Error(t, err)
			p.get("")
		})
		require.Less(t, allocated, maxFactor*maxParamsBytes, "bytes for a head with %s", name)
	}
}

// allocatedBytes returns how many bytes f allocates.
func allocatedBytes(f func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc - before.TotalAlloc)
}
