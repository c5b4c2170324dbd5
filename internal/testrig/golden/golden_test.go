package golden

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFillLeavesNothingZero guards against a zero field in a sample, which omitempty would leave out of the
// golden file, and against two fields with the same value.
func TestFillLeavesNothingZero(t *testing.T) {
	type inner struct {
		Number uint8   `json:"number,omitempty"`
		Share  float64 `json:"share,omitempty"`
	}
	var sample struct {
		inner2   int
		Flag     bool             `json:"flag,omitempty"`
		Text     string           `json:"text,omitempty"`
		Raw      json.RawMessage  `json:"raw,omitempty"`
		List     []inner          `json:"list,omitempty"`
		Map      map[string]inner `json:"map,omitempty"`
		Pointer  *inner           `json:"pointer,omitempty"`
		Untagged [2]int64
	}
	Fill(&sample)
	text, err := json.Marshal(sample)
	require.NoError(t, err)
	require.Equal(t, `{"flag":true,"text":"text-3","raw":{"raw":4},"list":[{"number":7,"share":8.5}],"map":{"text-10":{"number":12,"share":13.5}},"pointer":{"number":16,"share":17.5},"Untagged":[19,20]}`, string(text))
	require.Zero(t, sample.inner2)
}
