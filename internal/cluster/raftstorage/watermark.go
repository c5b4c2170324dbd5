package raftstorage

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
)

// currentTermKey is the stable key under which Raft stores its current term.
const currentTermKey = "CurrentTerm"

// lastEntryReadAttempts is how many times reading the last log entry is attempted. Raft may delete the
// entry between the lookup of its index and the read.
const lastEntryReadAttempts = 3

// Watermark returns the watermark of the disk: the current term, and the term and index of the last log
// entry or, if the log is empty, of the newest snapshot. The number of starts is not set.
func (s *Storage) Watermark() (watermark diskidentity.Watermark, err error) {
	if watermark.Term, err = s.GetUint64([]byte(currentTermKey)); err != nil {
		return watermark, fmt.Errorf("read current term: %w", err)
	}
	found, err := s.readLastEntry(&watermark)
	if err != nil || found {
		return watermark, err
	}
	metas, err := s.List()
	if err == nil && len(metas) > 0 {
		watermark.LastTerm = metas[0].Term
		watermark.LastIndex = metas[0].Index
	}
	return watermark, err
}

// readLastEntry sets LastTerm and LastIndex of watermark to the term and index of the last log entry. It
// returns false if it found no entry.
func (s *Storage) readLastEntry(watermark *diskidentity.Watermark) (found bool, err error) {
	for range lastEntryReadAttempts {
		_, last := s.log.Bounds()
		if last == 0 {
			return false, nil
		}
		var entry raft.Log
		err := s.GetLog(last, &entry)
		if err == nil {
			watermark.LastTerm = entry.Term
			watermark.LastIndex = last
			return true, nil
		}
		if !errors.Is(err, raft.ErrLogNotFound) {
			return false, err
		}
	}
	return false, nil
}
