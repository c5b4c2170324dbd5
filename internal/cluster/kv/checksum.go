package kv

import (
	"encoding/binary"
	"hash/crc64"
)

const (
	checksumInterval      = 16   // log entries between two points of a ChecksumHistory
	maxChecksumPoints     = 64   // max. points in a ChecksumHistory
	checksumResetInterval = 4096 // log entries after which the running checksum is reset
	outcomeCapacityBytes  = 64   // initial buffer capacity for the encoded outcome of a log entry
)

var checksumTable = crc64.MakeTable(crc64.ECMA)

// Checksum is a running CRC-64 over the log entries and their outcomes. Replicas that applied the
// same entries with the same outcomes have the same checksum. The checksum is reset every
// checksumResetInterval entries. Without a reset, two replicas that started their checksums at
// different entries, as after restoring a snapshot from a version without checksums, could never be
// compared again.
type Checksum struct {
	StartIndex uint64 `json:"from"` // log index after which the checksum was started or reset
	Sum        uint64 `json:"sum"`
}

// extendChecksum adds the encoded bytes of a log entry, and the outcome of applying it.
func (s *State) extendChecksum(index uint64, data []byte, response *Response, err error) {
	if index/checksumResetInterval > s.Checksum.StartIndex/checksumResetInterval {
		s.Checksum = Checksum{StartIndex: index / checksumResetInterval * checksumResetInterval}
	}
	outcome := make([]byte, 0, outcomeCapacityBytes)
	outcome = binary.BigEndian.AppendUint64(outcome, index)
	outcome = binary.BigEndian.AppendUint64(outcome, s.Leases.LastToken)
	outcome = binary.BigEndian.AppendUint64(outcome, uint64(s.LogTimeMS))
	outcome = binary.BigEndian.AppendUint64(outcome, uint64(len(s.Entries)))
	outcome = binary.BigEndian.AppendUint64(outcome, uint64(len(s.Leases.Leases)))
	outcome = append(outcome, boolByte(response.Succeeded), boolByte(err != nil))
	s.Checksum.update(data)
	s.Checksum.update(outcome)
	for _, r := range response.LeaseResults {
		s.Checksum.update(binary.BigEndian.AppendUint64(outcome[:0], r.Lease.Token))
		s.Checksum.update([]byte(r.Lease.Holder))
	}
}

func (c *Checksum) update(data []byte) { c.Sum = crc64.Update(c.Sum, checksumTable, data) }

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// ChecksumPoint is the running checksum of a state after all log entries up to an index. Two
// points can be compared if they have the same Index and StartIndex.
type ChecksumPoint struct {
	Index      uint64 `json:"index"`
	StartIndex uint64 `json:"from,omitempty"`
	Sum        uint64 `json:"sum"`
}

// ChecksumHistory is the latest checksum points of a node, at most maxChecksumPoints, in ascending
// order of the index. Nodes exchange their histories to detect a replica whose state has diverged.
type ChecksumHistory []ChecksumPoint

// RecordBefore must be called before s applies the log entry at index. It adds a point at the last
// multiple of checksumInterval before index, unless that point is already recorded or s has applied
// later entries.
func (c ChecksumHistory) RecordBefore(index uint64, s *State) ChecksumHistory {
	pointIndex := (index - 1) / checksumInterval * checksumInterval
	if pointIndex == 0 || pointIndex < s.AppliedIndex || len(c) > 0 && c[len(c)-1].Index >= pointIndex {
		return c
	}
	c = append(c, ChecksumPoint{pointIndex, s.Checksum.StartIndex, s.Checksum.Sum})
	return c[max(0, len(c)-maxChecksumPoints):]
}

// Diverged compares a node's points with those of the other voters. It looks for the newest log index
// at which a majority of all voters has the same checksum, and reports that index and whether the
// majority's checksum differs from the node's own.
func (c ChecksumHistory) Diverged(others []ChecksumHistory, voters int) (index uint64, diverged bool) {
	for i := len(c) - 1; i >= 0; i-- {
		local := c[i]
		for sum, votes := range countChecksumVotes(others, local) {
			if sum == local.Sum {
				votes++
			}
			if 2*votes > voters {
				return local.Index, sum != local.Sum
			}
		}
	}
	return 0, false
}

// countChecksumVotes returns, for each checksum at the index and start index of the local point, how
// many other nodes reported it.
func countChecksumVotes(others []ChecksumHistory, local ChecksumPoint) map[uint64]int {
	votes := map[uint64]int{}
	for _, history := range others {
		for _, point := range history {
			if point.Index == local.Index && point.StartIndex == local.StartIndex {
				votes[point.Sum]++
			}
		}
	}
	return votes
}
