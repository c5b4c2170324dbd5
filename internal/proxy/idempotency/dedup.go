// Package idempotency is the table of replay keys: which request has been claimed by which
// try, whether it ran, and what came of it. It is bounded in bytes. An entry stays
// for as long as something is owed for it, and, once its request has run, until no
// other try of it may come any more; it is never forgotten to make room. The table
// has no clock and no I/O.
package idempotency

import (
	"container/heap"
	"crypto/sha256"
	"slices"
	"time"
)

const (
	entryCost           = 512                                   // bytes of an entry: its structure, its place in the map and in the order
	ReservedResultBytes = 4 << 10                               // bytes of a result, kept free for each request that has none yet
	MaxEntryBytes       = entryCost + 128 + ReservedResultBytes // bytes of an entry at the most, with a long key
)

// Verdict says what a try is.
type ClaimResult uint8

// The verdicts.
const (
	Claimed     ClaimResult = iota // of its request: it owns the entry
	Duplicate                      // the request is known
	KeyMismatch                    // the key is another request's
	TableFull                      // there is no room for another key
)

// Request is what all tries of one request have in common.
type Request struct {
	Key   string
	Class int
	Body  []byte
}

// Entry is a request's place in the table.
type Entry struct {
	Owner   uint32 // the try that runs, if one does
	Started bool   // it was started
	Ended   bool   // nothing more will come of it
	Result  []byte // of a run that went well, else nil
	key     string
	class   int
	body    [sha256.Size]byte
	cost    int
	wait    []uint32 // tries that wait for its end
	until   time.Duration
}

// Table holds the entries.
type Table struct {
	most, used int
	byKey      map[string]*Entry
	expiry     order
}

// New returns a table of at most so many bytes.
func New(most int) *Table { return &Table{most: most, byKey: map[string]*Entry{}} }

// Len is the number of keys.
func (t *Table) Len() int { return len(t.byKey) }

// Used is how many bytes the entries take, results that are still to come included.
func (t *Table) Used() int { return t.used }

// Claim looks a try's request up, and makes the try its owner if it is the first.
func (t *Table) Claim(now time.Duration, q Request, try uint32) (*Entry, ClaimResult) {
	t.expire(now)
	body := sha256.Sum256(q.Body)
	if e := t.byKey[q.Key]; e != nil {
		if e.class != q.Class || e.body != body {
			return nil, KeyMismatch
		}
		return e, Duplicate
	}
	e := &Entry{Owner: try, key: q.Key, class: q.Class, body: body, cost: entryCost + len(q.Key) + ReservedResultBytes}
	if t.used+e.cost > t.most {
		return nil, TableFull
	}
	t.used += e.cost
	t.byKey[q.Key] = e
	return e, Claimed
}

// Wait notes that a try waits for the end of the entry's request.
func (t *Table) AddWaiter(e *Entry, try uint32) { e.wait = append(e.wait, try) }

// Leave notes that a try waits no more.
func (t *Table) RemoveWaiter(e *Entry, try uint32) {
	e.wait = slices.DeleteFunc(e.wait, func(w uint32) bool { return w == try })
}

// End notes what came of the entry's request, and returns the tries that waited for
// it. If it ran the entry stays until the given time, else it is gone at once.
func (t *Table) Complete(e *Entry, result []byte, until time.Duration) []uint32 {
	if e.Ended {
		return nil
	}
	e.Ended = true
	waiting := e.wait
	e.wait = nil
	if !e.Started {
		t.remove(e)
		return waiting
	}
	t.used -= e.cost
	e.Result = slices.Clone(result)
	e.cost = entryCost + len(e.key) + len(e.Result)
	t.used += e.cost
	e.until = until
	heap.Push(&t.expiry, e)
	return waiting
}

// Next is when the next entry expires; false while none will by itself.
func (t *Table) NextExpiry() (time.Duration, bool) {
	if len(t.expiry) == 0 {
		return 0, false
	}
	return t.expiry[0].until, true
}

func (t *Table) expire(now time.Duration) {
	for len(t.expiry) > 0 && t.expiry[0].until <= now {
		t.remove(heap.Pop(&t.expiry).(*Entry))
	}
}

func (t *Table) remove(e *Entry) {
	t.used -= e.cost
	delete(t.byKey, e.key)
}

// order is a heap of entries, the next to expire first.
type order []*Entry

func (o order) Len() int           { return len(o) }
func (o order) Less(i, j int) bool { return o[i].until < o[j].until }
func (o order) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *order) Push(x any)        { *o = append(*o, x.(*Entry)) }
func (o *order) Pop() any {
	last := len(*o) - 1
	e := (*o)[last]
	(*o)[last] = nil
	*o = (*o)[:last]
	return e
}
