package durable

import (
	"bytes"
	"fmt"
)

// Batch is a list of operations that take effect together, in their order. Its
// zero value is empty. It holds copies of what it is given.
type Batch struct {
	buf     []byte
	ops     uint32
	key     int // length of the longest key
	value   int // length of the longest value
	order   bool
	grows   bool // has puts
	empties bool // an empty key was given
}

func (b *Batch) add(o op) {
	b.buf = appendOp(b.buf, o)
	b.ops++
	b.key = max(b.key, len(o.key))
	b.empties = b.empties || len(o.key) == 0 && o.kind != opDeleteRange
}

// Put sets a key. A key with an expiry above 0 is gone for those who read at that
// time or later; the unit is the caller's.
func (b *Batch) Put(key, value []byte, expiry int64) {
	b.add(op{kind: opPut, key: key, value: value, expiry: expiry})
	b.value, b.grows = max(b.value, len(value)), true
}

// Delete removes a key, if it is there.
func (b *Batch) Delete(key []byte) { b.add(op{kind: opDelete, key: key}) }

// DeleteRange removes all keys from one up to, but without, another. No end (nil)
// means all that follow.
func (b *Batch) DeleteRange(from, to []byte) {
	b.add(op{kind: opDeleteRange, key: from, value: to})
	b.key = max(b.key, len(to))
	b.order = b.order || len(to) > 0 && bytes.Compare(from, to) > 0
}

func (b *Batch) move(o op, version uint64) {
	o.kind, o.version = opMove, version
	b.add(o)
}

func (b *Batch) expire(key string, version uint64) {
	b.add(op{kind: opExpire, key: []byte(key), version: version})
}

// Len is the number of operations.
func (b *Batch) Len() int { return int(b.ops) }

// Bytes is the length on disk.
func (b *Batch) Bytes() int { return frameLen + len(b.buf) }

// Reset empties the batch for another use, once Apply has returned.
func (b *Batch) Reset() { *b = Batch{buf: b.buf[:0]} }

func (b *Batch) check(o *Options) error {
	switch {
	case b.empties || b.key > o.MaxKeyBytes:
		return fmt.Errorf("%w: %d bytes, want 1 to %d", ErrKeyLength, b.key, o.MaxKeyBytes)
	case b.value > o.MaxValueBytes:
		return fmt.Errorf("%w: %d bytes, want at most %d", ErrValueLength, b.value, o.MaxValueBytes)
	case b.ops == 0 || b.Bytes() > o.MaxBatchBytes:
		return fmt.Errorf("%w: %d operations in %d bytes, want 1 or more in at most %d", ErrBatchLength, b.ops, b.Bytes(), o.MaxBatchBytes)
	case b.order:
		return ErrRangeOrder
	}
	return nil
}
