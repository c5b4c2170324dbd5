package durable

import (
	"errors"
	"fmt"
	"io/fs"
)

// beginCheckpoint copies the index between two groups, with all of the log synced,
// and creates the checkpoint's file.
func (m *maintainer) beginCheckpoint() error {
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
	if err := w.begin(s.fs); err != nil {
		s.fs.Remove(checkpointName(w.header.number))
		return m.checkpointFailed(err)
	}
	m.checkpoint = w
	s.usedBytes.Add(w.size)
	return nil
}

// checkpointFailed makes the store read-only unless the disk is merely full.
func (m *maintainer) checkpointFailed(err error) error {
	if isCleanDiskFull(err) {
		m.store.releaseReserve()
		return fmt.Errorf("checkpoint: %w", err)
	}
	return m.store.enterReadOnly(fmt.Errorf("checkpoint: %w", err))
}

// continueCheckpoint writes about budget bytes, and has the manifest name the
// checkpoint when it is complete.
func (m *maintainer) continueCheckpoint(budget int64) error {
	s := m.store
	w := m.checkpoint
	before := w.size
	done, err := w.writeNext(budget)
	m.planner.Charge(w.size - before)
	s.usedBytes.Add(w.size - before)
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

// installCheckpoint has the manifest name a complete checkpoint in place of the
// older of the two. It is read back first, so that a faulty one never replaces a
// good one.
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
			next.firstSegment = 0 // with two checkpoints the log may lose its beginning
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

// removeCheckpoint removes a checkpoint of which size bytes were written, and that
// the manifest does not name. Recovery removes it if this fails.
func (s *Store) removeCheckpoint(number uint32, size int64) {
	if s.fs.Remove(checkpointName(number)) == nil {
		s.usedBytes.Add(-size)
	}
}
