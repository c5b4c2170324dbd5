package stream

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/faultfs"
)

func TestStream(t *testing.T) {
	f := &faultfs.FS{}
	store, _, err := durable.Open(f, durable.Options{})
	require.NoError(t, err)
	require.NoError(t, store.Put([]byte("log0"), []byte("a key after all keys with the prefix")))
	s, err := Open(store, "log/")
	require.NoError(t, err)
	byteSlices := func(words ...string) (b [][]byte) {
		for _, w := range words {
			b = append(b, []byte(w))
		}
		return b
	}
	require.NoError(t, s.Append(7, byteSlices("g", "h", "i", "j"), durable.Synced))
	assert.ErrorIs(t, s.Append(12, byteSlices("x"), durable.Synced), ErrGap)
	assert.ErrorIs(t, s.Append(10, byteSlices("x"), durable.Synced), ErrGap)
	require.NoError(t, s.TruncateBack(10, durable.Synced))
	require.NoError(t, s.Append(10, byteSlices("new"), durable.Synced))
	require.NoError(t, s.TruncateFront(8, durable.Synced))
	store, _, err = durable.Open(f.AfterCrash(rand.New(rand.NewPCG(1, 2)), 0), durable.Options{})
	require.NoError(t, err)
	s, err = Open(store, "log/")
	require.NoError(t, err)
	first, last := s.Bounds()
	assert.Equal(t, [2]uint64{8, 10}, [2]uint64{first, last})
	v, err := s.Get(10)
	require.NoError(t, err)
	assert.Equal(t, "new", string(v))
	_, err = s.Get(7)
	assert.ErrorIs(t, err, ErrEntryNotFound)
	require.NoError(t, s.TruncateFront(99, durable.Synced))
	first, last = s.Bounds()
	assert.Zero(t, first+last)
	require.NoError(t, s.Append(100, byteSlices("z"), durable.Synced))
	v, err = store.Get([]byte("log0"), 0)
	require.NoError(t, err)
	assert.NotEmpty(t, v)
	require.NoError(t, store.Close())
}
