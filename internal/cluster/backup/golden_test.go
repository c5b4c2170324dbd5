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

// TestGoldenFile: a backup file is read whole, and written again byte for byte.
func TestGoldenFile(t *testing.T) {
	keys := []Entry{{"a", 3, json.RawMessage(`{"x":[1,2]}`)}, {"b/ü\n", 9, json.RawMessage(`"<&>"`)}}
	var written bytes.Buffer
	head, err := Write(&written, Header{Cluster: "c1", Revision: 9, TimeMS: 17, Token: 5}, keys)
	require.NoError(t, err)
	golden.Text(t, "testdata/small.backup", written.String())
	stored, err := os.ReadFile("testdata/small.backup")
	require.NoError(t, err)
	storedHead, storedKeys, err := Read(bytes.NewReader(stored))
	require.NoError(t, err)
	require.Equal(t, head, storedHead)
	require.Equal(t, keys, storedKeys)
	var again bytes.Buffer
	_, err = Write(&again, storedHead, storedKeys)
	require.NoError(t, err)
	require.Equal(t, stored, again.Bytes())
}
