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

// The folder testdata/cut was written by the first release of the format. The flag
// rewrites it; use it only for a new format version.
var writeFixtures = flag.Bool("write-fixtures", false, "rewrite the folder in testdata")

const fixture = "testdata/cut"

// TestStreamFormat: streams that were truncated at both ends are written with the bytes
// of the fixture. They are read entry by entry and accept further entries, with two
// streams in one store.
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
	assert.ErrorIs(t, entries.Append(34, [][]byte{testEntry(34)}, durable.Synced), stream.ErrGap)
	require.NoError(t, entries.Append(33, [][]byte{testEntry(33), testEntry(34)}, durable.Synced))
	require.NoError(t, entries.TruncateFront(20, durable.Buffered))
	require.NoError(t, votes.TruncateFront(504, durable.Synced))
	require.NoError(t, votes.Append(7, [][]byte{testEntry(7)}, durable.Buffered))
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
		require.NoError(t, entries.Append(n, [][]byte{testEntry(n), testEntry(n + 1), testEntry(n + 2)}, durable.Synced))
	}
	require.NoError(t, votes.Append(501, [][]byte{testEntry(501), testEntry(502), testEntry(503)}, durable.Synced))
	require.NoError(t, entries.TruncateFront(14, durable.Synced))
	require.NoError(t, entries.TruncateBack(33, durable.Synced))
	require.NoError(t, store.Close())
}

// testEntry returns the entry with a number. Its length depends on the number.
func testEntry(n uint64) []byte {
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
		require.Equal(t, string(testEntry(n)), string(got))
	}
}
