package ajp

import (
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/transport/frontend"
)

// newHeaders returns headers from alternating names and values.
func newHeaders(namesAndValues ...string) (list []frontend.Header) {
	for i := 0; i < len(namesAndValues); i += 2 {
		list = append(list, frontend.Header{Name: namesAndValues[i], Value: namesAndValues[i+1]})
	}
	return list
}

// FuzzParser checks that the parser does not panic on any input, and that it finds the same packets when the
// input arrives in two parts.
func FuzzParser(f *testing.F) {
	f.Add(append(encodeForwardRequest("/call/nom-submit", "s", newHeaders("trace-id", "1")), encodeRequestBodyChunk([]byte("body"))...), 9)
	f.Add(append(encodeRequestBodyChunk(nil), encodePacket(magicToServer, []byte{codeCPing})...), 2)
	f.Add(encodePacket(magicToServer, []byte{codeForwardRequest, 4, 0xff, 0xff, 0, 9, 'a'}), 5)
	f.Add([]byte{0x12, 0x34, 0xff, 0xff}, 1)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		read := func(pieces ...[]byte) (out []string) {
			p := newParser(magicToServer)
			for _, b := range pieces {
				err := p.feed(b, func(content []byte) error {
					out = append(out, string(content))
					f, err := parseForwardRequest(content)
					require.True(t, err != nil || f.headers != nil)
					return nil
				})
				if err != nil {
					return append(out, "bad")
				}
			}
			return out
		}
		cut = min(max(cut, 0), len(in))
		require.Equal(t, read(in), read(in[:cut], in[cut:]))
	})
}

// TestForwardRequestRoundTrip checks that an encoded FORWARD_REQUEST parses to the same values.
func TestForwardRequestRoundTrip(t *testing.T) {
	p := encodeForwardRequest("/call/x", "secret", newHeaders("Trace-Id", "1", "content-length", "4"))
	got, err := parseForwardRequest(p[5:])
	require.NoError(t, err)
	require.Equal(t, forwardRequest{method: "POST", path: "/call/x", secret: "secret",
		headers: map[string]string{"trace-id": "1", "content-length": "4"}}, got)
}
