// Package idempotency implements the table of idempotency keys. For each key it records which attempt
// of the request may run, whether that attempt ran, and its result. All other attempts of the request
// are duplicates.
//
// The size of the table is limited in bytes. An entry is stored until its owner, the attempt that may
// run, has ended and, if the owner was started, until no more duplicates can arrive. Entries are never
// evicted early: if the table is full, new keys are rejected.
//
// The table has no clock, does no I/O, and must be used by one goroutine only.
package idempotency

import (
	"container/heap"
	"crypto/sha256"
	"errors"
	"slices"
	"time"
)

const (
	// entryOverhead is the number of bytes counted for an entry in addition to its key and result: the
	// Entry itself and its slots in the map and the expiry heap.
	entryOverhead = 512
	// maxKeyBytes is the maximum length of a key; frontends reject longer keys.
	maxKeyBytes = 128
	// ReservedResultBytes is the number of bytes counted for the result of an entry that has no result
	// yet.
	ReservedResultBytes = 4 << 10
	// MaxEntryBytes is the number of bytes counted for an entry with a key of maximum length and no
	// result yet.
	MaxEntryBytes = entryOverhead + maxKeyBytes + ReservedResultBytes
)

var (
	// ErrKeyReused means that the key was already used for a request with another class or body.
	ErrKeyReused = errors.New("idempotency key already used for another request")
	// ErrTableFull means that the table has no capacity for another key.
	ErrTableFull = errors.New("idempotency table is full")
)

// Request is the part of a request that is the same in all of its attempts.
type Request struct {
	// Key is the idempotency key.
	Key string
	// Class is the index of the request's class.
	Class int
	// Body is the body of the request. The table stores only its hash.
	Body []byte
}

// Entry is the table's record of a request.
type Entry struct {
	// Owner identifies the attempt that may run.
	Owner uint32
	// OwnerStarted says that a run of the owner was started. The user of the table sets it.
	OwnerStarted bool
	// OwnerEnded says that the owner has ended and Result is final.
	OwnerEnded bool
	// Result is the result of the owner's run; nil if the run failed or was never started.
	Result []byte

	key      string
	class    int
	bodyHash [sha256.Size]byte
	bytes    int      // number of bytes counted for the entry
	waiters  []uint32 // attempts that wait for the owner's end
	expiry   time.Duration
}

// Table is a table of entries by idempotency key. Times are durations since a fixed start, read from
// a clock of the table's user.
type Table struct {
	maxBytes  int
	usedBytes int
	byKey     map[string]*Entry
	byExpiry  expiryHeap // entries with an expiry time
}

// New returns an empty table that uses at most maxBytes.
func New(maxBytes int) *Table { return &Table{maxBytes: maxBytes, byKey: map[string]*Entry{}} }

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.byKey) }

// UsedBytes returns the number of bytes counted for all entries, including the bytes reserved for
// results that are not known yet.
func (t *Table) UsedBytes() int { return t.usedBytes }

// Claim is the result of claiming a key for an attempt.
type Claim struct {
	// Entry is the entry of the request.
	Entry *Entry
	// Owned says that the attempt owns the entry and may run. Otherwise the attempt is a duplicate.
	Owned bool
}

// Claim claims a request's key for an attempt. The first attempt of a request becomes the owner of a
// new entry; each later attempt is a duplicate. On ErrKeyReused and ErrTableFull the returned claim
// has no entry.
func (t *Table) Claim(now time.Duration, request Request, attemptID uint32) (Claim, error) {
	t.removeExpired(now)
	body := sha256.Sum256(request.Body)
	if e := t.byKey[request.Key]; e != nil {
		if e.class != request.Class || e.bodyHash != body {
			return Claim{}, ErrKeyReused
		}
		return Claim{Entry: e}, nil
	}
	e := &Entry{
		Owner:    attemptID,
		key:      request.Key,
		class:    request.Class,
		bodyHash: body,
		bytes:    entryOverhead + len(request.Key) + ReservedResultBytes,
	}
	if t.usedBytes+e.bytes > t.maxBytes {
		return Claim{}, ErrTableFull
	}
	t.usedBytes += e.bytes
	t.byKey[request.Key] = e
	return Claim{Entry: e, Owned: true}, nil
}

// AddWaiter records that an attempt waits for the end of the entry's owner.
func (t *Table) AddWaiter(e *Entry, attemptID uint32) { e.waiters = append(e.waiters, attemptID) }

// RemoveWaiter records that an attempt no longer waits for the end of the entry's owner.
func (t *Table) RemoveWaiter(e *Entry, attemptID uint32) {
	e.waiters = slices.DeleteFunc(e.waiters, func(w uint32) bool { return w == attemptID })
}

// Complete stores the result of the entry's owner and returns the attempts that wait for it. The entry
// expires at the given time. If the owner was never started, the entry is removed immediately. An
// entry whose owner has already ended is not changed.
func (t *Table) Complete(e *Entry, result []byte, expiry time.Duration) (waiters []uint32) {
	if e.OwnerEnded {
		return nil
	}
	e.OwnerEnded = true
	waiters = e.waiters
	e.waiters = nil
	if !e.OwnerStarted {
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

// NextExpiry returns the expiry time of the entry that expires next, or false if no entry has an expiry time.
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
