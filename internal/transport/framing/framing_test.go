package framing

import (
	"errors"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.RunTests(m) }

var errTooLong = errors.New("too long")

// testFormat has a header of two bytes, the second of which is the length of what follows.
var testFormat = Format{HeaderBytes: 2, FrameBytes: func(header []byte) (int, error) {
	if header[1] == 0xff {
		return 0, errTooLong
	}
	return 2 + int(header[1]), nil
}}

// TestSplitter checks that the frames of a stream are found in whatever pieces it arrives, that a discarded frame and no
// other one is left out, and that nothing is buffered between two frames.
func TestSplitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var sent, got []string
		for i := range byte(rapid.IntRange(1, 20).Draw(t, "frames")) {
			content := make([]byte, rapid.IntRange(0, 200).Draw(t, "length"))
			frame := append([]byte{i, byte(len(content))}, content...)
			stream = append(stream, frame...)
			sent = append(sent, string(frame))
		}
		s := NewSplitter(testFormat)
		handle := func(frame []byte) error { got = append(got, string(frame)); return nil }
		discarded := -1
		for at := 0; at < len(stream); {
			n := min(rapid.IntRange(1, 300).Draw(t, "piece"), len(stream)-at)
			require.NoError(t, s.Feed(stream[at:at+n], handle))
			at += n
			if discarded < 0 && len(s.buf) >= testFormat.HeaderBytes && rapid.Bool().Draw(t, "discard") {
				discarded = int(s.buf[0])
				s.DiscardPartialFrame()
				require.Zero(t, s.HeldBytes())
				require.True(t, s.HasPartialFrame())
			}
			require.LessOrEqual(t, s.HeldBytes(), max(64, maxSpareFactor*len(s.buf)))
		}
		require.False(t, s.HasPartialFrame())
		require.Zero(t, s.HeldBytes())
		if discarded >= 0 {
			sent = slices.Delete(sent, discarded, discarded+1)
		}
		require.True(t, slices.Equal(sent, got), "sent %q, got %q", sent, got)
	})
}

// TestSplitterError checks that an error ends the stream and frees the buffer.
func TestSplitterError(t *testing.T) {
	s := NewSplitter(testFormat)
	none := func([]byte) error { return nil }
	require.NoError(t, s.Feed([]byte{1, 3, 0}, none))
	require.ErrorIs(t, s.Feed([]byte{0, 0, 2, 0xff, 0}, none), errTooLong)
	require.Zero(t, s.HeldBytes())
	require.NoError(t, s.Feed([]byte{1}, none))
	require.ErrorIs(t, s.Feed([]byte{0}, func([]byte) error { return errTooLong }), errTooLong)
	s.DiscardPartialFrame() // without a header there is nothing to discard
	require.False(t, s.HasPartialFrame())
}
