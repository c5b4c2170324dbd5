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

// TestChecksumsShowDivergence: nodes that carry out the same log have the same checksums, also from a snapshot
// on, of whichever version; one that has carried out something else once has others, for as
// long as a checksum runs.
func TestChecksumsShowDivergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			index uint64
			data  []byte
			r     Request
		}
		var log []entry
		for i := uint64(1); len(log) < 120; i += rapid.Uint64Range(1, 3).Draw(t, "step") { // some indexes are no commands
			r := Request{TimeMS: int64(i), LeaseOps: []lease.Op{{Kind: lease.OpAcquire, Name: fmt.Sprint("n", i%5), Holder: fmt.Sprint("h", i), TTLMS: 1000}}}
			if rapid.Bool().Draw(t, "key") {
				r = Request{TimeMS: int64(i), Then: []Op{{Kind: "put", Key: fmt.Sprint("k", i%7), Value: json.RawMessage(`1`)}}}
			}
			data, err := json.Marshal(r)
			require.NoError(t, err)
			log = append(log, entry{i, data, r})
		}
		cut := rapid.IntRange(1, len(log)-1).Draw(t, "snapshot")
		odd := rapid.IntRange(0, len(log)-1).Draw(t, "odd")
		run := func(s *State, from int, odd int) (*State, ChecksumHistory) {
			var c ChecksumHistory
			for i, e := range log[from:] {
				var bad error
				if from+i == odd {
					bad = errors.New("carried out as something else")
				}
				c = c.RecordBefore(e.index, s)
				s.ApplyEntry(e.index, e.data, &e.r, bad)
			}
			return s, c
		}
		_, whole := run(New(), 0, -1)
		half := New()
		for _, e := range log[:cut] {
			half.ApplyEntry(e.index, e.data, &e.r, nil)
		}
		text, err := json.Marshal(half)
		require.NoError(t, err)
		restored := New()
		require.NoError(t, json.Unmarshal(text, restored))
		_, late := run(restored, cut, -1)
		_, other := run(New(), 0, odd)
		_, apart := late.Diverged([]ChecksumHistory{whole, whole}, 3)
		require.False(t, apart, "a snapshot changes nothing")
		for _, c := range late {
			require.Contains(t, whole, c)
		}
		last := whole[len(whole)-1].Index
		at, apart := other.Diverged([]ChecksumHistory{whole, whole}, 3)
		require.Equal(t, log[odd].index <= last, apart)
		if apart {
			require.Equal(t, last, at)
		}
		_, apart = whole.Diverged([]ChecksumHistory{other, whole}, 3)
		require.False(t, apart, "most agree with it")
		_, apart = other.Diverged([]ChecksumHistory{whole, whole}, 5)
		require.False(t, apart, "two of five are not most")
	})
}

// TestChecksumStartsAnew: states whose checksums began at different indexes are not compared until
// both begin at the same one.
func TestChecksumStartsAnew(t *testing.T) {
	carry := func(s *State, from, to uint64) (c ChecksumHistory) {
		for i := from; i <= to; i++ {
			c = c.RecordBefore(i, s)
			s.ApplyEntry(i, []byte{byte(i)}, &Request{TimeMS: int64(i)}, nil)
		}
		return c
	}
	a, b := New(), New()
	carry(a, 1, 100)
	carry(b, 1, 100)
	b.Checksum = Checksum{StartIndex: 100}
	one, two := carry(a, 101, checksumPeriod-1), carry(b, 101, checksumPeriod-1)
	_, apart := one.Diverged([]ChecksumHistory{two, two}, 3)
	require.False(t, apart)
	require.NotEqual(t, a.Checksum, b.Checksum)
	one, two = carry(a, checksumPeriod, checksumPeriod+100), carry(b, checksumPeriod, checksumPeriod+100)
	require.Equal(t, a.Checksum, b.Checksum)
	require.Equal(t, one[len(one)-1], two[len(two)-1])
	require.LessOrEqual(t, len(one), maxChecksumPoints)
}
