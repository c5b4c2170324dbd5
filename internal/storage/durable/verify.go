package durable

import (
	"errors"
	"io/fs"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Verify reads all data in use: the manifest, both checkpoints, all batches of all
// segments, and each value to which the index refers. It adds faults to the view's
// report, and returns an error only for failed I/O.
func (v *View) Verify(fsys vfs.FS) error {
	r := v.recovery
	if r.index == nil || r.report.Unrecoverable {
		return nil
	}
	if err := r.verifyCheckpoints(fsys); err != nil {
		return err
	}
	for _, n := range r.segments {
		s := r.index.segments[n]
		if s == nil || n >= r.end.segment {
			continue
		}
		if err := r.verifySegment(s); err != nil {
			return err
		}
	}
	r.findUnreadable()
	return nil
}

// verifyCheckpoints reads the checkpoints that recovery did not read.
func (r *recovery) verifyCheckpoints(fsys vfs.FS) error {
	for _, ref := range r.manifest.checkpoints {
		if ref.number == 0 || ref.number == r.report.CheckpointNumber {
			continue
		}
		_, err := readCheckpoint(fsys, ref, r.manifest.storeID, func(indexEntry) {})
		if err == nil {
			continue
		}
		if !errors.Is(err, ErrDamaged) && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		r.report.addWarning("checkpoint can't be read: %v", err)
	}
	return nil
}

// verifySegment reads the header and all batches of a sealed segment.
func (r *recovery) verifySegment(s *segment) error {
	h, err := s.readHeader()
	if errors.Is(err, ErrDamaged) {
		r.report.addWarning("%v", err)
		return nil
	}
	if err != nil {
		return err
	}
	end := position{s.number, headerLen, h.previousSeq, h.checksum}
	err = readBatches(s, &end, func(batchHeader, []byte, int64) error { return nil })
	if errors.Is(err, ErrDamaged) {
		r.report.addWarning("%v", err)
		return nil
	}
	return err
}

// findUnreadable returns the entries whose value can't be read, and adds a fault for
// each to the report.
func (r *recovery) findUnreadable() (unreadable []indexEntry) {
	r.index.tree.Scan(func(e indexEntry) bool {
		if e.place != valueOnDisk {
			return true
		}
		if _, err := readValue(&e, r.index.segments[e.segment]); err != nil {
			unreadable = append(unreadable, e)
			r.report.addFault(err)
		}
		return true
	})
	return unreadable
}
