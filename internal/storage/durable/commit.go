package durable

import (
	"errors"
	"fmt"
	"syscall"
)

// Level is what Apply waits for.
type Level int

const (
	// Synced: the batch is on disk when Apply returns.
	Synced Level = iota
	// Buffered: the batch is written, and seen by readers, but a crash of the machine
	// may lose it until a later sync (plan.Limits.FlushAfter at the latest). A crash
	// of the process alone loses nothing.
	Buffered
)

// request is one batch, or one thing to do, that waits for the committer.
type request struct {
	batch  *Batch
	level  Level
	upkeep bool         // of the store itself: may use the last byte
	do     func() error // in place of a batch
	then   func(seq uint64, err error)
	frame  frame // as it was written
	at     int   // in the group's buffer
}

// logEnd is where the committer writes.
type logEnd struct {
	seg   *segment
	at    position
	buf   []byte
	dirty bool // something was written since the last sync
}

// Apply writes a batch, and returns its sequence number once it holds what level
// says. An error that matches ErrReadOnly leaves open whether the batch will be
// there when the store is next opened; with any other it is not there.
func (s *Store) Apply(b *Batch, level Level) (uint64, error) {
	type result struct {
		seq uint64
		err error
	}
	c := make(chan result, 1)
	s.Submit(b, level, func(seq uint64, err error) { c <- result{seq, err} })
	r := <-c
	return r.seq, r.err
}

// Submit is Apply for callers who don't wait: then is called once, mostly by the
// committer, which it must not hold up. The batch must be left alone until then. It
// blocks while the queue is full.
func (s *Store) Submit(b *Batch, level Level, then func(seq uint64, err error)) {
	if err := b.check(&s.o); err != nil {
		then(0, err)
		return
	}
	s.submit(&request{batch: b, level: level, then: then})
}

func (s *Store) submit(r *request) {
	s.gate.RLock()
	defer s.gate.RUnlock()
	if s.closed && !r.upkeep {
		r.then(0, ErrClosed)
		return
	}
	s.queue <- r
}

// Put is Apply of one key, synced.
func (s *Store) Put(key, value []byte) error {
	var b Batch
	b.Put(key, value, 0)
	_, err := s.Apply(&b, Synced)
	return err
}

// Delete is Apply of one delete, synced.
func (s *Store) Delete(key []byte) error {
	var b Batch
	b.Delete(key)
	_, err := s.Apply(&b, Synced)
	return err
}

// Sync returns when all that was buffered is on disk.
func (s *Store) Sync() error { return s.inCommitter(s.syncLog) }

// inCommitter has the committer do something between two groups.
func (s *Store) inCommitter(do func() error) error {
	c := make(chan error, 1)
	s.submit(&request{do: do, then: func(_ uint64, err error) { c <- err }})
	return <-c
}

// commit is the committer: it takes what waits, as one group with one sync.
func (s *Store) commit() {
	defer close(s.done)
	var group []*request
	for r := range s.queue {
		group = group[:0]
		for bytes, more := 0, true; more; {
			if r.do != nil {
				s.write(group)
				group = group[:0]
				r.then(0, r.do())
			} else {
				group = append(group, r)
				bytes += r.batch.Bytes()
			}
			if more = bytes < s.o.MaxGroupBytes; !more {
				break
			}
			select {
			case next, open := <-s.queue:
				if more = open; open {
					r = next
				}
			default:
				more = false
			}
		}
		s.write(group)
	}
}

// write writes, syncs and applies a group, and answers it.
func (s *Store) write(group []*request) {
	group = s.admitted(group)
	if len(group) == 0 {
		return
	}
	if s.log.seg.size >= s.o.Maintenance.SegmentBytes(s.live.Load()) {
		if err := s.roll(); err != nil && !isFull(err) {
			refuse(group, err)
			return
		}
	}
	if s.log.seg.size > maxSegment {
		refuse(group, fmt.Errorf("%w: no room for another segment", ErrFull))
		return
	}
	end := s.encode(group)
	s.log.dirty = true
	if _, err := s.log.seg.file.WriteAt(s.log.buf, s.log.at.offset); err != nil {
		s.noRoom(group, err)
		return
	}
	s.used.Add(int64(len(s.log.buf)))
	s.behind.Add(int64(len(s.log.buf)))
	s.stats.groups.Add(1)
	begin := s.log.at.offset
	s.log.at = end
	var err error
	if anySynced(group) {
		err = s.syncLog()
	} else {
		s.unsynced.CompareAndSwap(0, max(1, int64(s.upkeep.now())))
	}
	if err != nil {
		refuse(group, err)
		return
	}
	s.mu.Lock()
	for _, r := range group {
		payload := s.log.buf[r.at+frameLen:][:r.frame.length]
		err := s.idx.apply(s.log.seg.number, begin+int64(r.at), r.frame, payload)
		if err != nil { // its operations were encoded just now
			panic("durable: " + err.Error())
		}
	}
	s.seq, s.log.seg.size = end.seq, end.offset
	s.live.Store(s.idx.live)
	s.mu.Unlock()
	if cap(s.log.buf) > 4*s.o.MaxGroupBytes {
		s.log.buf = nil // one long batch must not hold its memory for good
	}
	s.stats.batches.Add(int64(len(group)))
	for _, r := range group {
		r.then(r.frame.seq, nil)
	}
}

const maxSegment = 2 << 30 // bytes; offsets have 32 bits

// admitted answers those that there is no room for, and gives the others.
func (s *Store) admitted(group []*request) []*request {
	if err := s.ReadOnlyError(); err != nil {
		refuse(group, err)
		return nil
	}
	kept, space := group[:0], s.space()
	for _, r := range group {
		if n := int64(r.batch.Bytes()); r.upkeep || s.o.Maintenance.Admits(space, n, r.batch.grows) {
			space.UsedBytes += n
			kept = append(kept, r)
			continue
		}
		s.stats.full.Add(1)
		r.then(0, fmt.Errorf("%w: %d of %d bytes are used", ErrFull, space.UsedBytes, s.o.Maintenance.MaxBytes))
	}
	return kept
}

func refuse(group []*request, err error) {
	for _, r := range group {
		r.then(0, err)
	}
}

func anySynced(group []*request) bool {
	for _, r := range group {
		if r.level == Synced {
			return true
		}
	}
	return false
}

// encode fills the buffer with a group's batches, and gives the position behind them.
func (s *Store) encode(group []*request) position {
	end, salt := s.log.at, s.log.seg.salt
	synced := s.durable // only the committer changes it
	buf := s.log.buf[:0]
	for _, r := range group {
		r.at = len(buf)
		buf = append(append(buf, make([]byte, frameLen)...), r.batch.buf...)
		payload := buf[r.at+frameLen:]
		end.seq++
		sealOps(payload, salt, end.seq)
		r.frame = frame{seq: end.seq, synced: synced, ops: r.batch.ops, prev: end.chain}
		end.chain = r.frame.put(buf[r.at:], payload, salt)
	}
	end.offset += int64(len(buf))
	s.log.buf = buf
	return end
}

// noRoom deals with a write that failed. What of it reached the file is taken back,
// and that is synced, before anybody is told that it is not there.
func (s *Store) noRoom(group []*request, err error) {
	if !isFull(err) {
		refuse(group, s.fail(err))
		return
	}
	seg := s.log.seg
	if terr := seg.file.Truncate(s.log.at.offset); terr != nil {
		refuse(group, s.fail(terr))
		return
	}
	if serr := s.syncLog(); serr != nil {
		refuse(group, serr)
		return
	}
	if len(group) > 1 { // some of them may fit
		for _, r := range group {
			s.write([]*request{r})
		}
		return
	}
	r := group[0]
	if (r.upkeep || !r.batch.grows) && s.release() {
		s.write(group)
		return
	}
	s.stats.full.Add(1)
	r.then(0, fmt.Errorf("%w: %w", ErrFull, err))
}

// syncLog puts all that was written on disk. After a failure nothing tells what is
// there, so it is never tried again.
func (s *Store) syncLog() error {
	if err := s.ReadOnlyError(); err != nil {
		return err
	}
	if !s.log.dirty {
		return nil
	}
	s.unsynced.Store(0)
	s.stats.syncs.Add(1)
	if err := s.log.seg.file.Sync(); err != nil {
		return s.fail(fmt.Errorf("%s: %w", logName(s.log.seg.number), syncError{err}))
	}
	s.log.dirty = false
	s.mu.Lock()
	s.durable = s.log.at.seq
	s.mu.Unlock()
	return nil
}

// roll seals the segment and goes on in a new one. The manifest knows of it before
// it holds a batch, so that a lost segment is noticed.
func (s *Store) roll() error {
	if err := s.syncLog(); err != nil {
		return err
	}
	old, at := s.log.seg, s.log.at
	h := segHeader{store: s.storeID, number: old.number + 1, prevSize: at.offset, prevSeq: at.seq, prevChain: at.chain}
	name := logName(h.number)
	err := writeFile(s.fs, name, h.encode())
	if err == nil {
		err = s.fs.SyncDir()
	}
	if isFull(err) && !errors.As(err, &syncError{}) {
		s.fs.Remove(name)
		return err
	}
	if err != nil {
		return s.fail(err)
	}
	if err := s.writeManifest(func(m *manifest) { m.active = h.number }); err != nil {
		if isFull(err) {
			s.fs.Remove(name)
		}
		return err
	}
	f, err := s.fs.Open(name)
	if err != nil {
		return s.fail(err)
	}
	seg := &segment{number: h.number, file: f, size: headerLen, salt: saltOf(h.store, 'l', h.number), deadSince: at.seq}
	s.mu.Lock()
	old.sealed = true
	if old.refs == 0 {
		old.deadSince = max(old.deadSince, at.seq)
	}
	s.idx.segs[seg.number] = seg
	s.mu.Unlock()
	s.log.seg, s.log.at = seg, position{seg.number, headerLen, at.seq, h.sum}
	s.used.Add(headerLen)
	return nil
}

func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
