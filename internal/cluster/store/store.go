package store

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

const (
	// CloseTimeout is how long Close takes at most.
	CloseTimeout = time.Second

	stepDownTimeout = time.Second // for another node to become leader
	// reopenRetryInterval is between two attempts to open a storage folder that can't be opened. After
	// an incarnation that ended, the folder is opened again after the pause of a restartBackoff.
	reopenRetryInterval = time.Second
)

// Store is one node.
type Store struct {
	cfg    Config
	self   Peer
	log    *zap.Logger
	state  *replicatedState
	mirror *sqlMirror // nil without a SQL mirror
	peers  *peerPoller
	leases *leaseService

	openFolder folderOpener // of the storage folder

	pending   pendingWrites
	logClock  logClock // of the requests that this node proposes
	readIndex *readIndexBatcher
	clusterID clusterIDState

	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	done    chan struct{} // closed once run has ended
	onClose []func()

	current    atomic.Pointer[incarnation]         // nil while Raft does not run
	waitReason atomic.Pointer[diskidentity.Reason] // see WaitReason; of use while current is nil
	disk       atomic.Pointer[diskState]           // what the disk held when this incarnation began

	loggedWaitReason string // the last one, of the time since Raft last ran; of run's goroutine

	freshMu sync.Mutex
	freshAt time.Time // at this time the state had all that was committed
}

// New makes a node that does nothing until Start. Its error names the field of cfg at fault.
func New(cfg Config, log *zap.Logger) (*Store, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg.Dir = filepath.Clean(cfg.Dir) // names beside it are made of it
	s := &Store{cfg: cfg, log: log, openFolder: openFolder, state: newReplicatedState(), done: make(chan struct{})}
	s.self, _ = cfg.self()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.readIndex = &readIndexBatcher{readIndex: s.clusterReadIndex}
	s.peers = newPeerPoller(s.ctx, s)
	s.leases = newLeaseService(s)
	s.state.onLeaseGranted = s.leases.wakeWaiter
	s.setWaitReasonSilently(openDiskWaitReason)
	return s, nil
}

// Start opens the storage folder, and has the node take part as soon as it may.
func (s *Store) Start() error {
	storage, err := s.openStorage()
	if err != nil {
		close(s.done)
		return err
	}
	if s.cfg.SQL.Driver != "" {
		s.mirror = &sqlMirror{store: s}
	}
	go s.runIncarnations(storage)
	return nil
}

// AdminAddress is where the node's admin port has to listen.
func (s *Store) AdminAddress() string { return s.self.Admin }

// Name is this node's name.
func (s *Store) Name() string { return s.self.Name }

// Log is the node's logger.
func (s *Store) Log() *zap.Logger { return s.log }

// OnClose has Close call a function, the one that was added last first.
func (s *Store) OnClose(do func()) { s.onClose = append(s.onClose, do) }

// runIncarnations goes from incarnation to incarnation until the Store is closed.
func (s *Store) runIncarnations(storage *raftstorage.Storage) {
	defer close(s.done)
	var backoff restartBackoff
	for s.ctx.Err() == nil {
		startedAt := time.Now()
		if err := s.runIncarnation(storage); err != nil && s.ctx.Err() == nil {
			s.log.Error("incarnation ended", zap.Stringer("reason_kind", endReasonOf(err)), zap.Error(err))
			s.setAndLogWaitReason(diskidentity.Reason{Text: err.Error()})
		}
		s.pause(backoff.next(time.Since(startedAt)))
		storage = s.reopenStorage()
	}
	if storage != nil {
		storage.Close()
	}
}

// reopenStorage retries until the storage opens. It returns nil once the Store is closed.
func (s *Store) reopenStorage() *raftstorage.Storage {
	for s.ctx.Err() == nil {
		storage, err := s.openStorage()
		if err == nil {
			return storage
		}
		s.setAndLogWaitReason(diskidentity.Reason{Text: fmt.Sprintf("its disk: %v", err)})
		s.pause(reopenRetryInterval)
	}
	return nil
}

// Close stops the node within CloseTimeout. What is committed is on disk.
func (s *Store) Close() {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for i := len(s.onClose) - 1; i >= 0; i-- {
			s.onClose[i]()
		}
		s.cancel()
		<-s.done
		s.peers.pollers.Wait()
	}()
	select {
	case <-closed:
	case <-time.After(CloseTimeout):
		s.log.Warn("store did not stop in time")
	}
}

// running is the current incarnation, or ErrNotServing.
func (s *Store) running() (*incarnation, error) {
	if inc := s.current.Load(); inc != nil {
		return inc, nil
	}
	return nil, s.notServingError()
}

// memberID is this node's name and disk; the name alone while the disk is not known.
func (s *Store) memberID() string {
	if disk := s.disk.Load(); disk != nil {
		return disk.local.ID
	}
	return s.self.Name
}
