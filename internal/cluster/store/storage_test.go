package store

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/faultfs"
	"oxbowbridge/internal/storage/durable/vfs"
)

// maxReplacementSteps bounds the changes to the new folder's files that the tests step through.
const maxReplacementSteps = 100

// newDamagedStore is a Store, not started, whose folder was replaced: what it held can't be trusted.
func newDamagedStore(t *testing.T) *Store {
	s := newUnstartedStore(t, filepath.Join(t.TempDir(), "store"))
	storage, err := s.openStorage()
	require.NoError(t, err)
	require.NoError(t, storage.PutLocal(divergedKey, []byte("1")))
	require.NoError(t, storage.Close())
	return s
}

// newUnstartedStore is a Store that is not started.
func newUnstartedStore(t *testing.T, dir string) *Store {
	self := Peer{Name: "a", Raft: "127.0.0.1:1", Admin: "127.0.0.1:2"}
	s, err := New(Config{Node: "a", Dir: dir, Peers: []Peer{self}}, zap.NewNop())
	require.NoError(t, err)
	return s
}

// opensAsFresh opens the folder of a Store as a new process does, and reports whether the node says that it is new.
func opensAsFresh(t *testing.T, dir string) bool {
	s := newUnstartedStore(t, dir)
	storage, err := s.openStorage()
	require.NoError(t, err)
	disk, err := s.readDiskState(storage)
	require.NoError(t, err)
	require.NoError(t, storage.Close())
	require.True(t, disk.local.Empty)
	return disk.local.Fresh
}

// faultyReplacementOpener opens the damaged folder as it is, and the one that takes its place with a fault: from the change of
// this number on, as in a process that died before it. It reports whether the fault came.
func faultyReplacementOpener(fault string, step int64, failed *atomic.Bool) folderOpener {
	opened := 0
	return func(dir string) (*raftstorage.Storage, *durable.Report, error) {
		opened++
		if opened == 1 {
			return raftstorage.Open(dir)
		}
		folder, err := vfs.OpenDir(dir)
		if err != nil {
			return nil, nil, err
		}
		var changes atomic.Int64
		return raftstorage.OpenFS(&faultfs.Injector{FS: folder, ActiveFault: func() string {
			if changes.Add(1) <= step {
				return ""
			}
			failed.Store(true)
			return fault
		}})
	}
}

// TestReplacementIsNeverNew: guards against a node that says that it is new, so that the founders could make another
// cluster, because making the folder that takes the place of a damaged one failed, or died, at any step.
func TestReplacementIsNeverNew(t *testing.T) {
	for _, fault := range []string{faultfs.DiskFull, faultfs.FailWrites, faultfs.FailSyncs} {
		var failed atomic.Bool
		failed.Store(true)
		for step := int64(0); failed.Load(); step++ {
			require.Less(t, step, int64(maxReplacementSteps))
			failed.Store(false)
			s := newDamagedStore(t)
			s.openFolder = faultyReplacementOpener(fault, step, &failed)
			if storage, err := s.openStorage(); err == nil {
				storage.Close() // it may fail as well
			}
			assert.DirExists(t, s.cfg.Dir+".refused-1")
			assert.False(t, opensAsFresh(t, s.cfg.Dir), "%s at step %d", fault, step)
			assert.False(t, opensAsFresh(t, s.cfg.Dir), "%s at step %d, opened again", fault, step)
		}
	}
}

// TestReplacementCrashBetweenFolders: guards against the same, where the node dies after the folder was moved aside and before
// another one is made, or right before the move.
func TestReplacementCrashBetweenFolders(t *testing.T) {
	s := newDamagedStore(t)
	loggedLines := 0
	core, _ := observer.New(zap.ErrorLevel)
	s.log = zap.New(core, zap.Hooks(func(zapcore.Entry) error { // the line is logged right before the move
		assert.DirExists(t, s.cfg.Dir)
		assert.FileExists(t, s.cfg.Dir+replacementMarkerSuffix)
		loggedLines++
		return nil
	}))
	storage, err := s.openStorage()
	require.NoError(t, err)
	require.NoError(t, storage.Close())
	require.Equal(t, 1, loggedLines)
	assert.NoFileExists(t, s.cfg.Dir+replacementMarkerSuffix)

	for _, moved := range []bool{false, true} {
		s := newDamagedStore(t)
		require.NoError(t, os.WriteFile(s.cfg.Dir+replacementMarkerSuffix, nil, 0o600))
		if moved {
			require.NoError(t, os.Rename(s.cfg.Dir, s.cfg.Dir+".refused-1"))
		}
		assert.False(t, opensAsFresh(t, s.cfg.Dir), "moved: %v", moved)
		assert.False(t, opensAsFresh(t, s.cfg.Dir), "moved: %v, opened again", moved)
		assert.DirExists(t, s.cfg.Dir+".refused-1")
		assert.NoFileExists(t, s.cfg.Dir+replacementMarkerSuffix)
	}
}

// TestWipedFolderIsNew: guards against a mark that outlives its folder: where an operator removes the one that took the place
// of another, the next one is new.
func TestWipedFolderIsNew(t *testing.T) {
	s := newDamagedStore(t)
	assert.False(t, opensAsFresh(t, s.cfg.Dir))
	require.DirExists(t, s.cfg.Dir+".refused-1")
	require.NoError(t, os.RemoveAll(s.cfg.Dir))
	assert.True(t, opensAsFresh(t, s.cfg.Dir))
}

// TestFolderWithSlashIsSetAside: guards against a node that can't set a damaged folder aside where its name in the
// configuration ends in a slash: the new name lay inside of the folder.
func TestFolderWithSlashIsSetAside(t *testing.T) {
	damaged := newDamagedStore(t)
	s := newUnstartedStore(t, damaged.cfg.Dir+"/")
	storage, err := s.openStorage()
	require.NoError(t, err)
	require.NoError(t, storage.Close())
	assert.DirExists(t, damaged.cfg.Dir+".refused-1")
	assert.NoFileExists(t, damaged.cfg.Dir+replacementMarkerSuffix)
}
