package durable

import "fmt"

// maxMoveBatchBytes is the length at which a batch of moves is written.
const maxMoveBatchBytes = 128 << 10

// compaction moves the live values of a sealed segment to the end of the log.
type compaction struct {
	segment *segment
	offset  int64  // of the next batch
	payload []byte // of the last batch that was read; reused for the next
}

// loggedBatch is a batch as it was read from the log. The payload is valid until the
// next one is read.
type loggedBatch struct {
	header  batchHeader
	payload []byte
}

// size is the length in the log, in bytes.
func (b *loggedBatch) size() int64 { return batchHeaderLen + int64(len(b.payload)) }

// moveWriter collects moves and writes them in batches.
type moveWriter struct {
	store   *Store
	batch   Batch
	written int64 // bytes
}

// flush writes the collected moves, buffered.
func (w *moveWriter) flush() error {
	if w.batch.Len() == 0 {
		return nil
	}
	result := make(chan error, 1)
	w.store.submit(&request{
		batch:       &w.batch,
		level:       Buffered,
		maintenance: true,
		done:        func(_ uint64, err error) { result <- err },
	})
	err := <-result
	n := int64(w.batch.Bytes())
	w.written += n
	w.store.stats.movedBytes.Add(n)
	w.batch.Reset()
	return err
}

// compactSegment reads and writes about budget bytes. It returns the bytes that it
// read and wrote, and whether the segment is done with. A key
// that is written meanwhile is left alone: a move takes effect only for the version
// that it was made from.
func (s *Store) compactSegment(c *compaction, budget int64) (spent int64, done bool, err error) {
	moves := &moveWriter{store: s}
	read := int64(0)
	for read+moves.written < budget {
		liveValues, size := s.segmentState(c.segment)
		if liveValues == 0 && moves.batch.Len() == 0 || c.offset >= size {
			err := moves.flush()
			if err == nil && liveValues > 0 {
				s.markUnreadable(c.segment)
			}
			return read + moves.written, true, err
		}
		batch, ok, err := c.readBatch(size)
		if err != nil {
			return read + moves.written, true, err
		}
		if !ok {
			c.offset = size // recovery truncated the log here, or repair did
			continue
		}
		read += batch.size()
		if err := s.moveLive(c, moves, &batch); err != nil {
			return read + moves.written, true, err
		}
		c.offset += batch.size()
	}
	err = moves.flush()
	return read + moves.written, false, err
}

// segmentState returns the number of values that the index refers to in a segment, and
// its length in bytes.
func (s *Store) segmentState(segment *segment) (liveValues, size int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return segment.liveValues, segment.size
}

// markUnreadable marks a segment that still has live values after its last batch
// was moved: they lie where no batch can be read.
func (s *Store) markUnreadable(segment *segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	segment.unreadable = segment.liveValues > 0
}

// moveLive adds a move for each operation of a batch that the index refers to.
func (s *Store) moveLive(c *compaction, moves *moveWriter, batch *loggedBatch) error {
	return forEachOp(batch.payload, batch.header.opCount, func(o op) error {
		if !o.kind.storesValue() {
			return nil
		}
		s.mu.RLock()
		e, found := s.index.tree.Get(searchKey(string(o.key)))
		s.mu.RUnlock()
		if !found || !e.inSegment(c.segment.number, c.offset+batchHeaderLen+int64(o.offset)) {
			return nil
		}
		moves.batch.move(o, e.version)
		if len(moves.batch.payload) >= maxMoveBatchBytes {
			return moves.flush()
		}
		return nil
	})
}

// readBatch reads the batch at the offset. It is not ok if no complete batch is there,
// before the segment's length in bytes.
func (c *compaction) readBatch(size int64) (batch loggedBatch, ok bool, err error) {
	if size-c.offset < batchHeaderLen {
		return batch, false, nil
	}
	var encoded [batchHeaderLen]byte
	if err := readFull(c.segment.file, encoded[:], c.offset); err != nil {
		return batch, false, fmt.Errorf("compaction: %s: %w", segmentName(c.segment.number), err)
	}
	h, ok := parseBatchHeader(encoded[:], c.segment.salt)
	if !ok || int64(h.payloadLen) > size-c.offset-batchHeaderLen {
		return batch, false, nil
	}
	if cap(c.payload) < int(h.payloadLen) {
		c.payload = make([]byte, h.payloadLen)
	}
	payload := c.payload[:h.payloadLen]
	if err := readFull(c.segment.file, payload, c.offset+batchHeaderLen); err != nil {
		return batch, false, fmt.Errorf("compaction: %s: %w", segmentName(c.segment.number), err)
	}
	return loggedBatch{h, payload}, h.matches(payload, c.segment.salt), nil
}
