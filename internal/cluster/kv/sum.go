package kv

import (
	"encoding/binary"
	"hash/crc64"
)

// What is kept of the checksums. Nodes compare them every few hundred milliseconds.
const (
	checkStep = 16 // entries of the log between two that are kept
	checkMost = 64
	sumOver   = 4096 // entries of one checksum: nodes that began at different ones come together again
)

var checkTable = crc64.MakeTable(crc64.ECMA)

// ChecksumPoint is the running checksum of a state after all requests up to an index of the log.
// Two can be compared if both began at the same one.
type ChecksumPoint struct {
	Index      uint64 `json:"index"`
	StartIndex uint64 `json:"from,omitempty"`
	Sum        uint64 `json:"sum"`
}

// Checksum is a running checksum of what was carried out and of what came of it: states that
// made the same of the same log have the same. It begins anew now and then, so that states
// from snapshots of a version that kept none can be compared too.
type Checksum struct {
	StartIndex uint64 `json:"from"` // the index after which it began
	Sum        uint64 `json:"sum"`
}

// chain adds an entry of the log, as it was read, and what came of it.
func (s *State) chain(index uint64, data []byte, a *Response, err error) {
	if index/sumOver > s.Checksum.StartIndex/sumOver {
		s.Checksum = Checksum{StartIndex: index / sumOver * sumOver}
	}
	var b [64]byte
	n := binary.BigEndian.AppendUint64(b[:0], index)
	n = binary.BigEndian.AppendUint64(n, s.Leases.LastToken)
	n = binary.BigEndian.AppendUint64(n, uint64(s.TimeMS))
	n = binary.BigEndian.AppendUint64(n, uint64(len(s.Entries)))
	n = binary.BigEndian.AppendUint64(n, uint64(len(s.Leases.Leases)))
	for _, yes := range []bool{a.Succeeded, err != nil} {
		if yes {
			n = append(n, 1)
		} else {
			n = append(n, 0)
		}
	}
	s.Checksum.Sum = crc64.Update(crc64.Update(s.Checksum.Sum, checkTable, data), checkTable, n)
	for _, r := range a.LeaseResults {
		n = binary.BigEndian.AppendUint64(b[:0], r.Lease.Token)
		s.Checksum.Sum = crc64.Update(crc64.Update(s.Checksum.Sum, checkTable, n), checkTable, []byte(r.Lease.Holder))
	}
}

// ChecksumHistory are the checksums of a node's state of late, the newest last.
type ChecksumHistory []ChecksumPoint

// RecordBefore notes the checksum of a state that is about to carry out the request at an index.
func (c ChecksumHistory) RecordBefore(index uint64, s *State) ChecksumHistory {
	at := (index - 1) / checkStep * checkStep
	if at == 0 || at < s.Applied || len(c) > 0 && c[len(c)-1].Index >= at {
		return c // the state has gone past it, or it is noted
	}
	c = append(c, ChecksumPoint{at, s.Checksum.StartIndex, s.Checksum.Sum})
	return c[max(0, len(c)-checkMost):]
}

// Diverged compares a state's checksums with those of the voters among the other nodes, and
// tells whether most of all voters agree on another state, and at which index of the log.
// Only the newest index counts on which most are known to agree.
func (c ChecksumHistory) Diverged(others []ChecksumHistory, voters int) (at uint64, apart bool) {
	for i := len(c) - 1; i >= 0; i-- {
		own, sums := c[i], map[uint64]int{}
		for _, o := range others {
			for _, x := range o {
				if x.Index == own.Index && x.StartIndex == own.StartIndex {
					sums[x.Sum]++
				}
			}
		}
		for sum, n := range sums {
			if sum == own.Sum {
				n++
			}
			if 2*n > voters {
				return own.Index, sum != own.Sum
			}
		}
	}
	return 0, false
}
