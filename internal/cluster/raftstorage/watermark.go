package raftstorage

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
)

// currentTermKey is Raft's stable key for the current term.
const currentTermKey = "CurrentTerm"

// lastEntryAttempts is how often the last entry is read: it may be cut off after its index was
// looked up.
const lastEntryAttempts = 3

// Watermark is how far the disk has come, without the number of its starts.
func (s *Storage) Watermark() (mark diskidentity.Watermark, err error) {
	if mark.Term, err = s.GetUint64([]byte(currentTermKey)); err != nil {
		return mark, fmt.Errorf("term: %w", err)
	}
	found, err := s.lastEntry(&mark)
	if err != nil || found {
		return mark, err
	}
	metas, err := s.List()
	if err == nil && len(metas) > 0 {
		mark.LastTerm = metas[0].Term
		mark.LastIndex = metas[0].Index
	}
	return mark, err
}

// lastEntry sets the log's part of a watermark, if the log has an entry.
func (s *Storage) lastEntry(mark *diskidentity.Watermark) (found bool, err error) {
	for range lastEntryAttempts {
		_, last := s.log.Bounds()
		if last == 0 {
			return false, nil
		}
		var entry raft.Log
		err := s.GetLog(last, &entry)
		if err == nil {
			mark.LastTerm = entry.Term
			mark.LastIndex = last
			return true, nil
		}
		if !errors.Is(err, raft.ErrLogNotFound) {
			return false, err
		}
	}
	return false, nil
}
