package raftstorage

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/stream"
)

// IsMonotonic has Raft leave no gap in the log.
func (s *Storage) IsMonotonic() bool { return true }

// FirstIndex is 0 if there is no entry.
func (s *Storage) FirstIndex() (uint64, error) {
	first, _ := s.log.Bounds()
	return first, nil
}

// LastIndex is 0 if there is no entry.
func (s *Storage) LastIndex() (uint64, error) {
	_, last := s.log.Bounds()
	return last, nil
}

// GetLog reads one entry. Its error is raft.ErrLogNotFound if there is none.
func (s *Storage) GetLog(index uint64, to *raft.Log) error {
	b, err := s.log.Get(index)
	if errors.Is(err, stream.ErrEntryNotFound) {
		return raft.ErrLogNotFound
	}
	if err != nil {
		return fmt.Errorf("log entry %d: %w", index, err)
	}
	if err := decodeEntry(b, to); err != nil {
		return fmt.Errorf("log entry %d: %w", index, err)
	}
	to.Index = index
	return nil
}

// StoreLog appends one entry, synced.
func (s *Storage) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs appends entries, synced. After a crash only the first ones may be there.
func (s *Storage) StoreLogs(entries []*raft.Log) error {
	for len(entries) > 0 {
		encoded, err := encodeBatch(entries)
		if err != nil {
			return err
		}
		if err := s.log.Append(entries[0].Index, encoded, durable.Synced); err != nil {
			return err
		}
		s.configCache.setFromEntries(entries[:len(encoded)])
		entries = entries[len(encoded):]
	}
	return nil
}

// encodeBatch encodes the first entries, up to appendBatchBytes and at least one.
func encodeBatch(entries []*raft.Log) (encoded [][]byte, err error) {
	size := 0
	for i, entry := range entries {
		if size >= appendBatchBytes {
			break
		}
		if entry.Index != entries[0].Index+uint64(i) {
			return nil, fmt.Errorf("log entry %d: %w", entry.Index, stream.ErrGap)
		}
		b := encodeEntry(entry)
		encoded = append(encoded, b)
		size += len(b)
	}
	return encoded, nil
}

// DeleteRange cuts the entries from one index to another, both included, off at the front or at the
// back.
func (s *Storage) DeleteRange(from, to uint64) error {
	first, last := s.log.Bounds()
	defer s.configCache.invalidate()
	switch {
	case first == 0 || to < first || from > last:
		return nil
	case from <= first:
		return s.log.TruncateFront(to+1, durable.Synced)
	case to >= last:
		return s.log.TruncateBack(from, durable.Synced)
	}
	return fmt.Errorf("entries %d to %d lie inside of %d to %d", from, to, first, last)
}
