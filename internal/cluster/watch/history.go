// Package watch keeps the latest revisions of the replicated state for watchers. A watcher is only a
// position in this history and has no queue of its own, so a slow watcher uses no extra memory. A
// watcher whose position has been dropped from the history gets a CompactedError. The package does no
// I/O and reads no clock.
package watch

import (
	"fmt"
	"sort"
)

// Limits bound the size of a history. The oldest revisions that exceed a limit are dropped.
type Limits struct {
	MaxRevisions int
	MaxBytes     int
}

// PageLimits bound one call of History.Since.
type PageLimits struct {
	MaxRevisions int // max. number of revisions to examine
	MaxBytes     int // max. size of the returned revisions; a single revision may exceed it
}

// CompactedError means that the revision at a position has been dropped from the history. The watcher
// must list the keys again and continue from the revision of that list.
type CompactedError struct {
	OldestRevision uint64 // the lowest position from which a watch can start
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("compacted: the oldest revision kept is %d", e.OldestRevision)
}

// History contains the latest revisions in ascending order. It is not safe for concurrent use.
type History struct {
	limits           Limits
	revisions        []Revision // in ascending order, without empty revisions
	sizeBytes        int
	compactedThrough uint64 // revisions up to this number may have been dropped
	latestNumber     uint64 // number of the last added revision
}

// NewHistory returns an empty history that starts after the given revision.
func NewHistory(limits Limits, after uint64) *History {
	return &History{limits: limits, compactedThrough: after, latestNumber: after}
}

// Add appends a revision, which may have no changes. Numbers may have gaps. Add ignores a number that
// is not above the last one, because a node can read log entries again that its state already includes.
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
	h.sizeBytes += r.size()
	h.dropOldest()
}

// dropOldest drops the oldest revisions until the history is within its limits.
func (h *History) dropOldest() {
	dropped := 0
	for len(h.revisions)-dropped > h.limits.MaxRevisions || h.sizeBytes > h.limits.MaxBytes {
		h.compactedThrough = h.revisions[dropped].Number
		h.sizeBytes -= h.revisions[dropped].size()
		h.revisions[dropped] = Revision{} // lets the garbage collector free the values
		dropped++
	}
	h.revisions = h.revisions[dropped:]
}

// Reset drops all revisions and restarts the history after the given revision. It is called when a
// snapshot has replaced the state.
func (h *History) Reset(after uint64) { *h = *NewHistory(h.limits, after) }

// Since returns the revisions at or after a position that change keys with the given prefix, with only
// the changes of those keys, and the position of the next page. If it returns no revisions and the
// same position, there are no new revisions yet. A position beyond the last revision is valid. The
// error is a *CompactedError.
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
