package durable

import (
	"fmt"

	"github.com/tidwall/btree"
)

// Snapshot is the store as one batch left it, whatever is written meanwhile. It
// holds on to the segments that it may read; close it soon.
type Snapshot struct {
	s      *Store
	seq    uint64
	tree   *btree.BTreeG[entry]
	closed bool // under s.mu
}

// Snapshot takes one. It costs the same for any number of keys.
func (s *Store) Snapshot() (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.snaps == nil:
		return nil, ErrClosed
	case len(s.snaps) >= s.o.MaxSnapshots:
		return nil, ErrTooManySnapshots
	}
	snap := &Snapshot{s: s, seq: s.seq, tree: s.idx.tree.Copy()}
	s.snaps[snap] = struct{}{}
	return snap, nil
}

// Seq is the number of the last batch that it has.
func (p *Snapshot) Seq() uint64 { return p.seq }

// Close lets go of it. Closing it again does nothing.
func (p *Snapshot) Close() {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.closed = true
	delete(p.s.snaps, p)
}

// Get gives the value of a key at a time.
func (p *Snapshot) Get(key []byte, now int64) ([]byte, error) {
	p.s.mu.RLock()
	if p.closed {
		p.s.mu.RUnlock()
		return nil, ErrClosed
	}
	e, seg, err := find(p.tree, p.s.idx.segs, string(key), now)
	p.s.mu.RUnlock()
	if err != nil || seg == nil {
		return []byte(e.value()), err
	}
	return seg.read(&e)
}

// Item is one key of a scan.
type Item struct {
	Key     string
	Version uint64 // the batch that put it
	Expiry  int64  // 0 is never
	Lost    bool   // a repair found the value missing
	value   func() ([]byte, error)
}

// Value reads the value, from disk if it must. It works until the scan goes on.
func (i *Item) Value() ([]byte, error) { return i.value() }

// Scan gives the keys from one up to, but without, another, in their order; no end
// (nil) means all that follow. It ends when each returns false.
func (p *Snapshot) Scan(from, to []byte, now int64, each func(Item) bool) error {
	var err error
	scan(p.tree, string(from), string(to), now, func(e entry) bool {
		p.s.mu.RLock()
		closed, seg := p.closed, p.s.idx.segs[e.segment]
		p.s.mu.RUnlock()
		if closed {
			err = ErrClosed
			return false
		}
		return each(itemOf(e, seg))
	})
	return err
}

func itemOf(e entry, seg *segment) Item {
	return Item{Key: e.key(), Version: e.version, Expiry: e.expiry, Lost: e.place == lost, value: func() ([]byte, error) { return valueOf(&e, seg) }}
}

func valueOf(e *entry, seg *segment) ([]byte, error) {
	switch {
	case e.place == inline:
		return []byte(e.value()), nil
	case e.place == lost:
		return nil, fmt.Errorf("%w: value of %q was lost", ErrDamaged, e.key())
	case seg == nil:
		return nil, fmt.Errorf("%w: value of %q: %s is missing", ErrDamaged, e.key(), logName(e.segment))
	}
	return seg.read(e)
}

func scan(tree *btree.BTreeG[entry], from, to string, now int64, each func(entry) bool) {
	tree.Ascend(lookup(from), func(e entry) bool {
		switch {
		case to != "" && e.key() >= to:
			return false
		case e.gone(now):
			return true
		}
		return each(e)
	})
}

func (e *entry) gone(now int64) bool { return e.expiry > 0 && e.expiry <= now }

// find looks a key up. A segment is given if the value must be read from it.
func find(tree *btree.BTreeG[entry], segs map[uint32]*segment, key string, now int64) (entry, *segment, error) {
	if len(key) == 0 || len(key) > 1<<16-1 {
		return entry{}, nil, ErrNotFound
	}
	e, ok := tree.Get(lookup(key))
	if !ok || e.gone(now) {
		return entry{}, nil, ErrNotFound
	}
	if e.place == inline {
		return e, nil, nil
	}
	if seg := segs[e.segment]; e.place == onDisk && seg != nil {
		return e, seg, nil
	}
	_, err := valueOf(&e, nil)
	return entry{version: e.version}, nil, err
}

// Expire deletes keys that have expired at a time, at most so many, and tells how
// many. Those that are written anew meanwhile stay.
func (s *Store) Expire(now int64, most int) (int, error) {
	var b Batch
	s.mu.RLock()
	s.idx.dues.Scan(func(d due) bool {
		if d.at > now || b.Len() >= most || b.Bytes() > s.o.MaxGroupBytes {
			return false
		}
		if e, ok := s.idx.tree.Get(lookup(d.key)); ok {
			b.expire(d.key, e.version)
		}
		return true
	})
	s.mu.RUnlock()
	if b.Len() == 0 {
		return 0, nil
	}
	_, err := s.Apply(&b, Buffered)
	return b.Len(), err
}
