package ajp

import (
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/transport/frontend"
)

// headers are those with the given names and values, which take turns.
func headers(namesAndValues ...string) (list []frontend.Header) {
	for i := 0; i < len(namesAndValues); i += 2 {
		list = append(list, frontend.Header{Name: namesAndValues[i], Value: namesAndValues[i+1]})
	}
	return list
}

// FuzzParser: whatever comes, in whatever pieces, the packets are the same and
// nothing panics.
func FuzzParser(f *testing.F) {
	f.Add(append(forwardPacket("/call/nom-submit", "s", headers("trace-id", "1")), requestChunkPacket([]byte("body"))...), 9)
	f.Add(append(requestChunkPacket(nil), packet(magicToServer, []byte{codeCPing})...), 2)
	f.Add(packet(magicToServer, []byte{codeForwardRequest, 4, 0xff, 0xff, 0, 9, 'a'}), 5)
	f.Add([]byte{0x12, 0x34, 0xff, 0xff}, 1)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		read := func(pieces ...[]byte) (out []string) {
			p := parser{magic: magicToServer}
			for _, b := range pieces {
				err := p.feed(b, func(content []byte) error {
					out = append(out, string(content))
					f, err := readForwardRequest(content)
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

// TestForward: what is printed is read back.
func TestForward(t *testing.T) {
	p := forwardPacket("/call/x", "secret", headers("Trace-Id", "1", "content-length", "4"))
	got, err := readForwardRequest(p[5:])
	require.NoError(t, err)
	require.Equal(t, forwardRequest{method: "POST", path: "/call/x", secret: "secret",
		headers: map[string]string{"trace-id": "1", "content-length": "4"}}, got)
}
