package store

import (
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/kv"
)

// TestWriteBounds: what waits is bounded in number and bytes, and so is what is kept; a
// delete is taken by a full store.
func TestWriteBounds(t *testing.T) {
	var w writes
	for range proposedMost {
		require.NoError(t, w.begin(1, 0))
	}
	require.ErrorIs(t, w.begin(1, 0), ErrTooManyWrites)
	w = writes{}
	require.NoError(t, w.begin(proposedBytes, 0))
	require.ErrorIs(t, w.begin(1, 0), ErrTooManyWrites)
	w.end(proposedBytes)
	require.ErrorIs(t, w.begin(1, MaxTotalBytes), kv.ErrFull)
	require.NoError(t, w.begin(0, MaxTotalBytes))
	s := newState()
	require.Zero(t, s.bytes())
	_, _, err := s.kv.Apply(1, &kv.Request{Then: []kv.Op{{Kind: "put", Key: "a", Value: []byte("123")}, {Kind: "put", Key: "b", Value: []byte("1")}}})
	require.NoError(t, err)
	require.Equal(t, 4, s.bytes())
	_, _, err = s.kv.Apply(2, &kv.Request{Then: []kv.Op{{Kind: "put", Key: "a", Value: []byte("12")}, {Kind: "delete", Key: "b"}}})
	require.NoError(t, err)
	require.Equal(t, 2, s.bytes())
	require.Equal(t, 2, s.kv.Clone().ValueBytes())
}
