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

func entry(i, term uint64, data string) *raft.Log {
	return &raft.Log{Index: i, Term: term, Type: raft.LogCommand, Data: []byte(data), Extensions: []byte{1, 2}, AppendedAt: time.Unix(5, 7)}
}

// TestAfterCrash: what Raft was told is on disk is there after a crash that keeps
// nothing else, and a snapshot that was not finished leaves nothing.
func TestAfterCrash(t *testing.T) {
	f := &faultfs.FS{}
	d, _, err := OpenFS(f)
	require.NoError(t, err)
	had, err := raft.HasExistingState(d, d, d)
	require.NoError(t, err)
	assert.False(t, had)
	require.NoError(t, d.StoreLogs([]*raft.Log{entry(5, 1, "five"), entry(6, 1, "six"), entry(7, 1, "seven")}))
	require.Error(t, d.StoreLog(entry(9, 1, "gap")))
	require.NoError(t, d.DeleteRange(7, 7))
	require.NoError(t, d.StoreLog(entry(7, 2, "again")))
	require.NoError(t, d.DeleteRange(1, 5))
	require.NoError(t, d.SetUint64([]byte("CurrentTerm"), 2))
	long := bytes.Repeat([]byte("snapshot "), 100_000)
	conf := raft.Configuration{Servers: []raft.Server{{ID: "a", Address: "b"}}}
	for i := uint64(1); i <= 3; i++ {
		s, err := d.Create(raft.SnapshotVersionMax, i, 1, conf, 1, nil)
		require.NoError(t, err)
		for rest := long[:len(long)-int(i)]; len(rest) > 0; rest = rest[min(len(rest), 1000):] {
			_, err = s.Write(rest[:min(len(rest), 1000)])
			require.NoError(t, err)
		}
		require.NoError(t, s.Close())
		require.NoError(t, s.Cancel(), "after Close it does nothing")
	}
	half, err := d.Create(raft.SnapshotVersionMax, 4, 1, conf, 1, nil)
	require.NoError(t, err)
	_, err = half.Write(long)
	require.NoError(t, err)

	d, _, err = OpenFS(f.AfterCrash(rand.New(rand.NewPCG(1, 1)), 0.5))
	require.NoError(t, err)
	first, _ := d.FirstIndex()
	last, _ := d.LastIndex()
	assert.Equal(t, [2]uint64{6, 7}, [2]uint64{first, last})
	var l raft.Log
	require.NoError(t, d.GetLog(7, &l))
	assert.Equal(t, entry(7, 2, "again"), &l)
	assert.ErrorIs(t, d.GetLog(5, &l), raft.ErrLogNotFound)
	term, err := d.GetUint64([]byte("CurrentTerm"))
	require.NoError(t, err)
	assert.EqualValues(t, 2, term)
	metas, err := d.List()
	require.NoError(t, err)
	require.Len(t, metas, 2)
	assert.Equal(t, [2]uint64{3, 2}, [2]uint64{metas[0].Index, metas[1].Index})
	assert.Equal(t, conf, metas[0].Configuration)
	_, r, err := d.Open(metas[0].ID)
	require.NoError(t, err)
	got, err := io.ReadAll(r)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(long[:len(long)-3], got))
	require.NoError(t, r.Close())
	_, _, err = d.Open(half.ID())
	assert.ErrorIs(t, err, errSnapshotNotFound)
	n := 0
	view, err := d.store.Snapshot()
	require.NoError(t, err)
	for k := range 10 {
		if _, err := view.Get(chunkKey(half.ID(), uint64(k)), 0); err == nil {
			n++
		}
	}
	view.Close()
	assert.Zero(t, n, "chunks of a snapshot that was never finished")
	require.NoError(t, d.Close())
}

func TestLegacyFolder(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, legacyFile), nil, 0o600))
	_, _, err := Open(dir)
	assert.True(t, errors.Is(err, ErrLegacyFormat))
}

func FuzzEntry(f *testing.F) {
	f.Add(encodeEntry(entry(1, 2, "data")))
	f.Fuzz(func(t *testing.T, b []byte) {
		var l, again raft.Log
		if decodeEntry(b, &l) == nil {
			require.NoError(t, decodeEntry(encodeEntry(&l), &again))
			require.Equal(t, l, again)
		}
	})
}
