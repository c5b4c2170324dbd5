package durable

import (
	"fmt"
)

// compaction moves what is live in a sealed segment to the end of the log.
type compaction struct {
	seg *segment
	at  int64
	buf []byte
}

const moveBytes = 128 << 10 // of one batch of moves

// compact reads on for about so many bytes, and tells how many it read and wrote. A
// key that is written meanwhile is left alone: a move counts only for the version
// that it was made from.
func (s *Store) compact(c *compaction, budget int64) (spent int64, done bool, err error) {
	var b Batch
	flush := func() error {
		if b.Len() == 0 {
			return nil
		}
		answer := make(chan error, 1)
		s.submit(&request{batch: &b, level: Buffered, upkeep: true, then: func(_ uint64, err error) { answer <- err }})
		err := <-answer
		spent += int64(b.Bytes())
		s.stats.moved.Add(int64(b.Bytes()))
		b.Reset()
		return err
	}
	for spent < budget {
		s.mu.RLock()
		refs, size := c.seg.refs, c.seg.size
		s.mu.RUnlock()
		if refs == 0 && b.Len() == 0 || c.at >= size {
			err := flush()
			if err == nil && refs > 0 {
				s.mu.Lock()
				c.seg.unreadable = c.seg.refs > 0 // held where no batch could be read
				s.mu.Unlock()
			}
			return spent, true, err
		}
		f, payload, ok, err := c.read(size)
		if err != nil {
			return spent, true, err
		}
		if !ok {
			c.at = size // recovery cut the log here, or repair did
			continue
		}
		spent += frameLen + int64(len(payload))
		if err := eachOp(payload, f.ops, func(o op) error {
			if o.kind != opPut && o.kind != opMove {
				return nil
			}
			s.mu.RLock()
			e, found := s.idx.tree.Get(lookup(string(o.key)))
			s.mu.RUnlock()
			if !found || e.place != onDisk || e.segment != c.seg.number || int64(e.offset) != c.at+frameLen+int64(o.off) {
				return nil
			}
			b.move(o, e.version)
			if len(b.buf) >= moveBytes {
				return flush()
			}
			return nil
		}); err != nil {
			return spent, true, err
		}
		c.at += frameLen + int64(len(payload))
	}
	return spent, false, flush()
}

// read gives the batch at the cursor, if it is whole.
func (c *compaction) read(size int64) (f frame, payload []byte, ok bool, err error) {
	if size-c.at < frameLen {
		return f, nil, false, nil
	}
	var head [frameLen]byte
	if err := readFull(c.seg.file, head[:], c.at); err != nil {
		return f, nil, false, fmt.Errorf("compaction: %s: %w", logName(c.seg.number), err)
	}
	f, ok = parseFrame(head[:], c.seg.salt)
	if !ok || int64(f.length) > size-c.at-frameLen {
		return f, nil, false, nil
	}
	if cap(c.buf) < int(f.length) {
		c.buf = make([]byte, f.length)
	}
	payload = c.buf[:f.length]
	if err := readFull(c.seg.file, payload, c.at+frameLen); err != nil {
		return f, nil, false, fmt.Errorf("compaction: %s: %w", logName(c.seg.number), err)
	}
	return f, payload, sum(c.seg.salt, payload) == f.body && eachOp(payload, f.ops, checkOp) == nil, nil
}
