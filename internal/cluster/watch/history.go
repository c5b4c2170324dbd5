// Package watch keeps the latest revisions of the replicated state for watchers. A watcher has a
// position and no queue: what it does not fetch costs nothing, and a position that the history
// has dropped is answered with a CompactedError. The package does no I/O and reads no clock.
package watch

import (
	"fmt"
	"sort"
)

// Limits of a history. The oldest revisions beyond them are dropped.
type Limits struct {
	MaxRevisions int
	MaxBytes     int
}

// PageLimits bounds one call of Since.
type PageLimits struct {
	MaxRevisions int // examined
	MaxBytes     int // returned; a single revision may exceed it
}

// CompactedError means that the history does not have the revision at a position any more. The
// watcher has to list the keys again and watch from there.
type CompactedError struct {
	OldestRevision uint64 // the lowest position that can still be watched from
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("compacted: the oldest revision kept is %d", e.OldestRevision)
}

// History is the latest revisions, in order. It is not safe for concurrent use.
type History struct {
	limits           Limits
	revisions        []Revision // by growing number; those without changes are left out
	bytes            int
	compactedThrough uint64 // revisions up to this one may be missing
	latestNumber     uint64 // the number of the last revision that was added
}

// NewHistory returns a history that starts after a revision.
func NewHistory(limits Limits, after uint64) *History {
	return &History{limits: limits, compactedThrough: after, latestNumber: after}
}

// Add appends the next revision, which may have changed nothing. Numbers may have gaps. A number
// that is not above the last one is ignored: a node reads log entries again that its state has.
func (h *History) Add(number uint64, changes []Change) {
	if number <= h.latestNumber {
		return
	}
	h.latestNumber = number
	if len(changes) == 0 {
		return
	}
	r := Revision{number, changes}
	h.revisions = append(h.revisions, r)
	h.bytes += r.size()
	h.dropOldest()
}

// dropOldest brings the history back within its limits.
func (h *History) dropOldest() {
	dropped := 0
	for len(h.revisions)-dropped > h.limits.MaxRevisions || h.bytes > h.limits.MaxBytes {
		h.compactedThrough = h.revisions[dropped].Number
		h.bytes -= h.revisions[dropped].size()
		h.revisions[dropped] = Revision{} // releases the values
		dropped++
	}
	h.revisions = h.revisions[dropped:]
}

// Reset starts anew after a revision, when the state was replaced as a whole.
func (h *History) Reset(after uint64) { *h = *NewHistory(h.limits, after) }

// Since returns the revisions from a position on that change keys with a prefix, reduced to those
// keys, and the position to continue from. No revision and the same position mean that nothing
// has come yet. A position beyond the last revision is valid. The error is a *CompactedError.
func (h *History) Since(from uint64, prefix string, p PageLimits) (revisions []Revision, next uint64, err error) {
	if from <= h.compactedThrough {
		return nil, from, &CompactedError{OldestRevision: h.compactedThrough + 1}
	}
	first := sort.Search(len(h.revisions), func(i int) bool { return h.revisions[i].Number >= from })
	next = max(from, h.latestNumber+1)
	pageBytes := 0
	for i, r := range h.revisions[first:] {
		if i >= p.MaxRevisions || pageBytes >= p.MaxBytes {
			return revisions, r.Number, nil
		}
		if filtered := r.filter(prefix); len(filtered.Changes) > 0 {
			revisions = append(revisions, filtered)
			pageBytes += filtered.size()
		}
	}
	return revisions, next, nil
}
