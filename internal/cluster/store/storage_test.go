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

// maxReplacementSteps bounds the file operations on a replacement folder at which the tests inject a
// fault.
const maxReplacementSteps = 100

// newDamagedStore returns a Store that is not started, and whose folder is marked as diverged, so that it
// must be replaced.
func newDamagedStore(t *testing.T) *Store {
	s := newUnstartedStore(t, filepath.Join(t.TempDir(), "store"))
	storage, err := s.openStorage()
	require.NoError(t, err)
	require.NoError(t, storage.PutLocal(divergedKey, []byte("1")))
	require.NoError(t, storage.Close())
	return s
}

// newUnstartedStore returns a Store that is not started.
func newUnstartedStore(t *testing.T, dir string) *Store {
	self := Peer{Name: "a", Raft: "127.0.0.1:1", Admin: "127.0.0.1:2"}
	s, err := New(Config{Node: "a", Dir: dir, Peers: []Peer{self}}, zap.NewNop())
	require.NoError(t, err)
	return s
}

// opensAsFresh opens a Store's folder as a new process would, and reports whether the node treats its disk
// as new.
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

// faultyReplacementOpener returns an opener that opens the damaged folder normally, and its replacement
// with a fault. step is the number of creates, writes and syncs in the replacement that succeed; all later
// ones fail, as after a crash. failed is set when the fault occurs.
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
		var changeCount atomic.Int64
		return raftstorage.OpenFS(&faultfs.Injector{FS: folder, ActiveFault: func() string {
			if changeCount.Add(1) <= step {
				return ""
			}
			failed.Store(true)
			return fault
		}})
	}
}

// TestReplacementIsNeverNew guards against a node that treats a replacement folder as new, which would
// allow the initial members to bootstrap a second cluster. The creation of the replacement fails or
// crashes at each step.
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
				storage.Close() // the injected fault may make Close fail as well
			}
			assert.DirExists(t, s.cfg.Dir+".refused-1")
			assert.False(t, opensAsFresh(t, s.cfg.Dir), "%s at step %d", fault, step)
			assert.False(t, opensAsFresh(t, s.cfg.Dir), "%s at step %d, opened again", fault, step)
		}
	}
}

// TestReplacementCrashBetweenFolders guards against a replacement folder that is treated as new after a
// crash right before the damaged folder is moved aside, or between that move and the creation of the
// replacement.
func TestReplacementCrashBetweenFolders(t *testing.T) {
	s := newDamagedStore(t)
	loggedLines := 0
	core, _ := observer.New(zap.ErrorLevel)
	s.log = zap.New(core, zap.Hooks(func(zapcore.Entry) error { // runs when the message is logged, right before the folder is moved
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

// TestWipedFolderIsNew guards against a marker file that outlives its folder: if an operator deletes a
// replacement folder, the next folder is new.
func TestWipedFolderIsNew(t *testing.T) {
	s := newDamagedStore(t)
	assert.False(t, opensAsFresh(t, s.cfg.Dir))
	require.DirExists(t, s.cfg.Dir+".refused-1")
	require.NoError(t, os.RemoveAll(s.cfg.Dir))
	assert.True(t, opensAsFresh(t, s.cfg.Dir))
}

// TestFolderWithSlashIsSetAside guards against a damaged folder that cannot be moved aside because its
// configured name ends in a slash, so that the new name would be inside the folder.
func TestFolderWithSlashIsSetAside(t *testing.T) {
	damaged := newDamagedStore(t)
	s := newUnstartedStore(t, damaged.cfg.Dir+"/")
	storage, err := s.openStorage()
	require.NoError(t, err)
	require.NoError(t, storage.Close())
	assert.DirExists(t, damaged.cfg.Dir+".refused-1")
	assert.NoFileExists(t, damaged.cfg.Dir+replacementMarkerSuffix)
}
