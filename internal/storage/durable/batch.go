package durable

import (
	"bytes"
	"fmt"
)

// Batch is an atomic list of operations, which are applied in the order in which they
// were added. The zero value is an empty batch. Keys and values are copied.
type Batch struct {
	payload          []byte
	opCount          uint32
	maxKeyLen        int // length of the longest key in bytes
	maxValueLen      int // length of the longest value in bytes
	hasReversedRange bool
	hasPuts          bool
	hasEmptyKey      bool
}

func (b *Batch) add(o op) {
	b.payload = appendOp(b.payload, o)
	b.opCount++
	b.maxKeyLen = max(b.maxKeyLen, len(o.key))
	b.hasEmptyKey = b.hasEmptyKey || len(o.key) == 0 && o.kind != opDeleteRange
}

// Put sets a key. Reads at the expiry or later don't find the key; an expiry of 0 or
// less means never. The caller chooses the unit of time.
func (b *Batch) Put(key, value []byte, expiry int64) {
	b.add(op{kind: opPut, key: key, value: value, expiry: expiry})
	b.maxValueLen = max(b.maxValueLen, len(value))
	b.hasPuts = true
}

// Delete removes a key, if it exists.
func (b *Batch) Delete(key []byte) { b.add(op{kind: opDelete, key: key}) }

// DeleteRange removes the keys in [from, to). If to is empty, the range has no upper
// bound.
func (b *Batch) DeleteRange(from, to []byte) {
	b.add(op{kind: opDeleteRange, key: from, value: to})
	b.maxKeyLen = max(b.maxKeyLen, len(to))
	b.hasReversedRange = b.hasReversedRange || len(to) > 0 && bytes.Compare(from, to) > 0
}

// move adds an operation that rewrites a live value at the end of the log.
func (b *Batch) move(o op, version uint64) {
	o.kind = opMove
	o.version = version
	b.add(o)
}

func (b *Batch) expire(key string, version uint64) {
	b.add(op{kind: opExpire, key: []byte(key), version: version})
}

// Len returns the number of operations.
func (b *Batch) Len() int { return int(b.opCount) }

// Bytes returns the encoded length on disk, in bytes.
func (b *Batch) Bytes() int { return batchHeaderLen + len(b.payload) }

// Reset empties the batch for reuse. It must not be called before Apply has returned.
func (b *Batch) Reset() { *b = Batch{payload: b.payload[:0]} }

// check fails if the batch is empty or violates the limits of the options.
func (b *Batch) check(o *Options) error {
	switch {
	case b.hasEmptyKey || b.maxKeyLen > o.MaxKeyBytes:
		return fmt.Errorf("%w: %d bytes, want 1 to %d", ErrKeyLength, b.maxKeyLen, o.MaxKeyBytes)
	case b.maxValueLen > o.MaxValueBytes:
		return fmt.Errorf("%w: %d bytes, want at most %d", ErrValueLength, b.maxValueLen, o.MaxValueBytes)
	case b.opCount == 0 || b.Bytes() > o.MaxBatchBytes:
		return fmt.Errorf("%w: %d operations in %d bytes, want 1 or more in at most %d",
			ErrBatchLength, b.opCount, b.Bytes(), o.MaxBatchBytes)
	case b.hasReversedRange:
		return ErrRangeOrder
	}
	return nil
}
