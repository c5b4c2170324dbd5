package store

import (
	"errors"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/faultfs"
	"oxbowbridge/internal/storage/durable/vfs"
)

const startTimeout = 30 * time.Second

// newSingleNodeStore returns a Store of one node, not started, with a free Raft port.
func newSingleNodeStore(t *testing.T, log *zap.Logger) *Store {
	self := Peer{Name: "a", Raft: "127.0.0.1:0", Admin: "127.0.0.1:1"}
	s, err := New(Config{Node: "a", Dir: filepath.Join(t.TempDir(), "store"), Peers: []Peer{self}}, log)
	require.NoError(t, err)
	return s
}

// awaitNextIncarnation waits until an incarnation other than last runs Raft, and returns it.
func awaitNextIncarnation(t *testing.T, s *Store, last *incarnation) *incarnation {
	var inc *incarnation
	require.Eventually(t, func() bool { inc = s.current.Load(); return inc != nil && inc != last }, startTimeout, time.Millisecond)
	return inc
}

// TestWaitReasonIsCurrent guards against a status that shows the wait reason of an earlier incarnation
// while the node reads its disk or starts Raft. The test records the wait reason at each file operation.
func TestWaitReasonIsCurrent(t *testing.T) {
	const previousReason = "error of an earlier incarnation"
	s := newSingleNodeStore(t, zap.NewNop())
	var mu sync.Mutex
	var reasons []string
	s.openFolder = func(dir string) (*raftstorage.Storage, *durable.Report, error) {
		folder, err := vfs.OpenDir(dir)
		if err != nil {
			return nil, nil, err
		}
		return raftstorage.OpenFS(&faultfs.Injector{FS: folder, ActiveFault: func() string {
			mu.Lock()
			defer mu.Unlock()
			reasons = append(reasons, s.WaitReason())
			return ""
		}})
	}
	s.setAndLogWaitReason(diskidentity.Reason{Text: previousReason})
	require.NoError(t, s.Start())
	defer s.Close()
	awaitNextIncarnation(t, s, nil)
	mu.Lock()
	defer mu.Unlock()
	reasons = slices.Compact(reasons)
	require.GreaterOrEqual(t, len(reasons), 3)
	assert.Equal(t, []string{previousReason, reportsWaitReason, raftWaitReason}, reasons[:3])
}

// TestSameReasonAgain guards against a missing log message if a node waits for the same reason as before
// it last ran Raft.
func TestSameReasonAgain(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	s := newSingleNodeStore(t, zap.New(core))
	require.NoError(t, s.Start())
	defer s.Close()
	var inc *incarnation
	for range 2 {
		inc = awaitNextIncarnation(t, s, inc)
		inc.reportFailure(errors.New("repeated failure"))
	}
	awaitNextIncarnation(t, s, inc)
	assert.Len(t, logs.FilterMessage("store not serving").All(), 2)
	assert.Empty(t, s.WaitReason())
}

// TestReasonIsLoggedOnce guards against a log message for each attempt that fails for the same reason.
func TestReasonIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	s := newSingleNodeStore(t, zap.New(core))
	for range 3 {
		s.setWaitReasonSilently(reportsWaitReason)
		s.setAndLogWaitReason(diskidentity.Reason{Text: "repeated reason"})
	}
	assert.Len(t, logs.FilterMessage("store not serving").All(), 1)
}
