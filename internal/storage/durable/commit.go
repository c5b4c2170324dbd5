package durable

import "fmt"

// maxSegmentBytes bounds the length of a segment: the index stores offsets in 32 bits.
const maxSegmentBytes = 2 << 30

// groupBufferFactor is the multiple of MaxGroupBytes above which the committer's
// buffer is freed after a group.
const groupBufferFactor = 4

// logTail is the end of the log, to which the committer appends.
type logTail struct {
	segment           *segment
	end               position
	buffer            []byte // encoded batches of the current group
	hasUnsyncedWrites bool   // a write followed the last sync
}

// runCommitter commits queued requests in groups until the queue is closed. A group
// needs at most one sync.
func (s *Store) runCommitter() {
	defer close(s.committerDone)
	var group []*request
	for first := range s.requests {
		group = s.collectGroup(group[:0], first)
		s.commitGroup(group)
	}
}

// collectGroup dequeues batches until the queue is empty or the group has at least
// MaxGroupBytes. If a request has a function, collectGroup commits the batches before it
// and then runs the function.
func (s *Store) collectGroup(group []*request, first *request) []*request {
	groupBytes := 0
	for r := first; r != nil; r = s.nextQueued() {
		if r.run != nil {
			s.commitGroup(group)
			group, groupBytes = group[:0], 0
			r.done(0, r.run())
			continue
		}
		group = append(group, r)
		groupBytes += r.batch.Bytes()
		if groupBytes >= s.options.MaxGroupBytes {
			break
		}
	}
	return group
}

// nextQueued returns the next request, or nil if the queue is empty.
func (s *Store) nextQueued() *request {
	select {
	case r := <-s.requests:
		return r
	default:
		return nil
	}
}

// commitGroup writes, syncs and applies a group, and reports the result of each
// request.
func (s *Store) commitGroup(group []*request) {
	group = s.admitGroup(group)
	if len(group) == 0 {
		return
	}
	if err := s.prepareSegment(); err != nil {
		failGroup(group, err)
		return
	}
	end := s.encodeGroup(group)
	s.logTail.hasUnsyncedWrites = true
	startOffset := s.logTail.end.offset
	if _, err := s.logTail.segment.file.WriteAt(s.logTail.buffer, startOffset); err != nil {
		s.handleWriteError(group, err)
		return
	}
	written := int64(len(s.logTail.buffer))
	s.usedBytes.Add(written)
	s.logBytesSinceCheckpoint.Add(written)
	s.stats.groups.Add(1)
	s.logTail.end = end
	if hasSyncedRequest(group) {
		if err := s.syncLog(); err != nil {
			failGroup(group, err)
			return
		}
	} else {
		s.unsyncedSince.CompareAndSwap(0, max(1, int64(s.maintenance.now())))
	}
	s.publishGroup(group, startOffset)
	if cap(s.logTail.buffer) > groupBufferFactor*s.options.MaxGroupBytes {
		s.logTail.buffer = nil
	}
	s.stats.batches.Add(int64(len(group)))
	for _, r := range group {
		r.done(r.header.seq, nil)
	}
}

// prepareSegment rotates the active segment if it has reached the length at which it is
// sealed. If the disk is full, the segment grows further, up to maxSegmentBytes.
func (s *Store) prepareSegment() error {
	if s.logTail.segment.size >= s.options.Maintenance.SegmentBytes(s.liveBytes.Load()) {
		if err := s.rotateSegment(); err != nil && !isDiskFull(err) {
			return err
		}
	}
	if s.logTail.segment.size > maxSegmentBytes {
		return fmt.Errorf("%w: no room for another segment", ErrFull)
	}
	return nil
}

// publishGroup makes a written group visible to readers. The group starts at
// startOffset in the segment.
func (s *Store) publishGroup(group []*request, startOffset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	segment := s.logTail.segment
	for _, r := range group {
		payload := s.logTail.buffer[r.bufferOffset+batchHeaderLen:][:r.header.payloadLen]
		err := s.index.apply(segment.number, startOffset+int64(r.bufferOffset), r.header, payload)
		if err != nil { // impossible: this process encoded the operations
			panic("durable: " + err.Error())
		}
	}
	s.seq = s.logTail.end.seq
	segment.size = s.logTail.end.offset
	s.liveBytes.Store(s.index.liveBytes)
}

// admitGroup rejects the requests for which the limits leave no space, and returns
// the other requests.
func (s *Store) admitGroup(group []*request) []*request {
	if err := s.ReadOnlyError(); err != nil {
		failGroup(group, err)
		return nil
	}
	limits := &s.options.Maintenance
	admitted := group[:0]
	space := s.space()
	for _, r := range group {
		n := int64(r.batch.Bytes())
		if r.maintenance || limits.Admits(space, n, r.batch.hasPuts) {
			space.UsedBytes += n
			admitted = append(admitted, r)
			continue
		}
		s.stats.rejectedFull.Add(1)
		r.done(0, fmt.Errorf("%w: %d of %d bytes are used", ErrFull, space.UsedBytes, limits.MaxBytes))
	}
	return admitted
}

func failGroup(group []*request, err error) {
	for _, r := range group {
		r.done(0, err)
	}
}

func hasSyncedRequest(group []*request) bool {
	for _, r := range group {
		if r.level == Synced {
			return true
		}
	}
	return false
}

// encodeGroup fills the buffer with a group's batches, and returns the position after
// the last batch.
func (s *Store) encodeGroup(group []*request) position {
	end := s.logTail.end
	salt := s.logTail.segment.salt
	buffer := s.logTail.buffer[:0]
	for _, r := range group {
		r.bufferOffset = len(buffer)
		buffer = append(buffer, make([]byte, batchHeaderLen)...)
		buffer = append(buffer, r.batch.payload...)
		payload := buffer[r.bufferOffset+batchHeaderLen:]
		end.seq++
		setOpChecksums(payload, salt, end.seq)
		r.header = batchHeader{
			seq:              end.seq,
			syncedSeq:        s.syncedSeq,
			opCount:          r.batch.opCount,
			previousChecksum: end.chainChecksum,
		}
		end.chainChecksum = r.header.encode(buffer[r.bufferOffset:], payload, salt)
	}
	end.offset += int64(len(buffer))
	s.logTail.buffer = buffer
	return end
}

// handleWriteError reports the failure of a group's write. If the disk is full, it
// first truncates the partial write and syncs the truncation, so that a batch that was
// reported as rejected can't reappear after a crash. It then retries the batches one by
// one; deletes and batches of maintenance may use the reserve.
func (s *Store) handleWriteError(group []*request, err error) {
	if !isDiskFull(err) {
		failGroup(group, s.enterReadOnly(err))
		return
	}
	if truncateErr := s.logTail.segment.file.Truncate(s.logTail.end.offset); truncateErr != nil {
		failGroup(group, s.enterReadOnly(truncateErr))
		return
	}
	if syncErr := s.syncLog(); syncErr != nil {
		failGroup(group, syncErr)
		return
	}
	if len(group) > 1 { // single batches may fit
		for _, r := range group {
			s.commitGroup([]*request{r})
		}
		return
	}
	r := group[0]
	if (r.maintenance || !r.batch.hasPuts) && s.releaseReserve() {
		s.commitGroup(group)
		return
	}
	s.stats.rejectedFull.Add(1)
	r.done(0, fmt.Errorf("%w: %w", ErrFull, err))
}

// syncLog syncs the active segment. After a failed sync the content on disk is unknown,
// so the store becomes read-only and the sync is not retried.
func (s *Store) syncLog() error {
	if err := s.ReadOnlyError(); err != nil {
		return err
	}
	if !s.logTail.hasUnsyncedWrites {
		return nil
	}
	s.unsyncedSince.Store(0)
	s.stats.syncs.Add(1)
	if err := s.logTail.segment.file.Sync(); err != nil {
		return s.enterReadOnly(fmt.Errorf("%s: %w", segmentName(s.logTail.segment.number), syncError{err}))
	}
	s.logTail.hasUnsyncedWrites = false
	s.mu.Lock()
	s.syncedSeq = s.logTail.end.seq
	s.mu.Unlock()
	return nil
}
