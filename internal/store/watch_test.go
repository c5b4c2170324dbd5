package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/watch"
)

// FuzzEvents: whatever a stream holds, reading it ends without a panic, in whatever
// pieces it comes; what stream prints is read back as it was.
func FuzzEvents(f *testing.F) {
	f.Add("id: 7\nevent: change\ndata: {}\n\n", 3)
	f.Add(":\n\nevent: compacted\ndata: a\ndata: b\n\nid", 1)
	f.Fuzz(func(t *testing.T, in string, cut int) {
		read := func(r io.Reader) (out []event) {
			err := events(r, func(e event) error { out = append(out, e); return nil })
			require.Error(t, err)
			return out
		}
		cut = min(max(cut, 0), len(in))
		require.Equal(t, read(strings.NewReader(in)), read(io.MultiReader(strings.NewReader(in[:cut]), strings.NewReader(in[cut:]))))
		s := &stream{}
		s.event("change", 9, in)
		got := read(strings.NewReader(s.buf.String()))
		require.Len(t, got, 1)
		require.Equal(t, "9", got[0].id)
	})
}

// TestEventTooLong: an event without end is given up, not kept.
func TestEventTooLong(t *testing.T) {
	line := "data: " + strings.Repeat("x", 1<<20) + "\n"
	sent := 0
	err := events(readerFunc(func(b []byte) (int, error) {
		sent += len(line)
		return copy(b, line[:min(len(b), len(line))]), nil
	}), func(event) error { return errors.New("no event ends") })
	require.Error(t, err)
	require.Less(t, sent, 1<<33, fmt.Sprint(err))
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// TestRestoreBeginsAnew: a state that was replaced by a snapshot does not pass over
// what it never saw.
func TestRestoreBeginsAnew(t *testing.T) {
	from, to := newState(), newState()
	for i := range uint64(5) {
		from.Apply(&raft.Log{Index: i + 1, Data: []byte(`[{"key":"k","value":1}]`)})
	}
	text, err := json.Marshal(from.kv)
	require.NoError(t, err)
	to.Apply(&raft.Log{Index: 1, Data: []byte(`[{"key":"k","value":1}]`)})
	require.NoError(t, to.Restore(io.NopCloser(bytes.NewReader(text))))
	var gone *watch.CompactedError
	_, _, _, err = to.follow(2, "", watchPage)
	require.ErrorAs(t, err, &gone)
	require.EqualValues(t, 6, gone.Oldest)
	to.Apply(&raft.Log{Index: 6, Data: []byte(`[{"key":"k","value":2}]`)})
	list, next, _, err := to.follow(6, "", watchPage)
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.EqualValues(t, 7, next)
}
