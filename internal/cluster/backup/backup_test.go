package backup

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func newSampleBackup(t testing.TB) ([]byte, Header, []Entry) {
	entries := []Entry{{"a", 3, json.RawMessage(`{"x":[1,2]}`)}, {"b/ü\n", 9, json.RawMessage(`"<&>"`)}}
	var buf bytes.Buffer
	header, err := Write(&buf, Header{Cluster: "c1", Revision: 9, TimeMS: 17}, entries)
	require.NoError(t, err)
	return buf.Bytes(), header, entries
}

// TestDamageOfAnyByteIsDetected checks that a backup can be read back unchanged, and that Read returns
// ErrCorrupt if the file is truncated at any byte or any one bit is flipped.
func TestDamageOfAnyByteIsDetected(t *testing.T) {
	data, header, entries := newSampleBackup(t)
	readHeader, readEntries, err := Read(bytes.NewReader(data))
	require.NoError(t, err)
	require.Equal(t, header, readHeader)
	require.Equal(t, entries, readEntries)
	for i := range data {
		_, _, err := Read(bytes.NewReader(data[:i]))
		require.ErrorIs(t, err, ErrCorrupt, "cut at %d", i)
		for bit := range 8 {
			damaged := bytes.Clone(data)
			damaged[i] ^= 1 << bit
			_, _, err := Read(bytes.NewReader(damaged))
			require.ErrorIs(t, err, ErrCorrupt, "byte %d bit %d", i, bit)
		}
	}
	_, _, err = Read(bytes.NewReader(append(bytes.Clone(data), '\n')))
	require.ErrorIs(t, err, ErrCorrupt)
}

// FuzzRead checks that Read does not panic on any input, and that a backup that Read accepts can be
// written again with the same number of keys.
func FuzzRead(f *testing.F) {
	data, _, _ := newSampleBackup(f)
	f.Add(data)
	f.Add([]byte(`{"format":"oxbowbridge-backup-1","keys":-1}` + "\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		header, entries, err := Read(bytes.NewReader(input))
		if err != nil {
			return
		}
		var buf bytes.Buffer
		rewrittenHeader, err := Write(&buf, header, entries)
		require.NoError(t, err)
		require.Equal(t, header.Keys, rewrittenHeader.Keys)
	})
}
