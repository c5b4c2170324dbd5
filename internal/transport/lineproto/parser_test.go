package lineproto

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParser checks that the parser does not panic, and that it returns the same messages wherever the
// input is split.
func FuzzParser(f *testing.F) {
	f.Add([]byte("DONE 1 9b1f03aa5c7e2d41 OK 5 4\r\nbody\r\nNOTE 2 a\r\n"), 33)
	f.Add([]byte("DONE -1\r\n"), 1)
	f.Add([]byte("DONE 99999999999\r\n"), 4)
	f.Add([]byte("\r\n"), 1)
	f.Fuzz(func(t *testing.T, input []byte, splitAt int) {
		read := func(pieces ...[]byte) (out []Message) {
			p := Parser{HasPayload: func(w []string) bool { return w[0] == "DONE" }}
			for _, b := range pieces {
				if p.Feed(b, func(m Message) { out = append(out, m) }) != nil {
					return append(out, Message{Words: []string{"bad"}})
				}
			}
			return out
		}
		splitAt = min(max(splitAt, 0), len(input))
		require.Equal(t, read(input), read(input[:splitAt], input[splitAt:]))
	})
}

// TestAppend checks the bytes of appended messages, and that the parser returns the same messages.
func TestAppend(t *testing.T) {
	b := AppendLine(nil, "ATTACH", "0")
	b = AppendWithPayload(b, []byte("body\r\n"), "RUN", "9b1f03aa5c7e2d41", "nom-submit")
	b = AppendWithPayload(b, nil, "FEED", "9b1f03aa5c7e2d41")
	require.Equal(t, "ATTACH 0\r\nRUN 9b1f03aa5c7e2d41 nom-submit 6\r\nbody\r\n\r\nFEED 9b1f03aa5c7e2d41 0\r\n\r\n", string(b))
	p := Parser{HasPayload: func(words []string) bool { return words[0] != "ATTACH" }}
	var got []Message
	require.NoError(t, p.Feed(b, func(m Message) { got = append(got, m) }))
	require.Equal(t, []Message{{Words: []string{"ATTACH", "0"}}, {Words: []string{"RUN", "9b1f03aa5c7e2d41", "nom-submit", "6"}, Payload: []byte("body\r\n")},
		{Words: []string{"FEED", "9b1f03aa5c7e2d41", "0"}, Payload: []byte{}}}, got)
}
