package durable

import "github.com/tidwall/btree"

// Snapshot is a consistent read view of the store after one batch, unaffected by later
// writes. It is held in memory and writes no file. Segments that it may read are not
// removed until it is closed, so close it soon.
type Snapshot struct {
	store  *Store
	seq    uint64
	tree   *btree.BTreeG[indexEntry]
	closed bool // guarded by store.mu
}

// Snapshot takes a snapshot in constant time.
func (s *Store) Snapshot() (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.snapshots == nil:
		return nil, ErrClosed
	case len(s.snapshots) >= s.options.MaxSnapshots:
		return nil, ErrTooManySnapshots
	}
	snapshot := &Snapshot{store: s, seq: s.seq, tree: s.index.tree.Copy()}
	s.snapshots[snapshot] = struct{}{}
	return snapshot, nil
}

// Seq returns the sequence number of the last batch in the snapshot.
func (p *Snapshot) Seq() uint64 { return p.seq }

// Close releases the snapshot. Closing it again does nothing.
func (p *Snapshot) Close() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.closed = true
	delete(p.store.snapshots, p)
}

// Get returns the value of a key, or ErrNotFound if the key does not exist or has
// expired at now.
func (p *Snapshot) Get(key []byte, now int64) ([]byte, error) {
	p.store.mu.RLock()
	if p.closed {
		p.store.mu.RUnlock()
		return nil, ErrClosed
	}
	e, segment, err := lookUp(p.tree, p.store.index.segments, string(key), now)
	p.store.mu.RUnlock()
	if err != nil || segment == nil {
		return []byte(e.value()), err
	}
	return segment.readValue(&e)
}

// Scan visits the keys in [from, to) that have not expired at now, in ascending order.
// If to is nil, the range has no upper bound. Scan stops when visit returns false.
func (p *Snapshot) Scan(from, to []byte, now int64, visit func(Item) bool) error {
	var err error
	scanTree(p.tree, string(from), string(to), now, func(e indexEntry) bool {
		p.store.mu.RLock()
		closed, segment := p.closed, p.store.index.segments[e.segment]
		p.store.mu.RUnlock()
		if closed {
			err = ErrClosed
			return false
		}
		return visit(newItem(e, segment))
	})
	return err
}
