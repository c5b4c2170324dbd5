package durable

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"oxbowbridge/internal/storage/durable/vfs"
)

// loadManifest reads the manifest, or reconstructs it if it is missing or damaged.
func (r *recovery) loadManifest(fsys vfs.FS, checkpoints []uint32) error {
	b, err := readFile(fsys, manifestName, manifestLen+1) // one more byte, to detect a file that is too long
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if len(checkpoints) == 0 && r.holdsNoBatch() {
			r.uninitialized = true
			return nil
		}
		err = newFileFault(manifestName, 0, "is missing")
	case err != nil:
		return fmt.Errorf("%s: %w", manifestName, err)
	default:
		if r.manifest, err = parseManifest(b); err == nil {
			r.checkpoints = r.manifest.checkpoints
			r.maxSegment = max(r.maxSegment, r.manifest.activeSegment)
			r.maxSeq = r.manifest.syncedSeq
			return nil
		}
	}
	r.report.addFault(err)
	return r.reconstructManifest(fsys, checkpoints)
}

// holdsNoBatch reports whether there is no segment, or only the first one without a
// batch. A crash before the first manifest was written leaves such a folder.
func (r *recovery) holdsNoBatch() bool {
	switch len(r.segments) {
	case 0:
		return true
	case 1:
		return r.segments[0] == 1 && r.files[segmentName(1)] <= headerLen
	}
	return false
}

// reconstructManifest reconstructs an unreadable manifest from the headers of the other
// files.
func (r *recovery) reconstructManifest(fsys vfs.FS, checkpoints []uint32) error {
	r.manifest = &manifest{activeSegment: r.maxSegment}
	var refs []checkpointRef
	for _, n := range checkpoints {
		name := checkpointName(n)
		b, err := readFile(fsys, name, headerLen)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if h, err := parseCheckpointHeader(b, name); err == nil && h.number == n {
			r.manifest.storeID = h.storeID
			refs = append(refs, checkpointRef{n, h.logPosition.seq, r.files[name], h.logPosition.segment})
		}
	}
	slices.SortFunc(refs, func(a, b checkpointRef) int { return cmp.Compare(a.number, b.number) })
	refs = refs[max(0, len(refs)-retainedCheckpoints):]
	copy(r.checkpoints[retainedCheckpoints-len(refs):], refs)
	for _, n := range r.segments {
		name := segmentName(n)
		b, err := readFile(fsys, name, headerLen)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if h, err := parseSegmentHeader(b, name); err == nil && h.number == n {
			r.manifest.storeID = h.storeID
			if n == 1 && h.previousSeq == 0 {
				r.manifest.firstSegment = 1
			}
		}
	}
	r.manifest.checkpoints = r.checkpoints
	return nil
}
