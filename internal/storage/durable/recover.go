package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"oxbowbridge/internal/storage/durable/vfs"
)

// recovery is the state recovered from a folder. Recovery itself changes no file.
type recovery struct {
	uninitialized           bool // no batch was ever acknowledged in the folder
	manifest                *manifest
	index                   *index
	end                     position // end of the last valid batch
	logBytesSinceCheckpoint int64
	checkpoints             [retainedCheckpoints]checkpointRef // zero for an unreadable checkpoint
	files                   map[string]int64                   // file lengths in bytes, by name
	maxSegment              uint32
	maxCheckpoint           uint32
	maxSeq                  uint64 // highest sequence number found in any file, also in batches after end
	report                  *Report
	segments                []uint32 // numbers, ascending
}

// close closes the segment files.
func (r *recovery) close() {
	if r.index == nil {
		return
	}
	for _, s := range r.index.segments {
		s.file.Close()
	}
}

// recoverFrom reads a folder as far as it is consistent: the manifest, the newest
// readable checkpoint, and the log after it. It returns an error only for failed I/O;
// faults in the files are listed in the report.
func recoverFrom(fsys vfs.FS, o *Options) (*recovery, error) {
	list, err := fsys.List()
	if err != nil {
		return nil, err
	}
	r := &recovery{files: map[string]int64{}, report: &Report{Faults: []string{}, Warnings: []string{}}}
	checkpoints := r.listFiles(list)
	if err := r.loadManifest(fsys, checkpoints); err != nil || r.uninitialized || r.report.Unrecoverable {
		return r, err
	}
	start, err := r.loadCheckpoint(fsys, o)
	if err == nil && !r.report.Unrecoverable {
		err = r.replay(start)
	}
	if err != nil {
		r.close()
		return nil, err
	}
	r.summarize()
	return r, nil
}

// listFiles records all files, and returns the numbers of the checkpoints.
func (r *recovery) listFiles(list []vfs.FileInfo) (checkpoints []uint32) {
	for _, f := range list {
		r.files[f.Name] = f.Size
		if n, ok := parseNumberedName(f.Name, segmentSuffix); ok {
			r.segments = append(r.segments, n)
			r.maxSegment = max(r.maxSegment, n)
		}
		if n, ok := parseNumberedName(f.Name, checkpointSuffix); ok {
			checkpoints = append(checkpoints, n)
			r.maxCheckpoint = max(r.maxCheckpoint, n)
		}
	}
	slices.Sort(r.segments)
	return checkpoints
}

// loadCheckpoint loads the newest readable checkpoint into the index, and returns the
// position in the log at which the replay starts.
func (r *recovery) loadCheckpoint(fsys vfs.FS, o *Options) (position, error) {
	for i := newestCheckpoint; i >= 0; i-- {
		ref := r.checkpoints[i]
		if ref.number == 0 {
			continue
		}
		if err := r.resetIndex(fsys, o); err != nil {
			return position{}, err
		}
		start, err := r.loadCheckpointFile(fsys, ref)
		if err == nil {
			return start, nil
		}
		if !errors.Is(err, ErrDamaged) && !errors.Is(err, fs.ErrNotExist) {
			return position{}, err
		}
		r.report.addWarning("checkpoint not used: %v", err)
		r.checkpoints[i] = checkpointRef{}
	}
	if r.manifest.firstSegment != 0 {
		if err := r.resetIndex(fsys, o); err != nil {
			return position{}, err
		}
		return position{segment: r.manifest.firstSegment, offset: headerLen}, nil
	}
	r.report.addFault(errors.New("no checkpoint can be read, and the log does not go back to the beginning"))
	r.report.Unrecoverable = true
	return position{}, nil
}

// loadCheckpointFile fills the empty index from a checkpoint. It marks values as lost
// whose segment is missing or too short.
func (r *recovery) loadCheckpointFile(fsys vfs.FS, ref checkpointRef) (position, error) {
	var unreadable []indexEntry
	header, err := readCheckpoint(fsys, ref, r.manifest.storeID, func(e indexEntry) {
		if e.place == valueOnDisk {
			s := r.index.segments[e.segment]
			if s == nil || int64(e.offset)+int64(e.size) > s.size {
				unreadable = append(unreadable, e)
			}
		}
		r.index.loadSorted(e)
	})
	if err != nil {
		return position{}, err
	}
	r.report.CheckpointNumber = ref.number
	for _, e := range unreadable {
		r.report.addFault(fmt.Errorf("%s: value of %q is missing", segmentName(e.segment), e.key()))
	}
	r.index.markLost(header.logPosition.seq, unreadable)
	return header.logPosition, nil
}

// resetIndex replaces the index by an empty one and opens all segments for it.
func (r *recovery) resetIndex(fsys vfs.FS, o *Options) error {
	r.close()
	r.index = newIndex(o.MaxInlineBytes)
	for _, n := range r.segments {
		name := segmentName(n)
		f, err := fsys.Open(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		r.index.segments[n] = &segment{
			number: n,
			file:   f,
			size:   r.files[name],
			salt:   fileSalt(r.manifest.storeID, segmentFormat.kind, n),
			sealed: true,
		}
	}
	return nil
}

// summarize sets the fields of the segments and of the report that depend on the
// complete index.
func (r *recovery) summarize() {
	if r.index == nil {
		return
	}
	for _, s := range r.index.segments {
		if s.liveValues == 0 {
			s.emptiedSeq = r.end.seq
		}
	}
	if s := r.index.segments[r.end.segment]; s != nil {
		s.sealed = false
		s.size = min(s.size, r.end.offset)
	}
	r.report.StoreID = fmt.Sprintf("%016x", r.manifest.storeID)
	r.report.Seq = r.end.seq
	r.report.Keys = r.index.tree.Len()
	r.report.Segments = len(r.segments)
	r.report.LostKeys = int(r.index.valuesLost)
}
