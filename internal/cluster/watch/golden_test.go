package watch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenTypes checks that the JSON encoding of watch events is unchanged.
func TestGoldenTypes(t *testing.T) {
	golden.JSON(t, "testdata/types.golden",
		golden.Sample{Name: "change", Value: &Change{}},
		golden.Sample{Name: "revision", Value: &Revision{}},
	)
	require.Equal(t, "compacted: the oldest revision kept is 7", (&CompactedError{OldestRevision: 7}).Error())
}
