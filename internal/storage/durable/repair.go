package durable

import (
	"fmt"

	"oxbowbridge/internal/storage/durable/vfs"
)

// repairCheckpointChunkBytes is the budget of each call of checkpointWriter.writeNext
// in a repair.
const repairCheckpointChunkBytes = 1 << 20

// Repair changes a damaged folder so that it can be opened with the last consistent
// state that can be recovered. Batches after the damage are lost, and their sequence
// numbers are not reused. A key whose value can't be read stays in the index, marked as
// lost: Get fails for it until the key is written or deleted. Files that the repaired
// store does not use are renamed with the prefix "damaged-". A folder that is not
// damaged is not changed.
//
// The report describes the folder before the repair. The repair takes effect when the
// manifest is replaced; a crash before that leaves the old state in place.
func Repair(fsys vfs.FS, o Options) (*Report, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	lock, err := fsys.Lock(LockName)
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	r, err := recoverFrom(fsys, &o)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if r.uninitialized {
		return r.report, nil
	}
	if r.report.Unrecoverable {
		return r.report, &DamagedError{r.report}
	}
	unreadable := r.findUnreadable()
	if r.report.Loss != AcknowledgedLoss {
		return r.report, nil
	}
	r.index.markLost(r.end.seq, unreadable)
	if err := r.writeRepaired(fsys); err != nil {
		return r.report, err
	}
	return r.report, r.quarantine(fsys)
}

// writeRepaired writes the recovered state as two checkpoints followed by an empty
// segment, and replaces the manifest by one that names only these files.
func (r *recovery) writeRepaired(fsys vfs.FS) error {
	header := segmentHeader{storeID: r.manifest.storeID, number: r.maxSegment + 1, previousSeq: r.maxSeq + 1}
	if err := writeFile(fsys, segmentName(header.number), header.encode()); err != nil {
		return fmt.Errorf("repair: %w", err)
	}
	start := position{header.number, headerLen, header.previousSeq, header.checksum}
	next := &manifest{
		storeID:       r.manifest.storeID,
		generation:    r.manifest.generation,
		activeSegment: header.number,
		syncedSeq:     start.seq,
	}
	for i := range next.checkpoints {
		ref, err := r.writeCheckpoint(fsys, r.maxCheckpoint+1+uint32(i), start)
		if err != nil {
			return fmt.Errorf("repair: %w", err)
		}
		next.checkpoints[i] = ref
	}
	if err := fsys.SyncDir(); err != nil {
		return fmt.Errorf("repair: %w", err)
	}
	if err := next.write(fsys); err != nil {
		return fmt.Errorf("repair: %w", err)
	}
	return nil
}

// writeCheckpoint writes the index as a checkpoint, and reads it back to verify it.
func (r *recovery) writeCheckpoint(fsys vfs.FS, number uint32, start position) (checkpointRef, error) {
	header := checkpointHeader{r.manifest.storeID, number, start}
	w := &checkpointWriter{header: header, iterator: r.index.tree.Iter()}
	if err := w.start(fsys); err != nil {
		return checkpointRef{}, err
	}
	for done := false; !done; {
		var err error
		if done, err = w.writeNext(repairCheckpointChunkBytes); err != nil {
			return checkpointRef{}, err
		}
	}
	if err := w.file.Close(); err != nil {
		return checkpointRef{}, err
	}
	ref := w.ref()
	_, err := readCheckpoint(fsys, ref, header.storeID, func(indexEntry) {})
	return ref, err
}

// quarantine renames the files that the repaired store does not use. Segments with
// live values keep their names.
func (r *recovery) quarantine(fsys vfs.FS) error {
	for name := range r.files {
		if !r.isReplaced(name) {
			continue
		}
		if err := fsys.Rename(name, quarantinePrefix+name); err != nil {
			return fmt.Errorf("repair: %w", err)
		}
	}
	return fsys.SyncDir()
}

// isReplaced reports whether a file is a checkpoint or a segment without live values.
// The repaired store reads none of these.
func (r *recovery) isReplaced(name string) bool {
	if _, ok := parseNumberedName(name, checkpointSuffix); ok {
		return true
	}
	n, ok := parseNumberedName(name, segmentSuffix)
	if !ok {
		return false
	}
	segment := r.index.segments[n]
	return segment == nil || segment.liveValues <= 0
}
