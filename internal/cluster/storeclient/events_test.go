package storeclient

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzReadEvents checks that readEvents does not panic on any input, and that the events do not depend
// on how the input is split into reads.
func FuzzReadEvents(f *testing.F) {
	f.Add("id: 7\nevent: change\ndata: {}\n\n", 3)
	f.Add(":\n\nevent: compacted\ndata: a\ndata: b\n\nid", 1)
	f.Fuzz(func(t *testing.T, input string, splitAt int) {
		readAll := func(r io.Reader) (events []event) {
			err := readEvents(r, func(e event) error { events = append(events, e); return nil })
			require.Error(t, err)
			return events
		}
		splitAt = min(max(splitAt, 0), len(input))
		require.Equal(t, readAll(strings.NewReader(input)), readAll(io.MultiReader(strings.NewReader(input[:splitAt]), strings.NewReader(input[splitAt:]))))
	})
}

// TestEventTooLong checks that an endless event fails with an error and does not use unbounded memory.
func TestEventTooLong(t *testing.T) {
	line := "data: " + strings.Repeat("x", 1<<20) + "\n"
	bytesSent := 0
	err := readEvents(readerFunc(func(b []byte) (int, error) {
		bytesSent += len(line)
		return copy(b, line[:min(len(b), len(line))]), nil
	}), func(event) error { return errors.New("unexpected event") })
	require.Error(t, err)
	require.Less(t, bytesSent, 1<<33, fmt.Sprint(err))
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
