package durable

import (
	"errors"
	"io/fs"
	"strings"

	"oxbowbridge/internal/storage/durable/vfs"
)

// View is what a folder would recover to, read without changing anything.
type View struct {
	r      *recovered
	Report *Report
}

// Inspect reads a folder, in whatever state it is. The caller holds its lock.
func Inspect(fsys vfs.FS, o Options) (*View, error) {
	o, err := o.filled()
	if err != nil {
		return nil, err
	}
	r, err := recoverFrom(fsys, &o)
	if err != nil {
		return nil, err
	}
	return &View{r, r.report}, nil
}

// Scan gives all keys that have not expired, in their order.
func (v *View) Scan(now int64, each func(Item) bool) {
	if v.r.idx == nil {
		return
	}
	scan(v.r.idx.tree, "", "", now, func(e entry) bool { return each(itemOf(e, v.r.idx.segs[e.segment])) })
}

// Missed reports a value that its Value could not give.
func (v *View) ReportUnreadable(i Item, err error) {
	if !i.Lost {
		v.Report.LostKeys++
	}
	v.Report.add(err)
}

// Fresh means that nothing was ever acknowledged here.
func (v *View) Uninitialized() bool { return v.r.fresh }

// FolderStat are the figures of a folder that is not open.
type FolderStats struct {
	*Report
	UsedBytes               int64 `json:"used_bytes"`
	LiveBytes               int64 `json:"live_bytes"`
	KeysOnDisk              int64 `json:"keys_on_disk"` // whose value is not held in memory
	LogBytesSinceCheckpoint int64 `json:"log_behind_bytes"`
	QuarantinedFiles        int   `json:"files_set_aside"` // by repairs
}

// Stat gives the figures.
func (v *View) Stats() FolderStats {
	t := FolderStats{Report: v.Report, LogBytesSinceCheckpoint: v.r.behind}
	for name, size := range v.r.files {
		t.UsedBytes += size
		if strings.HasPrefix(name, setAside) {
			t.QuarantinedFiles++
		}
	}
	if v.r.idx != nil {
		t.LiveBytes, t.KeysOnDisk = v.r.idx.live, v.r.idx.onDisk
	}
	return t
}

// Close lets go of the files.
func (v *View) Close() { v.r.close() }

// Verify reads every byte that counts: the manifest, both checkpoints, all batches of
// all segments, and each value where the index points to. What is wrong is in the
// view's report.
func (v *View) Verify(fsys vfs.FS) error {
	r := v.r
	if r.idx == nil || r.report.Unrecoverable {
		return nil
	}
	for _, ref := range r.man.ckps {
		if ref.number == 0 || ref.number == r.report.CheckpointNumber {
			continue
		}
		if _, err := readCheckpoint(fsys, ref, r.man.store, func(entry) {}); err != nil {
			if !errors.Is(err, ErrDamaged) && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
			r.report.warn("checkpoint can't be read: %v", err)
		}
	}
	for _, n := range r.segments {
		if s := r.idx.segs[n]; s != nil && n < r.end.segment {
			if err := r.verifySegment(s); err != nil {
				return err
			}
		}
	}
	r.unreadable()
	return nil
}

// verifySegment walks a sealed segment from its header on.
func (r *recovered) verifySegment(s *segment) error {
	name := logName(s.number)
	b := make([]byte, min(headerLen, s.size))
	if err := readFull(s.file, b, 0); err != nil {
		return err
	}
	h, err := parseSegHeader(b, name)
	if err != nil {
		r.report.warn("%v", err)
		return nil
	}
	at := position{s.number, headerLen, h.prevSeq, h.sum}
	what, err := walk(s, &at, func(frame, []byte, int64) error { return nil })
	if what != "" {
		r.report.warn("%v", faulty(name, at.offset, "%s", what))
	}
	return err
}

// unreadable finds the entries whose value is not where the index has it, and reports
// them.
func (r *recovered) unreadable() (gone []entry) {
	r.idx.tree.Scan(func(e entry) bool {
		if e.place != onDisk {
			return true
		}
		if _, err := valueOf(&e, r.idx.segs[e.segment]); err != nil {
			gone = append(gone, e)
			r.report.add(err)
		}
		return true
	})
	return gone
}
