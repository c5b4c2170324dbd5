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
	// CloseTimeout is the maximum duration of Close.
	CloseTimeout = time.Second

	stepDownTimeout = time.Second // maximum wait for another node to become leader
	// reopenRetryInterval is the time between two attempts to open a storage folder that fails to open. After
	// the end of an incarnation, restartBackoff sets the pause before the folder is reopened.
	reopenRetryInterval = time.Second
)

// Store is one node of the replicated store.
type Store struct {
	cfg    Config
	self   Peer
	log    *zap.Logger
	state  *replicatedState
	mirror *sqlMirror // nil without a SQL mirror
	peers  *peerPoller
	leases *leaseService

	openFolder folderOpener // opens the storage folder; tests replace it

	pending   pendingWrites
	logClock  logClock // time stamps of the requests that this node proposes
	readIndex *readIndexBatcher
	clusterID clusterIDState

	ctx     context.Context // canceled by Close
	cancel  context.CancelFunc
	done    chan struct{} // closed when runIncarnations has returned
	onClose []func()

	current     atomic.Pointer[incarnation]         // nil while Raft does not run
	waitReason  atomic.Pointer[diskidentity.Reason] // see WaitReason; valid while current is nil
	currentDisk atomic.Pointer[diskState]           // what the disk held when the current incarnation started

	loggedWaitReason string // last reason logged since Raft last ran; only for the goroutine of runIncarnations

	freshMu sync.Mutex
	freshAt time.Time // latest time at which the state included all committed entries
}

// New creates a node that does nothing until Start. Its error names the invalid field of cfg.
func New(cfg Config, log *zap.Logger) (*Store, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	cfg.Dir = filepath.Clean(cfg.Dir) // other names are formed by appending to it
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

// Start opens the storage folder, and starts the node in the background.
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

// AdminAddress returns the address at which the node's admin API listens.
func (s *Store) AdminAddress() string { return s.self.Admin }

// Name returns this node's name.
func (s *Store) Name() string { return s.self.Name }

// Log returns the node's logger.
func (s *Store) Log() *zap.Logger { return s.log }

// OnClose registers a function that Close calls. The functions are called in reverse order of
// registration.
func (s *Store) OnClose(fn func()) { s.onClose = append(s.onClose, fn) }

// runIncarnations runs one incarnation after another until the Store is closed.
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

// Close stops the node within CloseTimeout. All committed entries are on disk already.
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
		s.log.Warn("store did not stop within the close timeout")
	}
}

// running returns the current incarnation, or ErrNotServing.
func (s *Store) running() (*incarnation, error) {
	if inc := s.current.Load(); inc != nil {
		return inc, nil
	}
	return nil, s.notServingError()
}

// memberID returns the ID formed of this node's name and disk identity, or the name alone while the
// identity is not known.
func (s *Store) memberID() string {
	if disk := s.currentDisk.Load(); disk != nil {
		return disk.local.ID
	}
	return s.self.Name
}
