package lineproto

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParser: whatever comes, in whatever pieces, the messages are the same and
// nothing panics.
func FuzzParser(f *testing.F) {
	f.Add([]byte("DONE 1 9b1f03aa5c7e2d41 OK 5 4\r\nbody\r\nNOTE 2 a\r\n"), 33)
	f.Add([]byte("DONE -1\r\n"), 1)
	f.Add([]byte("DONE 99999999999\r\n"), 4)
	f.Add([]byte("\r\n"), 1)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		read := func(pieces ...[]byte) (out []Message) {
			p := Parser{HasPayload: func(w []string) bool { return w[0] == "DONE" }}
			for _, b := range pieces {
				if p.Feed(b, func(m Message) { out = append(out, m) }) != nil {
					return append(out, Message{Words: []string{"bad"}})
				}
			}
			return out
		}
		cut = min(max(cut, 0), len(in))
		require.Equal(t, read(in), read(in[:cut], in[cut:]))
	})
}
