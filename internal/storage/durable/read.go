package durable

import (
	"fmt"
	"math"

	"github.com/tidwall/btree"
)

// Item is one key of a scan.
type Item struct {
	Key     string
	Version uint64 // sequence number of the batch that put the value
	Expiry  int64  // 0 is never
	Lost    bool   // the value is lost: recovery or a repair found it unreadable
	value   func() ([]byte, error)
}

// Value returns the value; a value that is not in memory is read from disk. It may be
// called until the scan visits the next key.
func (i *Item) Value() ([]byte, error) { return i.value() }

func newItem(e indexEntry, segment *segment) Item {
	return Item{
		Key:     e.key(),
		Version: e.version,
		Expiry:  e.expiry,
		Lost:    e.place == valueLost,
		value:   func() ([]byte, error) { return readValue(&e, segment) },
	}
}

// readValue returns an entry's value. The segment is the one that the entry refers to,
// or nil if that is missing.
func readValue(e *indexEntry, segment *segment) ([]byte, error) {
	switch {
	case e.place == valueInline:
		return []byte(e.value()), nil
	case e.place == valueLost:
		return nil, fmt.Errorf("%w: value of %q was lost", ErrDamaged, e.key())
	case segment == nil:
		return nil, fmt.Errorf("%w: value of %q: %s is missing", ErrDamaged, e.key(), segmentName(e.segment))
	}
	return segment.readValue(e)
}

// scanTree visits the keys in [from, to) that have not expired at now. If to is empty,
// the range has no upper bound.
func scanTree(tree *btree.BTreeG[indexEntry], from, to string, now int64, visit func(indexEntry) bool) {
	tree.Ascend(searchKey(from), func(e indexEntry) bool {
		switch {
		case to != "" && e.key() >= to:
			return false
		case e.expired(now):
			return true
		}
		return visit(e)
	})
}

// lookUp returns the entry of a key, and the segment from which the value must be read,
// or nil if the value is in memory.
func lookUp(
	tree *btree.BTreeG[indexEntry], segments map[uint32]*segment, key string, now int64,
) (indexEntry, *segment, error) {
	if len(key) == 0 || len(key) > math.MaxUint16 {
		return indexEntry{}, nil, ErrNotFound
	}
	e, ok := tree.Get(searchKey(key))
	if !ok || e.expired(now) {
		return indexEntry{}, nil, ErrNotFound
	}
	if e.place == valueInline {
		return e, nil, nil
	}
	if segment := segments[e.segment]; e.place == valueOnDisk && segment != nil {
		return e, segment, nil
	}
	_, err := readValue(&e, nil)
	return indexEntry{version: e.version}, nil, err
}
