package fastcgi

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParser checks that the parser does not panic on any input, that it finds the same records when the input
// arrives in two parts, and that an encoded name-value pair parses to the same values.
func FuzzParser(f *testing.F) {
	f.Add(appendEndRequest(appendStream(nil, typeStdout, 7, []byte("body")), 7, statusRequestComplete), 3)
	f.Add(append(appendHeader(nil, typeParams, 1, 4), appendPair(nil, "a", "b")...), 1)
	f.Add([]byte{1, 4, 0, 1, 0xff, 0xff, 0xff, 0}, 8)
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"), 5)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		read := func(pieces ...[]byte) (out []byte) {
			p := newParser()
			for _, b := range pieces {
				err := p.feed(b, func(r record) error {
					out = append(append(out, r.recordType), r.content...)
					parsePairs(r.content, func(name, value string) {
						reencoded := appendPair(nil, name, value)
						require.NoError(t, parsePairs(reencoded, func(n, v string) { require.Equal(t, name+value, n+v) }))
					})
					return nil
				})
				if err != nil {
					return append(out, "bad"...)
				}
			}
			return out
		}
		cut = min(max(cut, 0), len(in))
		require.True(t, bytes.Equal(read(in), read(in[:cut], in[cut:])))
	})
}
