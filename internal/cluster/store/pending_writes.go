package store

import (
	"fmt"
	"sync"

	"oxbowbridge/internal/cluster/kv"
)

// MaxTotalValueBytes bounds the total size of all values in the store. The leader enforces it when it
// proposes an entry; the state machine applies every entry in the log regardless of it.
const MaxTotalValueBytes = 32 << 20

// Limits of the writes that a leader has proposed and that are not applied yet.
const (
	maxPendingWrites = 512
	maxPendingBytes  = 8 << 20 // total size of the values in these writes
)

// pendingWrites counts the entries that this node has proposed as leader and that are not applied yet.
type pendingWrites struct {
	mu    sync.Mutex
	count int
	bytes int
}

// reserve admits a write that adds size bytes to a state of stored bytes. Its error is ErrTooManyWrites or
// kv.ErrFull.
func (w *pendingWrites) reserve(size, stored int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.count >= maxPendingWrites || w.bytes+size > maxPendingBytes:
		return fmt.Errorf("%w: %d of %d bytes", ErrTooManyWrites, w.count, w.bytes)
	case size > 0 && stored+w.bytes+size > MaxTotalValueBytes:
		return fmt.Errorf("%w: %d bytes, at most %d", kv.ErrFull, stored, MaxTotalValueBytes)
	}
	w.count++
	w.bytes += size
	return nil
}

// release removes a write that reserve admitted.
func (w *pendingWrites) release(size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
	w.bytes -= size
}

// addedBytes returns the maximum number of value bytes that a request adds to the state.
func addedBytes(r *kv.Request) int {
	return max(valueBytesOf(r.Then), valueBytesOf(r.Else))
}

func valueBytesOf(ops []kv.Op) (size int) {
	for _, op := range ops {
		size += len(op.Value)
	}
	return size
}
