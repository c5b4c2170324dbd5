package stream_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/stream"
	"oxbowbridge/internal/storage/durable/vfs"
)

// The folder testdata/cut was written by the first release of the format; it is
// written anew, with this flag, for a new format only.
var writeFixtures = flag.Bool("write-fixtures", false, "write the folder of testdata anew")

const fixture = "testdata/cut"

// TestStreamFormat: a stream that was cut at both ends is written as it was, read
// back entry by entry, and goes on, also beside another stream of the same store.
func TestStreamFormat(t *testing.T) {
	written := t.TempDir()
	writeStreams(t, written)
	if *writeFixtures {
		require.NoError(t, os.RemoveAll(fixture))
		require.NoError(t, os.CopyFS(fixture, os.DirFS(written)))
	}
	for _, name := range []string{"00000001.log", "MANIFEST"} {
		want, err := os.ReadFile(filepath.Join(fixture, name))
		require.NoError(t, err)
		got, err := os.ReadFile(filepath.Join(written, name))
		require.NoError(t, err)
		assert.Equal(t, want, got, name)
	}

	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS(fixture)))
	store := openStore(t, dir)
	entries, votes := openStreams(t, store)
	requireEntries(t, entries, 14, 32)
	requireEntries(t, votes, 501, 503)
	_, err := entries.Get(13)
	assert.ErrorIs(t, err, stream.ErrEntryNotFound)
	_, err = entries.Get(33)
	assert.ErrorIs(t, err, stream.ErrEntryNotFound)
	assert.ErrorIs(t, entries.Append(34, [][]byte{entry(34)}, durable.Synced), stream.ErrGap)
	require.NoError(t, entries.Append(33, [][]byte{entry(33), entry(34)}, durable.Synced))
	require.NoError(t, entries.TruncateFront(20, durable.Buffered))
	require.NoError(t, votes.TruncateFront(504, durable.Synced))
	require.NoError(t, votes.Append(7, [][]byte{entry(7)}, durable.Buffered))
	require.NoError(t, store.Close())

	store = openStore(t, dir)
	entries, votes = openStreams(t, store)
	requireEntries(t, entries, 20, 34)
	requireEntries(t, votes, 7, 7)
	require.NoError(t, store.Close())
}

func writeStreams(t *testing.T, dir string) {
	store := openStore(t, dir)
	entries, votes := openStreams(t, store)
	for n := uint64(10); n < 40; n += 3 {
		require.NoError(t, entries.Append(n, [][]byte{entry(n), entry(n + 1), entry(n + 2)}, durable.Synced))
	}
	require.NoError(t, votes.Append(501, [][]byte{entry(501), entry(502), entry(503)}, durable.Synced))
	require.NoError(t, entries.TruncateFront(14, durable.Synced))
	require.NoError(t, entries.TruncateBack(33, durable.Synced))
	require.NoError(t, store.Close())
}

// entry gives an entry whose length, short or long, follows from its number.
func entry(n uint64) []byte {
	return fmt.Appendf(nil, "entry %d%0*d", n, 1+n*13%120, n)
}

func openStore(t *testing.T, path string) *durable.Store {
	dir, err := vfs.OpenDir(path)
	require.NoError(t, err)
	store, _, err := durable.Open(dir, durable.Options{StoreID: 0xfeedc0ffee, ManualMaintenance: true, ReserveBytes: 64})
	require.NoError(t, err)
	return store
}

func openStreams(t *testing.T, store *durable.Store) (entries, votes *stream.Stream) {
	entries, err := stream.Open(store, "entries/")
	require.NoError(t, err)
	votes, err = stream.Open(store, "votes/")
	require.NoError(t, err)
	return entries, votes
}

func requireEntries(t *testing.T, s *stream.Stream, first, last uint64) {
	gotFirst, gotLast := s.Bounds()
	require.Equal(t, [2]uint64{first, last}, [2]uint64{gotFirst, gotLast})
	for n := first; n <= last; n++ {
		got, err := s.Get(n)
		require.NoError(t, err)
		require.Equal(t, string(entry(n)), string(got))
	}
}
