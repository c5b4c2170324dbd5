package watch

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

// TestMain has rapid try the same histories each time, unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	rapidseed.Fix()
	os.Exit(m.Run())
}

// TestSinceAgainstWholeHistory: whatever is added, dropped and reset, a follower that goes page by
// page gets each revision under its prefix that all of history has, once and in order,
// or is told that its position is gone; and the history stays within its limits.
func TestSinceAgainstWholeHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxRevisions: rapid.IntRange(1, 20).Draw(t, "revisions"), MaxBytes: rapid.IntRange(200, 2000).Draw(t, "bytes")}
		page := PageLimits{MaxRevisions: rapid.IntRange(1, 5).Draw(t, "page"), MaxBytes: rapid.IntRange(1, 500).Draw(t, "page bytes")}
		prefix := rapid.SampledFrom([]string{"", "a/", "b/"}).Draw(t, "prefix")
		h, allRevisions := NewHistory(limits, 0), []Revision{}
		next, resetNumber := uint64(1), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				resetNumber = h.latestNumber + uint64(rapid.IntRange(0, 3).Draw(t, "ahead"))
				h.Reset(resetNumber)
			case 1, 2: // the follower takes a page
				got, gotNext, err := h.Since(next, prefix, page)
				var compactedErr *CompactedError
				if err != nil {
					require.ErrorAs(t, err, &compactedErr)
					require.Greater(t, compactedErr.OldestRevision, next, "only what is gone is said to be")
					next = compactedErr.OldestRevision
					continue
				}
				require.GreaterOrEqual(t, next, resetNumber, "not across a reset")
				var want []Revision
				for _, r := range allRevisions {
					if filtered := r.filter(prefix); r.Number >= next && r.Number < gotNext && len(filtered.Changes) > 0 {
						want = append(want, filtered)
					}
				}
				require.Equal(t, want, got)
				require.GreaterOrEqual(t, gotNext, next)
				require.LessOrEqual(t, gotNext, max(next, h.latestNumber+1))
				next = gotNext
			default:
				r := Revision{Number: h.latestNumber + uint64(rapid.IntRange(1, 3).Draw(t, "gap"))}
				for i := range rapid.IntRange(0, 3).Draw(t, "changes") {
					key := rapid.SampledFrom([]string{"a/", "b/"}).Draw(t, "of") + fmt.Sprint(i)
					r.Changes = append(r.Changes, Change{Key: key, Value: json.RawMessage(strings.Repeat("7", i+1))})
				}
				h.Add(r.Number, r.Changes)
				h.Add(r.Number, r.Changes) // read again
				allRevisions = append(allRevisions, r)
			}
			require.LessOrEqual(t, len(h.revisions), limits.MaxRevisions)
			require.LessOrEqual(t, h.bytes, limits.MaxBytes)
		}
		for i := 0; next <= h.latestNumber; i++ { // the rest, in so many pages at most
			_, following, err := h.Since(next, prefix, page)
			if err != nil {
				break
			}
			require.Greater(t, following, next, "a follower that is behind gets on")
			require.Less(t, i, 200)
			next = following
		}
	})
}

// TestDroppedRevisionsAreReleased: what was dropped is not held by the history's memory.
func TestDroppedRevisionsAreReleased(t *testing.T) {
	h := NewHistory(Limits{MaxRevisions: 2, MaxBytes: 1 << 20}, 0)
	for n := range uint64(100) {
		h.Add(n+1, []Change{{Key: "k", Value: json.RawMessage("1")}})
		for _, r := range h.revisions[:cap(h.revisions)][len(h.revisions):] {
			require.Empty(t, r.Changes)
		}
	}
	require.Len(t, h.revisions, 2)
	require.LessOrEqual(t, cap(h.revisions), 8)
}
