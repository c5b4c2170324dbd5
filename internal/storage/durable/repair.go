package durable

import (
	"fmt"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Repair makes a damaged folder one that opens, with the last consistent state that
// can be recovered: batches after the damage are gone, and a key whose value can't
// be read stays, marked: Get says so until it is written or deleted. The numbers of
// batches that are gone are not given again. Files that are no longer used are kept
// under a name that begins with "damaged-". A folder that opens is left as it is.
//
// The report is of the folder before. What was written for the repair counts only
// once the manifest has been replaced, so a crash on the way changes nothing.
func Repair(fsys vfs.FS, o Options) (*Report, error) {
	o, err := o.filled()
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
	if r.fresh {
		return r.report, nil
	}
	if r.report.Unrecoverable {
		return r.report, &DamagedError{r.report}
	}
	gone := r.unreadable()
	if r.report.Loss != AcknowledgedLoss {
		return r.report, nil
	}
	r.idx.lose(r.end.seq, gone)
	return r.report, rebuild(fsys, r)
}

// rebuild writes the recovered state as two checkpoints with an empty log behind
// them, and puts a manifest in place that has only those.
func rebuild(fsys vfs.FS, r *recovered) error {
	h := segHeader{store: r.man.store, number: r.maxSeg + 1, prevSeq: r.maxSeq + 1}
	if err := writeFile(fsys, logName(h.number), h.encode()); err != nil {
		return fmt.Errorf("repair: %w", err)
	}
	at := position{h.number, headerLen, h.prevSeq, h.sum}
	next := &manifest{store: r.man.store, generation: r.man.generation, active: h.number, floor: at.seq}
	for i := range next.ckps {
		head := ckpHeader{r.man.store, r.maxCkp + 1 + uint32(i), at}
		w := &ckpWriter{head: head, iter: r.idx.tree.Iter()}
		if err := w.begin(fsys); err != nil {
			return fmt.Errorf("repair: %w", err)
		}
		for done := false; !done; {
			var err error
			if done, err = w.step(1 << 20); err != nil {
				return fmt.Errorf("repair: %w", err)
			}
		}
		if err := w.file.Close(); err != nil {
			return fmt.Errorf("repair: %w", err)
		}
		next.ckps[i] = ckpRef{head.number, at.seq, w.size, at.segment}
		if _, err := readCheckpoint(fsys, next.ckps[i], head.store, func(entry) {}); err != nil {
			return fmt.Errorf("repair: %w", err)
		}
	}
	if err := fsys.SyncDir(); err != nil {
		return fmt.Errorf("repair: %w", err)
	}
	if err := next.write(fsys); err != nil {
		return fmt.Errorf("repair: %w", err)
	}
	for name := range r.files {
		n, isLog := numbered(name, logSuffix)
		_, isCkp := numbered(name, ckpSuffix)
		if isLog && r.idx.segs[n] != nil && r.idx.segs[n].refs > 0 || !isLog && !isCkp {
			continue
		}
		if err := fsys.Rename(name, setAside+name); err != nil {
			return fmt.Errorf("repair: %w", err)
		}
	}
	return fsys.SyncDir()
}
