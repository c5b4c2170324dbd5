package durable

import (
	"github.com/tidwall/btree"
)

// valuePlace is the location of an entry's value. Checkpoints store it.
type valuePlace uint8

const (
	valueInline valuePlace = iota // in memory, after the key
	valueOnDisk                   // in a segment
	valueLost                     // nowhere: recovery or a repair found it unreadable
)

// indexEntry is one key of the index. It takes 48 bytes in addition to data.
type indexEntry struct {
	data    string // the key, followed by an inline value
	version uint64 // sequence number of the batch that put the value
	expiry  int64  // 0 is never
	segment uint32 // number of the segment with the operation that has the value
	offset  uint32 // offset of the operation in the segment, in bytes
	size    uint32 // size of the operation in bytes
	keyLen  uint16
	place   valuePlace
}

func (e *indexEntry) key() string   { return e.data[:e.keyLen] }
func (e *indexEntry) value() string { return e.data[e.keyLen:] }

// liveBytes returns the entry's contribution to the live data: the length of the
// operation on disk, or of key and value in memory.
func (e *indexEntry) liveBytes() int64 {
	if e.place == valueOnDisk {
		return int64(e.size)
	}
	return int64(len(e.data))
}

// expired reports whether the key has expired at now.
func (e *indexEntry) expired(now int64) bool { return e.expiry > 0 && e.expiry <= now }

// inSegment reports whether the value is in the operation at that offset of the segment.
func (e *indexEntry) inSegment(segment uint32, offset int64) bool {
	return e.place == valueOnDisk && e.segment == segment && int64(e.offset) == offset
}

func lessByKey(a, b indexEntry) bool { return a.data[:a.keyLen] < b.data[:b.keyLen] }

// searchKey returns an entry that compares equal to the entry of a key.
func searchKey(key string) indexEntry { return indexEntry{data: key, keyLen: uint16(len(key))} }

// expiration is a key that expires, with its expiry.
type expiration struct {
	expiry int64
	key    string
}

func lessByExpiry(a, b expiration) bool {
	return a.expiry < b.expiry || a.expiry == b.expiry && a.key < b.key
}

// index holds all keys, and counts the live data in each segment. Only the committer
// changes it, while it holds Store.mu, so the committer may read it without the lock.
// Other readers must hold Store.mu.
type index struct {
	tree           *btree.BTreeG[indexEntry]
	expirations    *btree.BTreeG[expiration]
	segments       map[uint32]*segment
	maxInlineBytes int   // values up to this length are stored in memory
	liveBytes      int64 // sum of indexEntry.liveBytes
	valuesOnDisk   int64
	valuesLost     int64
}

// indexDegree is the degree of the B-trees.
const indexDegree = 32

func newIndex(maxInlineBytes int) *index {
	options := btree.Options{NoLocks: true, Degree: indexDegree}
	return &index{
		tree:           btree.NewBTreeGOptions(lessByKey, options),
		expirations:    btree.NewBTreeGOptions(lessByExpiry, options),
		segments:       map[uint32]*segment{},
		maxInlineBytes: maxInlineBytes,
	}
}

// apply applies one batch. The offset is the position of the batch's header in the
// segment, in bytes. Every batch changes the index through apply, whether it was
// just written or is replayed in recovery.
func (x *index) apply(segment uint32, offset int64, h batchHeader, payload []byte) error {
	return forEachOp(payload, h.opCount, func(o op) error {
		switch o.kind {
		case opPut:
			x.put(h.seq, h.seq, segment, offset, o)
		case opMove:
			if _, ok := x.findVersion(o); ok {
				x.put(h.seq, o.version, segment, offset, o)
			}
		case opDelete:
			x.delete(h.seq, searchKey(string(o.key)))
		case opExpire:
			if e, ok := x.findVersion(o); ok {
				x.delete(h.seq, e)
			}
		case opDeleteRange:
			x.deleteRange(h.seq, string(o.key), string(o.value))
		}
		return nil
	})
}

// findVersion returns the entry of the operation's key, and whether that entry has the
// operation's version.
func (x *index) findVersion(o op) (indexEntry, bool) {
	e, ok := x.tree.Get(searchKey(string(o.key)))
	return e, ok && e.version == o.version
}

func (x *index) put(seq, version uint64, segment uint32, offset int64, o op) {
	e := indexEntry{version: version, expiry: o.expiry, keyLen: uint16(len(o.key))}
	if len(o.value) <= x.maxInlineBytes {
		data := make([]byte, 0, len(o.key)+len(o.value))
		data = append(data, o.key...)
		data = append(data, o.value...)
		e.data = string(data)
		e.place = valueInline
	} else {
		e.data = string(o.key)
		e.place = valueOnDisk
		e.segment = segment
		e.offset = uint32(offset + batchHeaderLen + int64(o.offset))
		e.size = uint32(o.size)
	}
	old, replaced := x.tree.Set(e)
	x.updateCounts(&e, 1, seq)
	if replaced {
		x.updateCounts(&old, -1, seq)
	}
}

func (x *index) delete(seq uint64, e indexEntry) {
	if old, ok := x.tree.Delete(e); ok {
		x.updateCounts(&old, -1, seq)
	}
}

// deleteRange deletes the keys in [from, to). If to is empty, the range has no upper
// bound.
func (x *index) deleteRange(seq uint64, from, to string) {
	var deleted []indexEntry
	x.tree.Ascend(searchKey(from), func(e indexEntry) bool {
		if to != "" && e.key() >= to {
			return false
		}
		deleted = append(deleted, e)
		return true
	})
	for _, e := range deleted {
		x.delete(seq, e)
	}
}

// updateCounts updates the counts when an entry is added (sign 1) or removed (sign -1).
func (x *index) updateCounts(e *indexEntry, sign int64, seq uint64) {
	x.liveBytes += sign * e.liveBytes()
	x.updateExpirations(e, sign)
	if e.place == valueLost {
		x.valuesLost += sign
	}
	if e.place != valueOnDisk {
		return
	}
	x.valuesOnDisk += sign
	if s := x.segments[e.segment]; s != nil {
		s.liveBytes += sign * int64(e.size)
		s.liveValues += sign
		if s.liveValues == 0 {
			s.emptiedSeq = seq
		}
	}
}

// updateExpirations adds or removes the expiration of an entry. A put calls it for the new
// entry before the replaced one, so it must not remove an expiration that the new entry
// has as well.
func (x *index) updateExpirations(e *indexEntry, sign int64) {
	if e.expiry <= 0 {
		return
	}
	if sign > 0 {
		x.expirations.Set(expiration{e.expiry, e.key()})
		return
	}
	if current, ok := x.tree.Get(*e); !ok || current.expiry != e.expiry {
		x.expirations.Delete(expiration{e.expiry, e.key()})
	}
}

// loadSorted adds an entry of a checkpoint. Calls must be in ascending order of keys.
func (x *index) loadSorted(e indexEntry) {
	x.tree.Load(e)
	x.updateCounts(&e, 1, 0)
}

// markLost marks entries whose value can't be read.
func (x *index) markLost(seq uint64, entries []indexEntry) {
	for _, old := range entries {
		marked := old
		marked.place = valueLost
		marked.segment = 0
		marked.offset = 0
		marked.size = 0
		x.tree.Set(marked)
		x.updateCounts(&marked, 1, seq)
		x.updateCounts(&old, -1, seq)
	}
}
