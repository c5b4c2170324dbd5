package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"oxbowbridge/internal/cluster/lease"
)

// TestChecksumsShowDivergence checks that nodes that apply the same log have the same checksums, also
// after restoring a snapshot, and that a node that applied one entry with another outcome has
// different checksums from then on until the checksum is reset.
func TestChecksumsShowDivergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			index uint64
			data  []byte
			r     Request
		}
		var entries []entry
		for i := uint64(1); len(entries) < 120; i += rapid.Uint64Range(1, 3).Draw(t, "step") { // gaps: other entry types
			r := Request{TimeMS: int64(i), LeaseOps: []lease.Op{{Kind: lease.OpAcquire, Name: fmt.Sprint("n", i%5), Holder: fmt.Sprint("h", i), TTLMS: 1000}}}
			if rapid.Bool().Draw(t, "key") {
				r = Request{TimeMS: int64(i), Then: []Op{{Kind: "put", Key: fmt.Sprint("k", i%7), Value: json.RawMessage(`1`)}}}
			}
			data, err := json.Marshal(r)
			require.NoError(t, err)
			entries = append(entries, entry{i, data, r})
		}
		snapshotPosition := rapid.IntRange(1, len(entries)-1).Draw(t, "snapshot")
		divergentPosition := rapid.IntRange(0, len(entries)-1).Draw(t, "divergent")
		applyEntries := func(s *State, from int, divergent int) (*State, ChecksumHistory) {
			var history ChecksumHistory
			for i, e := range entries[from:] {
				var applyErr error
				if from+i == divergent {
					applyErr = errors.New("applied with another outcome")
				}
				history = history.RecordBefore(e.index, s)
				s.ApplyEntry(e.index, e.data, &e.r, applyErr)
			}
			return s, history
		}
		_, reference := applyEntries(New(), 0, -1)
		source := New()
		for _, e := range entries[:snapshotPosition] {
			source.ApplyEntry(e.index, e.data, &e.r, nil)
		}
		snapshot, err := json.Marshal(source)
		require.NoError(t, err)
		restored := New()
		require.NoError(t, json.Unmarshal(snapshot, restored))
		_, restoredHistory := applyEntries(restored, snapshotPosition, -1)
		_, divergentHistory := applyEntries(New(), 0, divergentPosition)
		_, diverged := restoredHistory.Diverged([]ChecksumHistory{reference, reference}, 3)
		require.False(t, diverged, "a node that restored a snapshot must not be reported as diverged")
		for _, point := range restoredHistory {
			require.Contains(t, reference, point)
		}
		lastIndex := reference[len(reference)-1].Index
		index, diverged := divergentHistory.Diverged([]ChecksumHistory{reference, reference}, 3)
		require.Equal(t, entries[divergentPosition].index <= lastIndex, diverged)
		if diverged {
			require.Equal(t, lastIndex, index)
		}
		_, diverged = reference.Diverged([]ChecksumHistory{divergentHistory, reference}, 3)
		require.False(t, diverged, "a majority of the voters has the same checksum")
		_, diverged = divergentHistory.Diverged([]ChecksumHistory{reference, reference}, 5)
		require.False(t, diverged, "two of five voters are not a majority")
	})
}

// TestChecksumStartsAnew checks that states whose checksums started at different indexes are not
// compared until both checksums have been reset at the same index.
func TestChecksumStartsAnew(t *testing.T) {
	applyRange := func(s *State, from, to uint64) (history ChecksumHistory) {
		for i := from; i <= to; i++ {
			history = history.RecordBefore(i, s)
			s.ApplyEntry(i, []byte{byte(i)}, &Request{TimeMS: int64(i)}, nil)
		}
		return history
	}
	state1, state2 := New(), New()
	applyRange(state1, 1, 100)
	applyRange(state2, 1, 100)
	state2.Checksum = Checksum{StartIndex: 100}
	history1, history2 := applyRange(state1, 101, checksumResetInterval-1), applyRange(state2, 101, checksumResetInterval-1)
	_, diverged := history1.Diverged([]ChecksumHistory{history2, history2}, 3)
	require.False(t, diverged)
	require.NotEqual(t, state1.Checksum, state2.Checksum)
	history1, history2 = applyRange(state1, checksumResetInterval, checksumResetInterval+100), applyRange(state2, checksumResetInterval, checksumResetInterval+100)
	require.Equal(t, state1.Checksum, state2.Checksum)
	require.Equal(t, history1[len(history1)-1], history2[len(history2)-1])
	require.LessOrEqual(t, len(history1), maxChecksumPoints)
}
