package memquota

import (
	"cmp"
	"slices"
	"sync"
)

// reclaimDivisor determines how far below its maximum a quota is after Reclaim: at least the maximum divided by this
// number. The distance limits how often the holders have to be compared while they grow.
const reclaimDivisor = 8

// Quota is a limit on the memory that its holders use together. It is safe for concurrent use.
type Quota struct {
	maxBytes func() int

	mu      sync.Mutex
	used    int // sum of the bytes of all holders
	holders map[*Holder]struct{}
}

// New returns a Quota without holders. The function maxBytes returns the current maximum in bytes; it is called
// with the lock of the Quota held.
func New(maxBytes func() int) *Quota {
	return &Quota{maxBytes: maxBytes, holders: map[*Holder]struct{}{}}
}

// Fixed returns a Quota with a maximum that does not change.
func Fixed(maxBytes int) *Quota { return New(func() int { return maxBytes }) }

// Used returns the number of bytes that all holders use.
func (q *Quota) Used() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used
}

// Holder is the account of one user of a Quota's memory. It is safe for concurrent use.
type Holder struct {
	quota   *Quota
	release func()

	// Guarded by the lock of the Quota.
	bytes  int
	closed bool
}

// NewHolder returns a holder that uses no memory yet. Reclaim calls release if the holder has to release its memory.
func (q *Quota) NewHolder(release func()) *Holder { return &Holder{quota: q, release: release} }

// Set sets the number of bytes that the holder uses. It has no effect after Close.
func (h *Holder) Set(bytes int) {
	h.quota.mu.Lock()
	defer h.quota.mu.Unlock()
	h.set(bytes)
}

// Add adds n, which may be negative, to the bytes that the holder uses. The sum is at least 0. It has no effect
// after Close.
func (h *Holder) Add(n int) {
	h.quota.mu.Lock()
	defer h.quota.mu.Unlock()
	h.set(h.bytes + n)
}

// Close removes the holder and its bytes from the quota.
func (h *Holder) Close() {
	h.quota.mu.Lock()
	defer h.quota.mu.Unlock()
	h.set(0)
	h.closed = true
}

// set sets the holder's bytes. The lock of the Quota must be held.
func (h *Holder) set(bytes int) {
	if h.closed {
		return
	}
	bytes = max(0, bytes)
	h.quota.used += bytes - h.bytes
	h.bytes = bytes
	if bytes == 0 {
		delete(h.quota.holders, h)
	} else {
		h.quota.holders[h] = struct{}{}
	}
}

// Reclaim makes the largest holders release their memory if the quota is exceeded. It is called after a
// holder has grown, without locks that a release function acquires. The bytes of a holder that has to release its
// memory no longer count; its user reports with Set what it still uses.
func (q *Quota) Reclaim() {
	for _, h := range q.takeLargest() {
		h.release()
	}
}

// takeLargest returns the largest holders, as many as have to release their memory, and sets their bytes to 0.
func (q *Quota) takeLargest() (largest []*Holder) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maxBytes := q.maxBytes()
	if q.used <= maxBytes {
		return nil
	}
	target := maxBytes - maxBytes/reclaimDivisor
	for _, h := range q.byDescendingSize() {
		if q.used <= target {
			break
		}
		h.set(0)
		largest = append(largest, h)
	}
	return largest
}

// byDescendingSize returns the holders, the largest first. The lock must be held.
func (q *Quota) byDescendingSize() []*Holder {
	holders := make([]*Holder, 0, len(q.holders))
	for h := range q.holders {
		holders = append(holders, h)
	}
	slices.SortFunc(holders, func(a, b *Holder) int { return cmp.Compare(b.bytes, a.bytes) })
	return holders
}
