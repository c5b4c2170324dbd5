package raftstorage

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
)

// currentTermKey is Raft's stable key for the current term.
const currentTermKey = "CurrentTerm"

// lastEntryReadAttempts is how often the last entry is read: it may be cut off after its index was
// looked up.
const lastEntryReadAttempts = 3

// Watermark is how far the disk has come, without the number of its starts.
func (s *Storage) Watermark() (watermark diskidentity.Watermark, err error) {
	if watermark.Term, err = s.GetUint64([]byte(currentTermKey)); err != nil {
		return watermark, fmt.Errorf("term: %w", err)
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

// readLastEntry sets the log's part of a watermark, if the log has an entry.
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
