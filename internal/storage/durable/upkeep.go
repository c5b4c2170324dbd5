package durable

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oxbowbridge/internal/storage/durable/plan"
)

// upkeep carries out what the plan decides, one step at a time, beside the writes.
type upkeep struct {
	s     *Store
	start time.Time
	given atomic.Int64  // the time of the last Step, if upkeep is manual
	quit  chan struct{} // closed to stop
	ended chan struct{} // closed when the loop has ended

	mu      sync.Mutex // held for a step
	planner plan.Planner
	ckp     *ckpWriter
	comp    *compaction
	ckpNext uint32
	covered int64 // bytes of log that the checkpoint in hand covers
	failed  bool

	errMu sync.Mutex
	err   error
}

func (u *upkeep) init(s *Store, r *recovered) {
	u.s, u.start = s, time.Now()
	u.quit, u.ended = make(chan struct{}), make(chan struct{})
	u.planner.Limits = s.o.Maintenance
	u.ckpNext = r.maxCkp + 1
}

func (u *upkeep) now() time.Duration {
	if u.s.o.ManualMaintenance {
		return time.Duration(u.given.Load())
	}
	return time.Since(u.start)
}

func (u *upkeep) loop() {
	defer close(u.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-u.quit:
			return
		case <-timer.C:
		}
		wait, _, err := u.step(false)
		if errors.Is(err, ErrReadOnly) {
			return // for good
		}
		timer.Reset(wait)
	}
}

// stop waits for the step in hand, and lets go of what was begun.
func (u *upkeep) stop() {
	close(u.quit)
	<-u.ended
	u.mu.Lock()
	defer u.mu.Unlock()
	u.abandon()
}

func (u *upkeep) abandon() {
	if u.ckp != nil {
		u.ckp.iter.Release()
		u.ckp.file.Close()
		if u.s.fs.Remove(ckpName(u.ckp.head.number)) == nil {
			u.s.used.Add(-u.ckp.size)
		}
		u.ckp = nil
	}
	u.comp = nil
}

func (u *upkeep) lastError() error {
	u.errMu.Lock()
	defer u.errMu.Unlock()
	return u.err
}

// Step does one step of upkeep at a time that never goes back, where
// Options.Manual leaves that to the caller. It tells whether there was one to do.
func (s *Store) RunMaintenance(now time.Duration) (worked bool, err error) {
	s.upkeep.given.Store(int64(now))
	_, worked, err = s.upkeep.step(false)
	return worked, err
}

// Compact gives back all space that can be, without regard to the budget.
func (s *Store) Compact(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, worked, err := s.upkeep.step(true); err != nil || !worked {
			return err
		}
	}
	return ctx.Err()
}

func (u *upkeep) step(eager bool) (wait time.Duration, worked bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	select {
	case <-u.quit:
		return 0, false, errStopped
	default:
	}
	if err := u.s.ReadOnlyError(); err != nil {
		return 0, false, err
	}
	f := u.facts()
	f.ReclaimAll = eager
	u.failed = false
	step := u.planner.Next(f)
	if step.Kind == plan.Idle {
		return step.Delay, false, nil
	}
	if err = u.do(step); err != nil {
		u.failed = true
		u.s.behind.Add(u.covered)
		u.covered = 0
		u.abandon()
	}
	u.errMu.Lock()
	u.err = err
	u.errMu.Unlock()
	return step.Delay, true, err
}

func (u *upkeep) facts() plan.State {
	s := u.s
	f := plan.State{Now: u.now(), LogBytesSinceCheckpoint: s.behind.Load(), Space: s.space(), LastStepFailed: u.failed, ReserveMissing: !s.reserved.Load()}
	if at := s.unsynced.Load(); at != 0 {
		f.HasUnsynced, f.UnsyncedSince = true, time.Duration(at)
	}
	switch {
	case u.ckp != nil:
		f.Task = plan.Checkpointing
	case u.comp != nil:
		f.Task = plan.Compacting
	}
	s.manMu.Lock()
	f.OlderCheckpointSeq, f.OlderCheckpointSegment = s.man.ckps[0].seq, s.man.ckps[0].segment
	s.manMu.Unlock()
	s.mu.RLock()
	defer s.mu.RUnlock()
	f.Seq, f.OldestSnapshotSeq = s.seq, s.seq
	for p := range s.snaps {
		f.OldestSnapshotSeq = min(f.OldestSnapshotSeq, p.seq)
	}
	for _, g := range s.idx.segs {
		f.Segments = append(f.Segments, plan.Segment{Number: g.number, Bytes: g.size, LiveBytes: g.live, LiveValues: g.refs,
			EmptiedSeq: g.deadSince, Sealed: g.sealed, Unreadable: g.unreadable})
	}
	slices.SortFunc(f.Segments, func(a, b plan.Segment) int { return int(int64(a.Number) - int64(b.Number)) })
	return f
}

func (u *upkeep) do(step plan.Step) error {
	s := u.s
	switch step.Kind {
	case plan.Flush:
		return s.Sync()
	case plan.DropSegment:
		return s.drop(step.Segment)
	case plan.SealSegment:
		return s.inCommitter(s.roll)
	case plan.RestoreReserve:
		return s.restoreReserve()
	case plan.BeginCheckpoint:
		return u.beginCheckpoint()
	case plan.BeginCompaction:
		s.mu.RLock()
		u.comp = &compaction{seg: s.idx.segs[step.Segment], at: headerLen}
		s.mu.RUnlock()
		return nil
	case plan.ContinueTask:
		if u.ckp != nil {
			return u.goOnCheckpoint(step.BudgetBytes)
		}
		spent, done, err := s.compact(u.comp, step.BudgetBytes)
		u.planner.Charge(spent)
		if done {
			u.comp = nil
			s.stats.compactions.Add(1)
		}
		return err
	}
	return fmt.Errorf("durable: upkeep knows no step %v", step.Kind)
}

// drop removes a segment that nothing needs.
func (s *Store) drop(number uint32) error {
	s.mu.Lock()
	seg := s.idx.segs[number]
	if seg == nil || seg.refs > 0 || !seg.sealed {
		s.mu.Unlock()
		return nil
	}
	delete(s.idx.segs, number)
	s.mu.Unlock()
	seg.file.Close()
	if err := s.fs.Remove(logName(number)); err != nil {
		return err
	}
	s.used.Add(-seg.size)
	s.stats.dropped.Add(1)
	return nil
}

// restoreReserve sets aside what lets deletes work when the disk is full.
func (s *Store) restoreReserve() error {
	err := writeFile(s.fs, reserveName, make([]byte, s.o.ReserveBytes))
	if err != nil {
		s.fs.Remove(reserveName)
		return err
	}
	s.used.Add(int64(s.o.ReserveBytes))
	s.reserved.Store(true)
	s.released.Store(false)
	return nil
}

// beginCheckpoint takes the state between two groups, with all of it on disk.
func (u *upkeep) beginCheckpoint() error {
	s := u.s
	var head ckpHeader
	var w *ckpWriter
	err := s.inCommitter(func() error {
		if err := s.syncLog(); err != nil {
			return err
		}
		head = ckpHeader{s.storeID, u.ckpNext, s.log.at}
		s.mu.Lock()
		tree := s.idx.tree.Copy()
		s.mu.Unlock()
		w = &ckpWriter{head: head, iter: tree.Iter()}
		u.covered = s.behind.Swap(0)
		return nil
	})
	if err != nil {
		return err
	}
	u.ckpNext++
	if err := w.begin(s.fs); err != nil {
		s.fs.Remove(ckpName(head.number))
		return u.ckpFailed(err)
	}
	u.ckp = w
	s.used.Add(w.size)
	return nil
}

// ckpFailed turns the store read-only unless the disk is merely full.
func (u *upkeep) ckpFailed(err error) error {
	if isFull(err) && !errors.As(err, &syncError{}) {
		u.s.release()
		return fmt.Errorf("checkpoint: %w", err)
	}
	return u.s.fail(fmt.Errorf("checkpoint: %w", err))
}

func (u *upkeep) goOnCheckpoint(budget int64) error {
	s, w := u.s, u.ckp
	from := w.size
	done, err := w.step(budget)
	u.planner.Charge(w.size - from)
	s.used.Add(w.size - from)
	if err != nil {
		return u.ckpFailed(err)
	}
	if !done {
		return nil
	}
	w.file.Close()
	u.ckp = nil
	if err := s.fs.SyncDir(); err != nil {
		return u.ckpFailed(syncError{err})
	}
	// Only one that was read back whole takes the place of the one before the last.
	ref := ckpRef{w.head.number, w.head.at.seq, w.size, w.head.at.segment}
	if _, err := readCheckpoint(s.fs, ref, s.storeID, func(entry) {}); err != nil {
		if s.fs.Remove(ckpName(ref.number)) == nil {
			s.used.Add(-w.size)
		}
		return fmt.Errorf("checkpoint was not taken: %w", err)
	}
	u.planner.Charge(w.size)
	var old ckpRef
	if err := s.writeManifest(func(m *manifest) {
		old = m.ckps[0]
		m.ckps = [keptCkps]ckpRef{m.ckps[1], ref}
		if m.ckps[0].number != 0 {
			m.first = 0 // from now on the log may lose its beginning
		}
	}); err != nil {
		if s.ReadOnlyError() == nil && s.fs.Remove(ckpName(ref.number)) == nil {
			s.used.Add(-w.size)
		}
		return err
	}
	s.ckpBytes.Store(w.size)
	u.covered = 0
	s.stats.checkpoints.Add(1)
	if old.number != 0 {
		if err := s.fs.Remove(ckpName(old.number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		s.used.Add(-old.size)
	}
	return nil
}
