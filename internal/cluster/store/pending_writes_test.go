package store

import (
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/kv"
)

// TestPendingWriteBounds checks that pending writes are limited in number and bytes, that the total size
// of values is limited, and that a full store still admits a delete.
func TestPendingWriteBounds(t *testing.T) {
	var w pendingWrites
	for range maxPendingWrites {
		require.NoError(t, w.reserve(1, 0))
	}
	require.ErrorIs(t, w.reserve(1, 0), ErrTooManyWrites)
	w = pendingWrites{}
	require.NoError(t, w.reserve(maxPendingBytes, 0))
	require.ErrorIs(t, w.reserve(1, 0), ErrTooManyWrites)
	w.release(maxPendingBytes)
	require.ErrorIs(t, w.reserve(1, MaxTotalValueBytes), kv.ErrFull)
	require.NoError(t, w.reserve(0, MaxTotalValueBytes))
	s := newReplicatedState()
	require.Zero(t, s.valueBytes())
	_, _, err := s.data.Apply(1, &kv.Request{Then: []kv.Op{{Kind: "put", Key: "a", Value: []byte("123")}, {Kind: "put", Key: "b", Value: []byte("1")}}})
	require.NoError(t, err)
	require.Equal(t, 4, s.valueBytes())
	_, _, err = s.data.Apply(2, &kv.Request{Then: []kv.Op{{Kind: "put", Key: "a", Value: []byte("12")}, {Kind: "delete", Key: "b"}}})
	require.NoError(t, err)
	require.Equal(t, 2, s.valueBytes())
	require.Equal(t, 2, s.data.Clone().ValueBytes())
}
