package ajp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParser: whatever comes, in whatever pieces, the packets are the same and
// nothing panics.
func FuzzParser(f *testing.F) {
	f.Add(append(appendForward("/call/nom-submit", "s", [][2]string{{"trace-id", "1"}}), chunk([]byte("body"))...), 9)
	f.Add(append(chunk(nil), packet(toServer, []byte{codeCPing})...), 2)
	f.Add(packet(toServer, []byte{codeForward, 4, 0xff, 0xff, 0, 9, 'a'}), 5)
	f.Add([]byte{0x12, 0x34, 0xff, 0xff}, 1)
	f.Fuzz(func(t *testing.T, in []byte, cut int) {
		read := func(pieces ...[]byte) (out []string) {
			p := parser{magic: toServer}
			for _, b := range pieces {
				err := p.feed(b, func(content []byte) error {
					out = append(out, string(content))
					f, err := readForward(content)
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
	p := appendForward("/call/x", "secret", [][2]string{{"Trace-Id", "1"}, {"content-length", "4"}})
	got, err := readForward(p[5:])
	require.NoError(t, err)
	require.Equal(t, forward{method: "POST", path: "/call/x", secret: "secret",
		headers: map[string]string{"trace-id": "1", "content-length": "4"}}, got)
}
