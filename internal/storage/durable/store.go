package durable

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"oxbowbridge/internal/storage/durable/plan"
	"oxbowbridge/internal/storage/durable/vfs"
)

// Store is an open store. All its methods may be called at once from many
// goroutines.
type Store struct {
	fs      vfs.FS
	o       Options
	lock    io.Closer
	report  *Report
	storeID uint64

	// One goroutine, the committer, owns the log's end.
	queue chan *request
	done  chan struct{} // closed when the committer has ended
	log   logEnd

	gate   sync.RWMutex // held for reading while a request is queued
	closed bool

	mu      sync.RWMutex
	idx     *index
	seq     uint64 // of the last batch that readers see
	durable uint64 // of the last batch that is on disk
	snaps   map[*Snapshot]struct{}
	failed  error

	manMu sync.Mutex
	man   manifest

	used     atomic.Int64 // bytes of all files
	ckpBytes atomic.Int64 // of the newest checkpoint
	live     atomic.Int64
	behind   atomic.Int64 // bytes of log after the newest checkpoint
	reserved atomic.Bool  // the reserve is on disk
	released atomic.Bool  // it was, and has gone to deletes or upkeep
	unsynced atomic.Int64 // when the oldest buffered write came, in ns of the upkeep's time; 0 if none

	upkeep upkeep
	stats  counters
}

type counters struct {
	batches, syncs, groups, full, checkpoints, compactions, dropped, moved atomic.Int64
}

// Open opens a store, or makes one in an empty folder, and says what it found. A
// folder that misses what was acknowledged, or may have been, is not opened: the
// error is a *DamagedError, nothing was changed, and Repair is the caller's choice.
func Open(fs vfs.FS, o Options) (*Store, *Report, error) {
	o, err := o.filled()
	if err != nil {
		return nil, nil, err
	}
	lock, err := fs.Lock(LockName)
	if err != nil {
		return nil, nil, err
	}
	s, report, err := open(fs, o, lock)
	if err != nil {
		lock.Close()
		return nil, report, err
	}
	return s, report, nil
}

func open(fs vfs.FS, o Options, lock io.Closer) (*Store, *Report, error) {
	r, err := recoverFrom(fs, &o)
	if err != nil {
		return nil, nil, err
	}
	if !r.fresh && r.report.Loss == AcknowledgedLoss {
		r.close()
		return nil, r.report, &DamagedError{r.report}
	}
	if r.fresh {
		err = create(fs, &o, r)
	} else {
		err = settle(fs, r)
	}
	if err != nil {
		r.close()
		return nil, r.report, err
	}
	s := &Store{fs: fs, o: o, lock: lock, report: r.report, queue: make(chan *request, o.MaxQueuedBatches), done: make(chan struct{}),
		idx: r.idx, seq: r.end.seq, durable: r.end.seq, snaps: map[*Snapshot]struct{}{}, man: *r.man, storeID: r.man.store}
	s.log = logEnd{seg: r.idx.segs[r.end.segment], at: r.end}
	s.ckpBytes.Store(r.man.ckps[keptCkps-1].size)
	s.live.Store(r.idx.live)
	s.behind.Store(r.behind)
	s.upkeep.init(s, r)
	if err := s.recount(); err != nil {
		r.close()
		return nil, r.report, err
	}
	go s.commit()
	if !o.ManualMaintenance {
		go s.upkeep.loop()
	} else {
		close(s.upkeep.ended)
	}
	return s, r.report, nil
}

// create makes the first segment and the manifest. Until the manifest's name is on
// disk, the folder counts as empty.
func create(fs vfs.FS, o *Options, r *recovered) error {
	id := o.StoreID
	if id == 0 {
		var b [8]byte
		rand.Read(b[:])
		id = binary.LittleEndian.Uint64(b[:])
	}
	r.man = &manifest{store: id, active: 1, first: 1}
	h := segHeader{store: id, number: 1}
	if err := writeFile(fs, logName(1), h.encode()); err != nil {
		return err
	}
	if err := fs.SyncDir(); err != nil {
		return err
	}
	if err := r.man.write(fs); err != nil {
		return err
	}
	r.segments, r.files = []uint32{1}, map[string]int64{logName(1): headerLen}
	r.maxSeg, r.end = 1, position{segment: 1, offset: headerLen, chain: h.sum}
	if err := r.newIndex(fs, o); err != nil {
		return err
	}
	r.sums()
	return nil
}

// settle makes what was recovered last, and takes away what a crash left over.
func settle(fs vfs.FS, r *recovered) error {
	s := r.idx.segs[r.end.segment]
	if r.report.TruncatedBytes > 0 {
		if err := s.file.Truncate(r.end.offset); err != nil {
			return fmt.Errorf("%s: %w", logName(s.number), err)
		}
	}
	if err := s.file.Sync(); err != nil { // readers will see it, so it must be on disk
		return fmt.Errorf("%s: %w", logName(s.number), syncError{err})
	}
	if r.ckps != r.man.ckps { // one can't be read: the other counts as the newest, with the log behind it
		kept := r.ckps[keptCkps-1]
		if kept.number == 0 {
			kept = r.ckps[0]
		}
		r.man.ckps = [keptCkps]ckpRef{keptCkps - 1: kept}
		r.man.floor = max(r.man.floor, r.end.seq)
		if err := r.man.write(fs); err != nil {
			return err
		}
	}
	for name := range r.files {
		n, isLog := numbered(name, logSuffix)
		c, isCkp := numbered(name, ckpSuffix)
		leftover := name == manifestTemp || isLog && n > r.end.segment
		if isCkp {
			leftover = true
			for _, ref := range r.man.ckps {
				leftover = leftover && c != ref.number
			}
		}
		if !leftover {
			continue
		}
		if err := fs.Remove(name); err != nil {
			return err
		}
		if isLog && r.idx.segs[n] != nil {
			r.idx.segs[n].file.Close()
			delete(r.idx.segs, n)
		}
	}
	return nil
}

// recount adds up the folder.
func (s *Store) recount() error {
	list, err := s.fs.List()
	if err != nil {
		return err
	}
	sum, reserved := int64(0), false
	for _, f := range list {
		sum += f.Size
		reserved = reserved || f.Name == reserveName && f.Size >= int64(s.o.ReserveBytes)
	}
	s.used.Store(sum)
	s.reserved.Store(reserved)
	return nil
}

func (s *Store) space() plan.Space {
	return plan.Space{UsedBytes: s.used.Load(), CheckpointBytes: s.ckpBytes.Load(), LiveBytes: s.live.Load(), ReserveReleased: s.released.Load()}
}

// release gives the reserve to deletes and upkeep, and tells whether there was one.
func (s *Store) release() bool {
	if !s.reserved.CompareAndSwap(true, false) {
		return false
	}
	s.released.Store(true)
	if s.fs.Remove(reserveName) != nil {
		return false
	}
	s.used.Add(-int64(s.o.ReserveBytes))
	return true
}

// Report is what Open found.
func (s *Store) Report() *Report { return s.report }

// Get gives the value of a key at a time, as the last batch left it.
func (s *Store) Get(key []byte, now int64) ([]byte, error) {
	for {
		s.mu.RLock()
		if s.snaps == nil {
			s.mu.RUnlock()
			return nil, ErrClosed
		}
		e, seg, err := find(s.idx.tree, s.idx.segs, string(key), now)
		s.mu.RUnlock()
		if err != nil || seg == nil {
			return []byte(e.value()), err
		}
		value, err := seg.read(&e)
		if err == nil {
			return value, nil
		}
		s.mu.RLock()
		moved := s.idx.segs[e.segment] != seg // compacted and dropped meanwhile
		s.mu.RUnlock()
		if !moved {
			return nil, err
		}
	}
}

// Version gives the sequence number of the batch that put a key.
func (s *Store) Version(key []byte, now int64) (uint64, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, _, err := find(s.idx.tree, s.idx.segs, string(key), now)
	return e.version, err
}

// Seq is the number of the last batch that readers see, and of the last on disk.
func (s *Store) Seq() (visible, synced uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.seq, s.durable
}

// Failed is why the store is read-only, or nil.
func (s *Store) ReadOnlyError() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.failed
}

// Close waits for what is queued, syncs, and lets go of the folder. Snapshots end.
func (s *Store) Close() error {
	s.gate.Lock()
	if s.closed {
		s.gate.Unlock()
		return ErrClosed
	}
	s.closed = true
	s.gate.Unlock()
	s.upkeep.stop()
	close(s.queue)
	<-s.done
	err := s.ReadOnlyError()
	if err == nil {
		if err = s.syncLog(); err == nil {
			err = s.writeManifest(func(m *manifest) {})
		}
	}
	s.mu.Lock()
	for snap := range s.snaps {
		snap.closed = true
	}
	s.snaps = nil
	for _, seg := range s.idx.segs {
		seg.file.Close()
	}
	s.mu.Unlock()
	if lerr := s.lock.Close(); err == nil {
		err = lerr
	}
	return err
}

// writeManifest changes the manifest and puts the new one in its place.
func (s *Store) writeManifest(change func(*manifest)) error {
	s.manMu.Lock()
	defer s.manMu.Unlock()
	next := s.man
	change(&next)
	_, next.floor = s.Seq()
	if err := next.write(s.fs); err != nil {
		if isFull(err) {
			s.fs.Remove(manifestTemp)
			return err
		}
		return s.fail(err)
	}
	s.man = next
	return nil
}

// fail turns the store read-only, for good.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = fmt.Errorf("%w since a write or sync failed: %w", ErrReadOnly, err)
	}
	return s.failed
}

// Stat is what a store holds and does.
type Stats struct {
	Seq                     uint64 `json:"seq"`
	SyncedSeq               uint64 `json:"synced"`
	Keys                    int    `json:"keys"`
	KeysOnDisk              int64  `json:"keys_on_disk"` // whose value is not held in memory
	LiveBytes               int64  `json:"live_bytes"`
	UsedBytes               int64  `json:"used_bytes"`
	MaxBytes                int64  `json:"max_bytes"`
	Segments                int    `json:"segments"`
	DeadBytes               int64  `json:"dead_bytes"` // of sealed segments
	LogBytesSinceCheckpoint int64  `json:"log_behind_bytes"`
	CheckpointBytes         int64  `json:"checkpoint_bytes"`
	Batches                 int64  `json:"batches"` // since it was opened, as all that follow
	Syncs                   int64  `json:"syncs"`
	Groups                  int64  `json:"groups"`
	RejectedFull            int64  `json:"turned_away_full"`
	Checkpoints             int64  `json:"checkpoints"`
	Compactions             int64  `json:"compactions"`
	DroppedSegments         int64  `json:"segments_dropped"`
	MovedBytes              int64  `json:"moved_bytes"`
	Snapshots               int    `json:"snapshots"`
	ReadOnlyReason          string `json:"read_only,omitempty"`
	MaintenanceError        string `json:"upkeep_error,omitempty"`
}

// Stat gives the figures of this moment.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := Stats{Seq: s.seq, SyncedSeq: s.durable, Keys: s.idx.tree.Len(), KeysOnDisk: s.idx.onDisk, LiveBytes: s.idx.live,
		UsedBytes: s.used.Load(), MaxBytes: s.o.Maintenance.MaxBytes, Segments: len(s.idx.segs), LogBytesSinceCheckpoint: s.behind.Load(),
		CheckpointBytes: s.ckpBytes.Load(), Batches: s.stats.batches.Load(), Syncs: s.stats.syncs.Load(), Groups: s.stats.groups.Load(),
		RejectedFull: s.stats.full.Load(), Checkpoints: s.stats.checkpoints.Load(), Compactions: s.stats.compactions.Load(),
		DroppedSegments: s.stats.dropped.Load(), MovedBytes: s.stats.moved.Load(), Snapshots: len(s.snaps)}
	for _, seg := range s.idx.segs {
		if seg.sealed {
			t.DeadBytes += seg.size - seg.live
		}
	}
	if s.failed != nil {
		t.ReadOnlyReason = s.failed.Error()
	}
	if err := s.upkeep.lastError(); err != nil {
		t.MaintenanceError = err.Error()
	}
	return t
}

var errStopped = errors.New("upkeep is stopped")
