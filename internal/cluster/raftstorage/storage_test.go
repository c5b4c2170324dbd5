package raftstorage

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable/faultfs"
)

func newCommandEntry(index, term uint64, data string) *raft.Log {
	return &raft.Log{Index: index, Term: term, Type: raft.LogCommand, Data: []byte(data), Extensions: []byte{1, 2}, AppendedAt: time.Unix(5, 7)}
}

// TestAfterCrash checks that all writes that were acknowledged as synced are present after a crash that
// may lose all other writes, and that no chunks of an unfinished snapshot remain.
func TestAfterCrash(t *testing.T) {
	fs := &faultfs.FS{}
	storage, _, err := OpenFS(fs)
	require.NoError(t, err)
	hasState, err := raft.HasExistingState(storage, storage, storage)
	require.NoError(t, err)
	assert.False(t, hasState)
	require.NoError(t, storage.StoreLogs([]*raft.Log{newCommandEntry(5, 1, "five"), newCommandEntry(6, 1, "six"), newCommandEntry(7, 1, "seven")}))
	require.Error(t, storage.StoreLog(newCommandEntry(9, 1, "gap")))
	require.NoError(t, storage.DeleteRange(7, 7))
	require.NoError(t, storage.StoreLog(newCommandEntry(7, 2, "again")))
	require.NoError(t, storage.DeleteRange(1, 5))
	require.NoError(t, storage.SetUint64([]byte("CurrentTerm"), 2))
	content := bytes.Repeat([]byte("snapshot "), 100_000)
	conf := raft.Configuration{Servers: []raft.Server{{ID: "a", Address: "b"}}}
	for i := uint64(1); i <= 3; i++ {
		sink, err := storage.Create(raft.SnapshotVersionMax, i, 1, conf, 1, nil)
		require.NoError(t, err)
		for rest := content[:len(content)-int(i)]; len(rest) > 0; rest = rest[min(len(rest), 1000):] {
			_, err = sink.Write(rest[:min(len(rest), 1000)])
			require.NoError(t, err)
		}
		require.NoError(t, sink.Close())
		require.NoError(t, sink.Cancel(), "Cancel after Close must do nothing")
	}
	unfinished, err := storage.Create(raft.SnapshotVersionMax, 4, 1, conf, 1, nil)
	require.NoError(t, err)
	_, err = unfinished.Write(content)
	require.NoError(t, err)

	storage, _, err = OpenFS(fs.AfterCrash(rand.New(rand.NewPCG(1, 1)), 0.5))
	require.NoError(t, err)
	first, _ := storage.FirstIndex()
	last, _ := storage.LastIndex()
	assert.Equal(t, [2]uint64{6, 7}, [2]uint64{first, last})
	var l raft.Log
	require.NoError(t, storage.GetLog(7, &l))
	assert.Equal(t, newCommandEntry(7, 2, "again"), &l)
	assert.ErrorIs(t, storage.GetLog(5, &l), raft.ErrLogNotFound)
	term, err := storage.GetUint64([]byte("CurrentTerm"))
	require.NoError(t, err)
	assert.EqualValues(t, 2, term)
	metas, err := storage.List()
	require.NoError(t, err)
	require.Len(t, metas, 2)
	assert.Equal(t, [2]uint64{3, 2}, [2]uint64{metas[0].Index, metas[1].Index})
	assert.Equal(t, conf, metas[0].Configuration)
	_, reader, err := storage.Open(metas[0].ID)
	require.NoError(t, err)
	got, err := io.ReadAll(reader)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(content[:len(content)-3], got))
	require.NoError(t, reader.Close())
	_, _, err = storage.Open(unfinished.ID())
	assert.ErrorIs(t, err, errSnapshotNotFound)
	remainingChunks := 0
	view, err := storage.store.Snapshot()
	require.NoError(t, err)
	for k := range 10 {
		if _, err := view.Get(chunkKey(unfinished.ID(), uint64(k)), 0); err == nil {
			remainingChunks++
		}
	}
	view.Close()
	assert.Zero(t, remainingChunks, "chunks of the unfinished snapshot must be deleted")
	require.NoError(t, storage.Close())
}

func TestLegacyFolder(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, legacyFile), nil, 0o600))
	_, _, err := Open(dir)
	assert.True(t, errors.Is(err, ErrLegacyFormat))
}

func FuzzEntry(f *testing.F) {
	f.Add(encodeEntry(newCommandEntry(1, 2, "data")))
	f.Fuzz(func(t *testing.T, b []byte) {
		var decoded, decodedAgain raft.Log
		if decodeEntry(b, &decoded) == nil {
			require.NoError(t, decodeEntry(encodeEntry(&decoded), &decodedAgain))
			require.Equal(t, decoded, decodedAgain)
		}
	})
}
