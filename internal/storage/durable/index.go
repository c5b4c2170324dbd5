package durable

import (
	"github.com/tidwall/btree"
)

// valuePlace is where an entry's value is. It is stored in checkpoints.
type valuePlace uint8

const (
	valueInline valuePlace = iota // in memory, after the key
	valueOnDisk                   // in a segment
	valueLost                     // nowhere: a repair found it unreadable
)

// indexEntry is one key of the index: 48 bytes, and data.
type indexEntry struct {
	data    string // the key; after it the value, if that is inline
	version uint64 // the batch that put it
	expiry  int64  // 0 is never
	segment uint32 // where the operation that has the value is
	offset  uint32 // bytes, in the segment
	size    uint32 // bytes, of the operation
	keyLen  uint16
	place   valuePlace
}

func (e *indexEntry) key() string   { return e.data[:e.keyLen] }
func (e *indexEntry) value() string { return e.data[e.keyLen:] }

// liveBytes is the entry's part of the live data: the length of the operation on
// disk, or of key and value in memory.
func (e *indexEntry) liveBytes() int64 {
	if e.place == valueOnDisk {
		return int64(e.size)
	}
	return int64(len(e.data))
}

// expired reports whether readers at a time must not find the key.
func (e *indexEntry) expired(now int64) bool { return e.expiry > 0 && e.expiry <= now }

// inSegment reports whether the value is in the operation at an offset of a segment.
func (e *indexEntry) inSegment(segment uint32, offset int64) bool {
	return e.place == valueOnDisk && e.segment == segment && int64(e.offset) == offset
}

func lessByKey(a, b indexEntry) bool { return a.data[:a.keyLen] < b.data[:b.keyLen] }

// searchKey is an entry that compares equal to the entry of a key.
func searchKey(key string) indexEntry { return indexEntry{data: key, keyLen: uint16(len(key))} }

// expiration is a key that expires.
type expiration struct {
	expiry int64
	key    string
}

func lessByExpiry(a, b expiration) bool {
	return a.expiry < b.expiry || a.expiry == b.expiry && a.key < b.key
}

// index holds all keys, and counts what of the log they refer to. Store.mu guards
// it, but for the committer, which alone changes it and may read it without.
type index struct {
	tree           *btree.BTreeG[indexEntry]
	expirations    *btree.BTreeG[expiration]
	segments       map[uint32]*segment
	maxInlineBytes int   // values up to this length are held in memory
	liveBytes      int64 // of keys and values
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

// apply carries out one batch, read from or just written to a segment at the
// offset of its header. It is the only way in which the index changes, in service
// and in recovery alike.
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

// findVersion finds the operation's key, if it still has the operation's version.
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
	x.account(&e, 1, seq)
	if replaced {
		x.account(&old, -1, seq)
	}
}

func (x *index) delete(seq uint64, e indexEntry) {
	if old, ok := x.tree.Delete(e); ok {
		x.account(&old, -1, seq)
	}
}

// deleteRange deletes the keys in [from, to); an empty end means all that follow.
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

// account updates the counts as an entry is added (sign 1) or removed (-1).
func (x *index) account(e *indexEntry, sign int64, seq uint64) {
	x.liveBytes += sign * e.liveBytes()
	x.accountExpiry(e, sign)
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

// accountExpiry keeps the expirations in step with the tree. A put accounts the
// new entry before the old one, which may have the same expiry.
func (x *index) accountExpiry(e *indexEntry, sign int64) {
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

// loadSorted adds an entry of a checkpoint; entries come in the order of keys.
func (x *index) loadSorted(e indexEntry) {
	x.tree.Load(e)
	x.account(&e, 1, 0)
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
		x.account(&marked, 1, seq)
		x.account(&old, -1, seq)
	}
}
