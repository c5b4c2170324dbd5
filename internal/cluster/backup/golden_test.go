package backup

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig/golden"
)

func TestGoldenTypes(t *testing.T) {
	golden.JSON(t, "testdata/types.golden",
		golden.Sample{Name: "head", Value: &Header{}},
		golden.Sample{Name: "key", Value: &Entry{}},
	)
}

// TestGoldenFile checks that a stored backup file is read completely, and that writing it again produces
// the same bytes.
func TestGoldenFile(t *testing.T) {
	entries := []Entry{{"a", 3, json.RawMessage(`{"x":[1,2]}`)}, {"b/ü\n", 9, json.RawMessage(`"<&>"`)}}
	var written bytes.Buffer
	header, err := Write(&written, Header{Cluster: "c1", Revision: 9, TimeMS: 17, MaxFencingToken: 5}, entries)
	require.NoError(t, err)
	golden.Text(t, "testdata/small.backup", written.String())
	stored, err := os.ReadFile("testdata/small.backup")
	require.NoError(t, err)
	storedHeader, storedEntries, err := Read(bytes.NewReader(stored))
	require.NoError(t, err)
	require.Equal(t, header, storedHeader)
	require.Equal(t, entries, storedEntries)
	var rewritten bytes.Buffer
	_, err = Write(&rewritten, storedHeader, storedEntries)
	require.NoError(t, err)
	require.Equal(t, stored, rewritten.Bytes())
}
