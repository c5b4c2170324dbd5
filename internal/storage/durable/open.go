package durable

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Open opens a store, or creates one in an empty folder, and reports what it found. A
// folder in which data is missing that was acknowledged, or may have been, is not
// opened: the error is a *DamagedError, nothing is changed, and the caller decides
// whether to run Repair.
func Open(fs vfs.FS, o Options) (*Store, *Report, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, nil, err
	}
	lock, err := fs.Lock(LockName)
	if err != nil {
		return nil, nil, err
	}
	s, report, err := openLocked(fs, o, lock)
	if err != nil {
		lock.Close()
		return nil, report, err
	}
	return s, report, nil
}

func openLocked(fs vfs.FS, o Options, lock io.Closer) (*Store, *Report, error) {
	r, err := recoverFrom(fs, &o)
	if err != nil {
		return nil, nil, err
	}
	if !r.uninitialized && r.report.Loss == AcknowledgedLoss {
		r.close()
		return nil, r.report, &DamagedError{r.report}
	}
	if r.uninitialized {
		err = initialize(fs, &o, r)
	} else {
		err = finishRecovery(fs, r)
	}
	if err != nil {
		r.close()
		return nil, r.report, err
	}
	s := newStore(fs, o, lock, r)
	if err := s.measureUsedBytes(); err != nil {
		r.close()
		return nil, r.report, err
	}
	s.start()
	return s, r.report, nil
}

// newStore returns a store with the recovered state. It starts no goroutine.
func newStore(fs vfs.FS, o Options, lock io.Closer, r *recovery) *Store {
	s := &Store{
		fs:            fs,
		options:       o,
		lock:          lock,
		report:        r.report,
		storeID:       r.manifest.storeID,
		requests:      make(chan *request, o.MaxQueuedBatches),
		committerDone: make(chan struct{}),
		logTail:       logTail{segment: r.index.segments[r.end.segment], end: r.end},
		index:         r.index,
		seq:           r.end.seq,
		syncedSeq:     r.end.seq,
		snapshots:     map[*Snapshot]struct{}{},
		manifest:      *r.manifest,
	}
	s.checkpointBytes.Store(r.manifest.checkpoints[newestCheckpoint].size)
	s.liveBytes.Store(r.index.liveBytes)
	s.logBytesSinceCheckpoint.Store(r.logBytesSinceCheckpoint)
	s.maintenance.init(s, r)
	return s
}

// start starts the store's goroutines.
func (s *Store) start() {
	go s.runCommitter()
	if s.options.ManualMaintenance {
		close(s.maintenance.loopDone)
	} else {
		go s.maintenance.run()
	}
}

// initialize creates the first segment and the manifest. Until the manifest's name
// is on disk, recovery treats the folder as empty.
func initialize(fs vfs.FS, o *Options, r *recovery) error {
	id := o.StoreID
	if id == 0 {
		var b [8]byte
		rand.Read(b[:])
		id = binary.LittleEndian.Uint64(b[:])
	}
	const first = 1
	r.manifest = &manifest{storeID: id, activeSegment: first, firstSegment: first}
	h := segmentHeader{storeID: id, number: first}
	if err := writeFile(fs, segmentName(first), h.encode()); err != nil {
		return err
	}
	if err := fs.SyncDir(); err != nil {
		return err
	}
	if err := r.manifest.write(fs); err != nil {
		return err
	}
	r.segments = []uint32{first}
	r.files = map[string]int64{segmentName(first): headerLen}
	r.maxSegment = first
	r.end = position{segment: first, offset: headerLen, chainChecksum: h.checksum}
	if err := r.resetIndex(fs, o); err != nil {
		return err
	}
	r.summarize()
	return nil
}

// finishRecovery makes the recovered state durable, and removes files that a crash left
// over.
func finishRecovery(fs vfs.FS, r *recovery) error {
	last := r.index.segments[r.end.segment]
	if r.report.TruncatedBytes > 0 {
		if err := last.file.Truncate(r.end.offset); err != nil {
			return fmt.Errorf("%s: %w", segmentName(last.number), err)
		}
	}
	// Readers will see the log's last batches, so they must be on disk.
	if err := last.file.Sync(); err != nil {
		return fmt.Errorf("%s: %w", segmentName(last.number), syncError{err})
	}
	if r.checkpoints != r.manifest.checkpoints {
		if err := r.dropUnreadableCheckpoint(fs); err != nil {
			return err
		}
	}
	for name := range r.files {
		if !r.isLeftover(name) {
			continue
		}
		if err := fs.Remove(name); err != nil {
			return err
		}
		r.removeSegmentFromIndex(name)
	}
	return nil
}

// dropUnreadableCheckpoint writes a manifest that names only the readable checkpoint,
// as the newest one.
func (r *recovery) dropUnreadableCheckpoint(fs vfs.FS) error {
	readable := r.checkpoints[newestCheckpoint]
	if readable.number == 0 {
		readable = r.checkpoints[0]
	}
	r.manifest.checkpoints = [retainedCheckpoints]checkpointRef{newestCheckpoint: readable}
	r.manifest.syncedSeq = max(r.manifest.syncedSeq, r.end.seq)
	return r.manifest.write(fs)
}

// isLeftover reports whether a file is left over from a crash: neither the manifest nor
// the log needs it.
func (r *recovery) isLeftover(name string) bool {
	if name == manifestTempName {
		return true
	}
	if n, ok := parseNumberedName(name, segmentSuffix); ok {
		return n > r.end.segment
	}
	n, ok := parseNumberedName(name, checkpointSuffix)
	if !ok {
		return false
	}
	for _, ref := range r.manifest.checkpoints {
		if ref.number == n {
			return false
		}
	}
	return true
}

// removeSegmentFromIndex removes a deleted file from the index, if it was a segment.
func (r *recovery) removeSegmentFromIndex(name string) {
	n, ok := parseNumberedName(name, segmentSuffix)
	if !ok {
		return
	}
	if segment := r.index.segments[n]; segment != nil {
		segment.file.Close()
		delete(r.index.segments, n)
	}
}
