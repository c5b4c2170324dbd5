package durable

import (
	"errors"
	"fmt"
	"io/fs"
)

// startCheckpoint syncs the log and copies the index between two groups, and creates the
// checkpoint's file.
func (m *maintainer) startCheckpoint() error {
	s := m.store
	w := &checkpointWriter{}
	err := s.runInCommitter(func() error {
		if err := s.syncLog(); err != nil {
			return err
		}
		w.header = checkpointHeader{s.storeID, m.nextCheckpoint, s.logTail.end}
		s.mu.Lock()
		tree := s.index.tree.Copy()
		s.mu.Unlock()
		w.iterator = tree.Iter()
		m.coveredLogBytes = s.logBytesSinceCheckpoint.Swap(0)
		return nil
	})
	if err != nil {
		return err
	}
	m.nextCheckpoint++
	if err := w.start(s.fs); err != nil {
		s.fs.Remove(checkpointName(w.header.number))
		return m.checkpointFailed(err)
	}
	m.checkpoint = w
	s.usedBytes.Add(w.size)
	return nil
}

// checkpointFailed makes the store read-only, unless the disk is full and the content on
// disk is known. In that case it releases the reserve.
func (m *maintainer) checkpointFailed(err error) error {
	if isCleanDiskFull(err) {
		m.store.releaseReserve()
		return fmt.Errorf("checkpoint: %w", err)
	}
	return m.store.enterReadOnly(fmt.Errorf("checkpoint: %w", err))
}

// continueCheckpoint writes about budget bytes of the running checkpoint, and installs
// the checkpoint when it is complete.
func (m *maintainer) continueCheckpoint(budget int64) error {
	s := m.store
	w := m.checkpoint
	sizeBefore := w.size
	done, err := w.writeNext(budget)
	m.planner.Charge(w.size - sizeBefore)
	s.usedBytes.Add(w.size - sizeBefore)
	if err != nil {
		return m.checkpointFailed(err)
	}
	if !done {
		return nil
	}
	w.file.Close()
	m.checkpoint = nil
	if err := s.fs.SyncDir(); err != nil {
		return m.checkpointFailed(syncError{err})
	}
	return m.installCheckpoint(w.ref())
}

// installCheckpoint replaces the older of the two checkpoints in the manifest by a new
// complete one. It first reads the new file back, so that a damaged checkpoint never
// replaces a valid one.
func (m *maintainer) installCheckpoint(ref checkpointRef) error {
	s := m.store
	if _, err := readCheckpoint(s.fs, ref, s.storeID, func(indexEntry) {}); err != nil {
		s.removeCheckpoint(ref.number, ref.size)
		return fmt.Errorf("checkpoint was not taken: %w", err)
	}
	m.planner.Charge(ref.size)
	var replaced checkpointRef
	err := s.updateManifest(func(next *manifest) {
		replaced = next.checkpoints[0]
		next.checkpoints = [retainedCheckpoints]checkpointRef{next.checkpoints[1], ref}
		if next.checkpoints[0].number != 0 {
			next.firstSegment = 0 // from now on the first segments may be dropped
		}
	})
	if err != nil {
		if s.ReadOnlyError() == nil {
			s.removeCheckpoint(ref.number, ref.size)
		}
		return err
	}
	s.checkpointBytes.Store(ref.size)
	m.coveredLogBytes = 0
	s.stats.checkpoints.Add(1)
	if replaced.number == 0 {
		return nil
	}
	if err := s.fs.Remove(checkpointName(replaced.number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	s.usedBytes.Add(-replaced.size)
	return nil
}

// removeCheckpoint removes a checkpoint of size bytes that the manifest does not name.
// If the removal fails, the next recovery removes the file.
func (s *Store) removeCheckpoint(number uint32, size int64) {
	if s.fs.Remove(checkpointName(number)) == nil {
		s.usedBytes.Add(-size)
	}
}
