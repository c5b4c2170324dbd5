package durable

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Store is an open store. All its methods may be called at once from many
// goroutines.
type Store struct {
	fs      vfs.FS
	options Options
	lock    io.Closer
	report  *Report
	storeID uint64

	// The committer owns the tail of the log.
	requests      chan *request
	committerDone chan struct{} // closed when the committer has ended
	logTail       logTail

	closeMu sync.RWMutex // held for reading while a request is queued
	closed  bool

	mu          sync.RWMutex
	index       *index
	seq         uint64 // of the last batch that readers see
	syncedSeq   uint64 // of the last batch that is on disk; only the committer changes it
	snapshots   map[*Snapshot]struct{}
	readOnlyErr error

	manifestMu sync.Mutex
	manifest   manifest

	usedBytes               atomic.Int64 // of all files
	checkpointBytes         atomic.Int64 // of the newest checkpoint
	liveBytes               atomic.Int64
	logBytesSinceCheckpoint atomic.Int64 // after the newest checkpoint
	reserveOnDisk           atomic.Bool
	reserveReleased         atomic.Bool  // it was on disk, and went to deletes or maintenance
	unsyncedSince           atomic.Int64 // time of the oldest unsynced write, in ns of maintainer.now; 0 if none

	maintenance maintainer
	stats       counters
}

// Report is what Open found.
func (s *Store) Report() *Report { return s.report }

// Get returns the value of a key, as the last batch left it, unless it has expired
// at now.
func (s *Store) Get(key []byte, now int64) ([]byte, error) {
	for {
		s.mu.RLock()
		if s.snapshots == nil {
			s.mu.RUnlock()
			return nil, ErrClosed
		}
		e, segment, err := find(s.index.tree, s.index.segments, string(key), now)
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
// looked up. A failed read of it is then no sign of damage.
func (s *Store) segmentDropped(segment *segment) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.segments[segment.number] != segment
}

// Version returns the sequence number of the batch that put a key.
func (s *Store) Version(key []byte, now int64) (uint64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, _, err := find(s.index.tree, s.index.segments, string(key), now)
	return e.version, err
}

// Seq returns the number of the last batch that readers see, and of the last that
// is on disk.
func (s *Store) Seq() (visible, synced uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.seq, s.syncedSeq
}

// ReadOnlyError says why the store is read-only; nil if it is not. It matches
// ErrReadOnly.
func (s *Store) ReadOnlyError() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.readOnlyErr
}

// enterReadOnly makes the store read-only until it is opened again, and returns
// the reason: the first one, if there was one before.
func (s *Store) enterReadOnly(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readOnlyErr == nil {
		s.readOnlyErr = fmt.Errorf("%w since a write or sync failed: %w", ErrReadOnly, err)
	}
	return s.readOnlyErr
}

// Close waits for queued batches, syncs, and unlocks the folder. Snapshots end.
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
	err := s.persistState()
	s.closeFiles()
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}

// persistState syncs the log and has the manifest say so, once the committer has ended.
func (s *Store) persistState() error {
	if err := s.ReadOnlyError(); err != nil {
		return err
	}
	if err := s.syncLog(); err != nil {
		return err
	}
	return s.updateManifest(func(*manifest) {})
}

// closeFiles ends all snapshots and closes the segments.
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
// matches ErrReadOnly either of the two may be on disk.
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
