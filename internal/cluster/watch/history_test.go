package watch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/testrig/rapidseed"
)

// TestMain fixes the seed of rapid, so that each run generates the same histories unless a seed is given.
func TestMain(m *testing.M) { rapidseed.RunTests(m) }

// TestSinceAgainstWholeHistory compares a History with an unbounded list of revisions while revisions
// are added and dropped and the history is reset. A watcher that reads page by page must get each
// revision under its prefix once and in order, or a CompactedError, and the history must stay within
// its limits.
func TestSinceAgainstWholeHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxRevisions: rapid.IntRange(1, 20).Draw(t, "revisions"), MaxBytes: rapid.IntRange(200, 2000).Draw(t, "bytes")}
		pageLimits := PageLimits{MaxRevisions: rapid.IntRange(1, 5).Draw(t, "page"), MaxBytes: rapid.IntRange(1, 500).Draw(t, "page bytes")}
		prefix := rapid.SampledFrom([]string{"", "a/", "b/"}).Draw(t, "prefix")
		h, allRevisions := NewHistory(limits, 0), []Revision{}
		position, resetNumber := uint64(1), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				resetNumber = h.latestNumber + uint64(rapid.IntRange(0, 3).Draw(t, "ahead"))
				h.Reset(resetNumber)
			case 1, 2: // the watcher reads one page
				got, gotNext, err := h.Since(position, prefix, pageLimits)
				var compactedErr *CompactedError
				if err != nil {
					require.ErrorAs(t, err, &compactedErr)
					require.Greater(t, compactedErr.OldestRevision, position, "a CompactedError must only be returned for a dropped position")
					position = compactedErr.OldestRevision
					continue
				}
				require.GreaterOrEqual(t, position, resetNumber, "a page must not span a reset")
				var want []Revision
				for _, r := range allRevisions {
					if filtered := r.filter(prefix); r.Number >= position && r.Number < gotNext && len(filtered.Changes) > 0 {
						want = append(want, filtered)
					}
				}
				require.Equal(t, want, got)
				require.GreaterOrEqual(t, gotNext, position)
				require.LessOrEqual(t, gotNext, max(position, h.latestNumber+1))
				position = gotNext
			default:
				r := Revision{Number: h.latestNumber + uint64(rapid.IntRange(1, 3).Draw(t, "gap"))}
				for i := range rapid.IntRange(0, 3).Draw(t, "changes") {
					key := rapid.SampledFrom([]string{"a/", "b/"}).Draw(t, "of") + fmt.Sprint(i)
					r.Changes = append(r.Changes, Change{Key: key, Value: json.RawMessage(strings.Repeat("7", i+1))})
				}
				h.Add(r.Number, r.Changes)
				h.Add(r.Number, r.Changes) // a revision that was already added is ignored
				allRevisions = append(allRevisions, r)
			}
			require.LessOrEqual(t, len(h.revisions), limits.MaxRevisions)
			require.LessOrEqual(t, h.sizeBytes, limits.MaxBytes)
		}
		for i := 0; position <= h.latestNumber; i++ { // reads the remaining pages
			_, gotNext, err := h.Since(position, prefix, pageLimits)
			if err != nil {
				break
			}
			require.Greater(t, gotNext, position, "each page must advance a watcher that is behind")
			require.Less(t, i, 200)
			position = gotNext
		}
	})
}

// TestDroppedRevisionsAreReleased checks that the backing array of the history does not keep the
// changes of dropped revisions in memory.
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
