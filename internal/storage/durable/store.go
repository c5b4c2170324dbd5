package durable

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Store is an open store. It is safe for concurrent use.
type Store struct {
	fs      vfs.FS
	options Options
	lock    io.Closer
	report  *Report
	storeID uint64

	requests      chan *request
	committerDone chan struct{} // closed when the committer has returned
	logTail       logTail       // owned by the committer

	closeMu sync.RWMutex // read-locked while a request is queued
	closed  bool

	mu          sync.RWMutex
	index       *index
	seq         uint64 // sequence number of the last batch that readers see
	syncedSeq   uint64 // sequence number of the last batch on disk; only the committer changes it
	snapshots   map[*Snapshot]struct{}
	readOnlyErr error

	manifestMu sync.Mutex
	manifest   manifest

	usedBytes               atomic.Int64 // length of all files
	checkpointBytes         atomic.Int64 // length of the newest checkpoint
	liveBytes               atomic.Int64 // length of the live keys and values
	logBytesSinceCheckpoint atomic.Int64 // length of the log after the newest checkpoint
	reserveOnDisk           atomic.Bool
	reserveReleased         atomic.Bool  // the reserve file was removed so that deletes and maintenance can write
	unsyncedSince           atomic.Int64 // time of the oldest unsynced write, from maintainer.now in ns; 0 if none

	maintenance maintainer
	stats       counters
}

// Report returns the report of the recovery by Open.
func (s *Store) Report() *Report { return s.report }

// Get returns the value that the last visible batch left under a key, or ErrNotFound
// if the key does not exist or has expired at now.
func (s *Store) Get(key []byte, now int64) ([]byte, error) {
	for {
		s.mu.RLock()
		if s.snapshots == nil {
			s.mu.RUnlock()
			return nil, ErrClosed
		}
		e, segment, err := lookUp(s.index.tree, s.index.segments, string(key), now)
		s.mu.RUnlock()
		if err != nil || segment == nil {
			return []byte(e.value()), err
		}
		value, err := segment.readValue(&e)
		if err == nil {
			return value, nil
		}
		if !s.segmentDropped(segment) {
			return nil, err
		}
	}
}

// segmentDropped reports whether maintenance has removed the segment since it was
// looked up. In that case a failed read of the segment does not indicate damage.
func (s *Store) segmentDropped(segment *segment) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.segments[segment.number] != segment
}

// Version returns the sequence number of the batch that put a key.
func (s *Store) Version(key []byte, now int64) (uint64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, _, err := lookUp(s.index.tree, s.index.segments, string(key), now)
	return e.version, err
}

// Seq returns the sequence numbers of the last batch that readers see and of the last
// batch on disk.
func (s *Store) Seq() (visible, synced uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.seq, s.syncedSeq
}

// ReadOnlyError returns the reason why the store is read-only, which matches
// ErrReadOnly, or nil if the store is writable.
func (s *Store) ReadOnlyError() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readOnlyErr
}

// enterReadOnly makes the store read-only until it is reopened. It returns the reason
// of the first call.
func (s *Store) enterReadOnly(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readOnlyErr == nil {
		s.readOnlyErr = fmt.Errorf("%w since a write or sync failed: %w", ErrReadOnly, err)
	}
	return s.readOnlyErr
}

// Close waits for queued batches, syncs the log, closes all snapshots and unlocks the
// folder.
func (s *Store) Close() error {
	s.closeMu.Lock()
	if s.closed {
		s.closeMu.Unlock()
		return ErrClosed
	}
	s.closed = true
	s.closeMu.Unlock()
	s.maintenance.stop()
	close(s.requests)
	<-s.committerDone
	err := s.syncAndUpdateManifest()
	s.closeFiles()
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

// syncAndUpdateManifest syncs the log and records the synced sequence number in the manifest.
// The committer must have returned.
func (s *Store) syncAndUpdateManifest() error {
	if err := s.ReadOnlyError(); err != nil {
		return err
	}
	if err := s.syncLog(); err != nil {
		return err
	}
	return s.updateManifest(func(*manifest) {})
}

// closeFiles closes all snapshots and segment files.
func (s *Store) closeFiles() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for snapshot := range s.snapshots {
		snapshot.closed = true
	}
	s.snapshots = nil
	for _, segment := range s.index.segments {
		segment.file.Close()
	}
}

// updateManifest changes the manifest and replaces its file. After an error that
// matches ErrReadOnly the old or the new manifest may be on disk.
func (s *Store) updateManifest(change func(*manifest)) error {
	s.manifestMu.Lock()
	defer s.manifestMu.Unlock()
	next := s.manifest
	change(&next)
	_, next.syncedSeq = s.Seq()
	if err := next.write(s.fs); err != nil {
		if isDiskFull(err) {
			s.fs.Remove(manifestTempName)
			return err
		}
		return s.enterReadOnly(err)
	}
	s.manifest = next
	return nil
}
