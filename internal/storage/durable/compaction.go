package durable

import "fmt"

// maxMoveBatchBytes is the payload length at which a batch of moves is written.
const maxMoveBatchBytes = 128 << 10

// compaction moves the live values of a sealed segment to the end of the log.
type compaction struct {
	segment    *segment
	nextOffset int64  // offset of the next batch in the segment
	payload    []byte // payload of the last batch that was read; the buffer is reused for the next one
}

// loggedBatch is a batch read from the log. The payload is valid until the next batch
// is read.
type loggedBatch struct {
	header  batchHeader
	payload []byte
}

// size returns the length of the batch in the log, in bytes.
func (b *loggedBatch) size() int64 { return batchHeaderLen + int64(len(b.payload)) }

// moveWriter collects moves and writes them in batches.
type moveWriter struct {
	store   *Store
	batch   Batch
	written int64 // bytes
}

// flush writes the collected moves as one batch, without a sync.
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

// compactSegment moves live values until it has read and written about budget bytes.
// It returns the bytes read and written, and whether the compaction of the segment has
// ended. A concurrent write of a key takes precedence: a move has no effect unless the
// key still has the version that was read.
func (s *Store) compactSegment(c *compaction, budget int64) (spent int64, done bool, err error) {
	moves := &moveWriter{store: s}
	read := int64(0)
	for read+moves.written < budget {
		liveValues, size := s.segmentState(c.segment)
		if liveValues == 0 && moves.batch.Len() == 0 || c.nextOffset >= size {
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
			c.nextOffset = size // no valid batch follows: a recovery or repair ended the log here
			continue
		}
		read += batch.size()
		if err := s.moveLiveValues(c, moves, &batch); err != nil {
			return read + moves.written, true, err
		}
		c.nextOffset += batch.size()
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

// markUnreadable marks a segment that still has live values after compaction read all
// its batches: those values lie in a part of the segment in which no batch can be read.
func (s *Store) markUnreadable(segment *segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	segment.unreadable = segment.liveValues > 0
}

// moveLiveValues adds a move for each operation of a batch that the index refers to.
func (s *Store) moveLiveValues(c *compaction, moves *moveWriter, batch *loggedBatch) error {
	return forEachOp(batch.payload, batch.header.opCount, func(o op) error {
		if !o.kind.storesValue() {
			return nil
		}
		s.mu.RLock()
		e, found := s.index.tree.Get(searchKey(string(o.key)))
		s.mu.RUnlock()
		if !found || !e.inSegment(c.segment.number, c.nextOffset+batchHeaderLen+int64(o.offset)) {
			return nil
		}
		moves.batch.move(o, e.version)
		if len(moves.batch.payload) >= maxMoveBatchBytes {
			return moves.flush()
		}
		return nil
	})
}

// readBatch reads the batch at c.nextOffset. It returns ok false if there is no valid
// batch that ends within the segment's size in bytes.
func (c *compaction) readBatch(size int64) (batch loggedBatch, ok bool, err error) {
	if size-c.nextOffset < batchHeaderLen {
		return batch, false, nil
	}
	var encoded [batchHeaderLen]byte
	if err := readFull(c.segment.file, encoded[:], c.nextOffset); err != nil {
		return batch, false, fmt.Errorf("compaction: %s: %w", segmentName(c.segment.number), err)
	}
	h, ok := parseBatchHeader(encoded[:], c.segment.salt)
	if !ok || int64(h.payloadLen) > size-c.nextOffset-batchHeaderLen {
		return batch, false, nil
	}
	if cap(c.payload) < int(h.payloadLen) {
		c.payload = make([]byte, h.payloadLen)
	}
	payload := c.payload[:h.payloadLen]
	if err := readFull(c.segment.file, payload, c.nextOffset+batchHeaderLen); err != nil {
		return batch, false, fmt.Errorf("compaction: %s: %w", segmentName(c.segment.number), err)
	}
	return loggedBatch{h, payload}, h.matches(payload, c.segment.salt), nil
}
