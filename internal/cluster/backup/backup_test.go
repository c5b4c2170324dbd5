package backup

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func sample(t testing.TB) ([]byte, Header, []Entry) {
	keys := []Entry{{"a", 3, json.RawMessage(`{"x":[1,2]}`)}, {"b/ü\n", 9, json.RawMessage(`"<&>"`)}}
	var b bytes.Buffer
	h, err := Write(&b, Header{Cluster: "c1", Revision: 9, TimeMS: 17}, keys)
	require.NoError(t, err)
	return b.Bytes(), h, keys
}

// TestDamageOfAnyByteIsDetected: a backup is read as it was written; cut off at any byte, or with any
// bit of any byte changed, it is refused.
func TestDamageOfAnyByteIsDetected(t *testing.T) {
	text, h, keys := sample(t)
	h2, keys2, err := Read(bytes.NewReader(text))
	require.NoError(t, err)
	require.Equal(t, h, h2)
	require.Equal(t, keys, keys2)
	for i := range text {
		_, _, err := Read(bytes.NewReader(text[:i]))
		require.ErrorIs(t, err, ErrCorrupt, "cut at %d", i)
		for bit := range 8 {
			b := bytes.Clone(text)
			b[i] ^= 1 << bit
			_, _, err := Read(bytes.NewReader(b))
			require.ErrorIs(t, err, ErrCorrupt, "byte %d bit %d", i, bit)
		}
	}
	_, _, err = Read(bytes.NewReader(append(bytes.Clone(text), '\n')))
	require.ErrorIs(t, err, ErrCorrupt)
}

// FuzzRead: whatever comes, reading it does not panic, and what is taken can be
// written again as it was.
func FuzzRead(f *testing.F) {
	text, _, _ := sample(f)
	f.Add(text)
	f.Add([]byte(`{"format":"oxbowbridge-backup-1","keys":-1}` + "\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		h, keys, err := Read(bytes.NewReader(in))
		if err != nil {
			return
		}
		var b bytes.Buffer
		again, err := Write(&b, h, keys)
		require.NoError(t, err)
		require.Equal(t, h.Keys, again.Keys)
	})
}
