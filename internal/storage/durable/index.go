package durable

import (
	"fmt"

	"github.com/tidwall/btree"

	"oxbowbridge/internal/storage/durable/vfs"
)

type place uint8

const (
	inline place = iota // the value follows the key in memory
	onDisk
	lost // repair found the value unreadable
)

// entry is one key of the index: 48 bytes, and data.
type entry struct {
	data    string // the key; after it the value, if that is inline
	version uint64 // the batch that put it
	expiry  int64
	segment uint32 // where the operation that has the value is
	offset  uint32
	size    uint32
	klen    uint16
	place   place
}

func (e *entry) key() string   { return e.data[:e.klen] }
func (e *entry) value() string { return e.data[e.klen:] }

// bytes is what the entry counts as live data.
func (e *entry) bytes() int64 {
	if e.place == onDisk {
		return int64(e.size)
	}
	return int64(len(e.data))
}

func byKey(a, b entry) bool { return a.data[:a.klen] < b.data[:b.klen] }

func lookup(key string) entry { return entry{data: key, klen: uint16(len(key))} }

// due is a key that expires.
type due struct {
	at  int64
	key string
}

func byTime(a, b due) bool { return a.at < b.at || a.at == b.at && a.key < b.key }

// segment is one file of the log.
type segment struct {
	number     uint32
	file       vfs.File
	size       int64 // up to the end of the last good batch
	salt       uint32
	live       int64
	refs       int64
	deadSince  uint64
	sealed     bool
	unreadable bool
}

// index is all keys, and what of the log they hold on to.
type index struct {
	tree   *btree.BTreeG[entry]
	dues   *btree.BTreeG[due]
	segs   map[uint32]*segment
	inline int   // values up to this length are held in memory
	live   int64 // bytes
	onDisk int64 // keys whose value is on disk
	lost   int64 // keys whose value is
}

func newIndex(inlineBytes int) *index {
	o := btree.Options{NoLocks: true, Degree: 32}
	return &index{tree: btree.NewBTreeGOptions(byKey, o), dues: btree.NewBTreeGOptions(byTime, o),
		segs: map[uint32]*segment{}, inline: inlineBytes}
}

// apply carries out one batch, read from or just written to a segment at the offset
// of its frame. It is the only way in which the index changes, in service and in
// recovery alike.
func (x *index) apply(seg uint32, offset int64, f frame, payload []byte) error {
	return eachOp(payload, f.ops, func(o op) error {
		switch o.kind {
		case opPut:
			x.put(f.seq, f.seq, seg, offset, o)
		case opMove:
			if e, ok := x.tree.Get(lookup(string(o.key))); ok && e.version == o.version {
				x.put(f.seq, o.version, seg, offset, o)
			}
		case opDelete:
			x.delete(f.seq, lookup(string(o.key)))
		case opExpire:
			if e, ok := x.tree.Get(lookup(string(o.key))); ok && e.version == o.version {
				x.delete(f.seq, e)
			}
		case opDeleteRange:
			x.deleteRange(f.seq, string(o.key), string(o.value))
		}
		return nil
	})
}

func (x *index) put(seq, version uint64, seg uint32, offset int64, o op) {
	e := entry{version: version, expiry: o.expiry, klen: uint16(len(o.key)), place: onDisk}
	if len(o.value) <= x.inline {
		b := make([]byte, 0, len(o.key)+len(o.value))
		e.data, e.place = string(append(append(b, o.key...), o.value...)), inline
	} else {
		e.data = string(o.key)
		e.segment, e.offset, e.size = seg, uint32(offset+frameLen+int64(o.off)), uint32(o.size)
	}
	old, replaced := x.tree.Set(e)
	x.count(&e, 1, seq)
	if replaced {
		x.count(&old, -1, seq)
	}
}

func (x *index) delete(seq uint64, e entry) {
	if old, ok := x.tree.Delete(e); ok {
		x.count(&old, -1, seq)
	}
}

func (x *index) deleteRange(seq uint64, from, to string) {
	var gone []entry
	x.tree.Ascend(lookup(from), func(e entry) bool {
		if to != "" && e.key() >= to {
			return false
		}
		gone = append(gone, e)
		return true
	})
	for _, e := range gone {
		x.delete(seq, e)
	}
}

// count keeps the sums as an entry comes (1) or goes (-1).
func (x *index) count(e *entry, n int64, seq uint64) {
	x.live += n * e.bytes()
	if e.expiry > 0 {
		if n > 0 {
			x.dues.Set(due{e.expiry, e.key()})
		} else if now, ok := x.tree.Get(*e); !ok || now.expiry != e.expiry {
			x.dues.Delete(due{e.expiry, e.key()})
		}
	}
	if e.place == lost {
		x.lost += n
	}
	if e.place != onDisk {
		return
	}
	x.onDisk += n
	if s := x.segs[e.segment]; s != nil {
		s.live += n * int64(e.size)
		s.refs += n
		if s.refs == 0 {
			s.deadSince = seq
		}
	}
}

// load adds an entry of a checkpoint, in the order of keys.
func (x *index) load(e entry) {
	x.tree.Load(e)
	x.count(&e, 1, 0)
}

// lose marks entries whose value can't be read.
func (x *index) lose(seq uint64, gone []entry) {
	for _, e := range gone {
		now := e
		now.place, now.segment, now.offset, now.size = lost, 0, 0, 0
		x.tree.Set(now)
		x.count(&now, 1, seq)
		x.count(&e, -1, seq)
	}
}

// read takes an entry's value from the file and proves that it is the one.
func (s *segment) read(e *entry) ([]byte, error) {
	b := make([]byte, e.size)
	if err := readFull(s.file, b, int64(e.offset)); err != nil {
		return nil, fmt.Errorf("%w: value of %q: %s: %w", ErrDamaged, e.key(), logName(s.number), err)
	}
	o, err := parseOp(b, 0)
	if err != nil || o.size != len(b) || string(o.key) != e.key() || o.kind != opPut && o.kind != opMove {
		return nil, fmt.Errorf("%w: value of %q is not where it was put", ErrDamaged, e.key())
	}
	seq, stored := e.version, b[len(b)-sumLen:]
	if o.kind == opMove {
		if o.version != e.version {
			return nil, fmt.Errorf("%w: value of %q is an older one", ErrDamaged, e.key())
		}
		seq = 0 // a move is bound to its place by the version that it carries
	}
	if s := opSum(s.salt, seq, b); s != uint32(stored[0])|uint32(stored[1])<<8|uint32(stored[2])<<16|uint32(stored[3])<<24 {
		return nil, fmt.Errorf("%w: value of %q has a wrong checksum", ErrDamaged, e.key())
	}
	return o.value, nil
}
