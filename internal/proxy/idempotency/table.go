// Package idempotency is the table of idempotency keys: which attempt of a request may run,
// whether it did, and with which result. All other attempts of the request are duplicates.
//
// The table is bounded in bytes. An entry stays until the attempt that owns it has ended
// and, if that was started, until no duplicate may come any more. It is never dropped to
// make room: a new key is rejected then.
//
// The table has no clock, does no I/O, and belongs to one goroutine.
package idempotency

import (
	"container/heap"
	"crypto/sha256"
	"errors"
	"slices"
	"time"
)

const (
	// entryOverhead is what an entry counts for in bytes, beside key and result: its
	// structure, its place in the map and in the order of expiry.
	entryOverhead = 512
	// longKeyBytes is the length of a long key.
	longKeyBytes = 128
	// ReservedResultBytes are counted for the result of an entry that has none yet.
	ReservedResultBytes = 4 << 10
	// MaxEntryBytes are the bytes of an entry with a long key.
	MaxEntryBytes = entryOverhead + longKeyBytes + ReservedResultBytes
)

var (
	// ErrKeyReused means that the key names a request of another class or body.
	ErrKeyReused = errors.New("idempotency key names another request")
	// ErrTableFull means that there is no room for another key.
	ErrTableFull = errors.New("idempotency table is full")
)

// Request is what all attempts of one request have in common.
type Request struct {
	// Key is the idempotency key.
	Key string
	// Class is the index of the request's class.
	Class int
	// Body must be the same in all attempts.
	Body []byte
}

// Entry is a request's place in the table.
type Entry struct {
	// Owner identifies the attempt that may run.
	Owner uint32
	// Started says that a run of the owner was started. The caller sets it.
	Started bool
	// Ended says that the owner's result is final.
	Ended bool
	// Result is that of the owner's run; nil if the run failed or there was none.
	Result []byte

	key     string
	class   int
	body    [sha256.Size]byte
	bytes   int      // counted for the entry
	waiters []uint32 // attempts that wait for the end
	expiry  time.Duration
}

// Table has the entries. Times are the caller's: spans since a fixed start.
type Table struct {
	maxBytes  int
	usedBytes int
	byKey     map[string]*Entry
	byExpiry  expiryHeap // of the entries that have ended
}

// New returns an empty table of at most maxBytes.
func New(maxBytes int) *Table { return &Table{maxBytes: maxBytes, byKey: map[string]*Entry{}} }

// Len is the number of keys.
func (t *Table) Len() int { return len(t.byKey) }

// UsedBytes are counted for all entries, with the results that are still to come.
func (t *Table) UsedBytes() int { return t.usedBytes }

// Claim is an attempt's part in the entry of its request.
type Claim struct {
	// Entry is that of the request.
	Entry *Entry
	// Owned says that the attempt is the owner of the entry, and may run.
	Owned bool
}

// Claim returns the claim of an attempt. The first attempt of a request becomes the owner
// of a new entry, each further one is a duplicate. The error is ErrKeyReused or
// ErrTableFull, and there is no entry then.
func (t *Table) Claim(now time.Duration, request Request, attempt uint32) (Claim, error) {
	t.removeExpired(now)
	body := sha256.Sum256(request.Body)
	if e := t.byKey[request.Key]; e != nil {
		if e.class != request.Class || e.body != body {
			return Claim{}, ErrKeyReused
		}
		return Claim{Entry: e}, nil
	}
	e := &Entry{
		Owner: attempt,
		key:   request.Key,
		class: request.Class,
		body:  body,
		bytes: entryOverhead + len(request.Key) + ReservedResultBytes,
	}
	if t.usedBytes+e.bytes > t.maxBytes {
		return Claim{}, ErrTableFull
	}
	t.usedBytes += e.bytes
	t.byKey[request.Key] = e
	return Claim{Entry: e, Owned: true}, nil
}

// AddWaiter notes that an attempt waits for the end of the entry's owner.
func (t *Table) AddWaiter(e *Entry, attempt uint32) { e.waiters = append(e.waiters, attempt) }

// RemoveWaiter notes that an attempt waits no more.
func (t *Table) RemoveWaiter(e *Entry, attempt uint32) {
	e.waiters = slices.DeleteFunc(e.waiters, func(w uint32) bool { return w == attempt })
}

// Complete records the result of the entry's owner, and returns the attempts that waited
// for it. The entry expires at the given time; if its owner was never started it is removed
// at once. An entry that has ended is left as it is.
func (t *Table) Complete(e *Entry, result []byte, expiry time.Duration) (waiters []uint32) {
	if e.Ended {
		return nil
	}
	e.Ended = true
	waiters = e.waiters
	e.waiters = nil
	if !e.Started {
		t.remove(e)
		return waiters
	}
	e.Result = slices.Clone(result)
	t.usedBytes -= e.bytes
	e.bytes = entryOverhead + len(e.key) + len(e.Result)
	t.usedBytes += e.bytes
	e.expiry = expiry
	heap.Push(&t.byExpiry, e)
	return waiters
}

// NextExpiry is when the next entry expires; false if none has a time to expire at.
func (t *Table) NextExpiry() (time.Duration, bool) {
	if len(t.byExpiry) == 0 {
		return 0, false
	}
	return t.byExpiry[0].expiry, true
}

func (t *Table) removeExpired(now time.Duration) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].expiry <= now {
		t.remove(heap.Pop(&t.byExpiry).(*Entry))
	}
}

func (t *Table) remove(e *Entry) {
	t.usedBytes -= e.bytes
	delete(t.byKey, e.key)
}
