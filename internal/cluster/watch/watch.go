// Package watch keeps the latest revisions of the replicated state for those who
// follow it. A follower has a position and no queue: what it does not fetch costs
// nothing, and is told to be gone once the history has dropped it. There is no I/O
// and no clock here.
package watch

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Change is one key of a revision.
type Change struct {
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value,omitempty"` // none if it was deleted
	Deleted bool            `json:"gone,omitempty"`
}

// Revision is what one entry of the log changed, all at once.
type Revision struct {
	Number  uint64   `json:"revision"`
	Changes []Change `json:"changes"`
}

func (r Revision) size() (n int) {
	for _, c := range r.Changes {
		n += len(c.Key) + len(c.Value) + changeBytes
	}
	return n
}

const changeBytes = 64 // what a change takes beside its key and value

// Limits of a history. What is beyond them is dropped, the oldest first.
type Limits struct {
	MaxRevisions int
	MaxBytes     int
}

// Page bounds what one Since gives, and looks at.
type Page struct {
	MaxRevisions int // looked at
	MaxBytes     int // given; one revision may have more
}

// CompactedError says that a position is gone. The follower has to read the keys
// anew and follow from there.
type CompactedError struct {
	OldestRevision uint64 // position that can still be followed from
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("compacted: the oldest revision kept is %d", e.OldestRevision)
}

// History is the latest revisions, in order. It is not safe for concurrent use.
type History struct {
	limits Limits
	list   []Revision // numbers grow
	bytes  int
	floor  uint64 // what is up to here may be missing
	at     uint64 // all up to here is known
}

// NewHistory is a history that begins after a revision.
func NewHistory(l Limits, after uint64) *History { return &History{limits: l, floor: after, at: after} }

// Add takes the next revision, which may have changed nothing. Numbers may leave
// gaps, and never go back.
func (h *History) Add(number uint64, changes []Change) {
	if number <= h.at {
		return // read again, from a log that this state has
	}
	h.at = number
	if len(changes) == 0 {
		return
	}
	r := Revision{number, changes}
	h.list = append(h.list, r)
	h.bytes += r.size()
	drop := 0
	for len(h.list)-drop > h.limits.MaxRevisions || h.bytes > h.limits.MaxBytes {
		h.floor = h.list[drop].Number
		h.bytes -= h.list[drop].size()
		h.list[drop] = Revision{} // lets go of the values
		drop++
	}
	h.list = h.list[drop:]
}

// Reset begins anew after a revision: the state was replaced as a whole.
func (h *History) Reset(after uint64) { *h = History{limits: h.limits, floor: after, at: after} }

// Since gives the revisions from a position on that change keys with the prefix,
// reduced to those, and the position to go on from. None and the same position mean
// that nothing has come yet. A position ahead of all that is known is waited for.
func (h *History) Since(from uint64, prefix string, p Page) (out []Revision, next uint64, err error) {
	if from <= h.floor {
		return nil, from, &CompactedError{OldestRevision: h.floor + 1}
	}
	first := sort.Search(len(h.list), func(i int) bool { return h.list[i].Number >= from })
	next = max(from, h.at+1)
	size := 0
	for i, r := range h.list[first:] {
		if i >= p.MaxRevisions || size >= p.MaxBytes {
			return out, r.Number, nil
		}
		if part := r.under(prefix); len(part.Changes) > 0 {
			out = append(out, part)
			size += part.size()
		}
	}
	return out, next, nil
}

// under is the part of a revision that belongs to a prefix.
func (r Revision) under(prefix string) Revision {
	if prefix == "" {
		return r
	}
	part := Revision{Number: r.Number}
	for _, c := range r.Changes {
		if strings.HasPrefix(c.Key, prefix) {
			part.Changes = append(part.Changes, c)
		}
	}
	return part
}
