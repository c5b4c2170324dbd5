package storeclient

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzReadEvents: whatever a stream holds, reading it ends without a panic, in whatever
// pieces it comes.
func FuzzReadEvents(f *testing.F) {
	f.Add("id: 7\nevent: change\ndata: {}\n\n", 3)
	f.Add(":\n\nevent: compacted\ndata: a\ndata: b\n\nid", 1)
	f.Fuzz(func(t *testing.T, in string, cut int) {
		read := func(r io.Reader) (out []event) {
			err := readEvents(r, func(e event) error { out = append(out, e); return nil })
			require.Error(t, err)
			return out
		}
		cut = min(max(cut, 0), len(in))
		require.Equal(t, read(strings.NewReader(in)), read(io.MultiReader(strings.NewReader(in[:cut]), strings.NewReader(in[cut:]))))
	})
}

// TestEventTooLong: an event without end is given up, not kept.
func TestEventTooLong(t *testing.T) {
	line := "data: " + strings.Repeat("x", 1<<20) + "\n"
	sent := 0
	err := readEvents(readerFunc(func(b []byte) (int, error) {
		sent += len(line)
		return copy(b, line[:min(len(b), len(line))]), nil
	}), func(event) error { return errors.New("no event ends") })
	require.Error(t, err)
	require.Less(t, sent, 1<<33, fmt.Sprint(err))
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
