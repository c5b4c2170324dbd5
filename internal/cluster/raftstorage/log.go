package raftstorage

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/stream"
)

// IsMonotonic implements raft.MonotonicLogStore: the log must not have gaps, so after installing a
// snapshot Raft deletes all log entries.
func (s *Storage) IsMonotonic() bool { return true }

// FirstIndex returns the index of the first log entry, or 0 if the log is empty.
func (s *Storage) FirstIndex() (uint64, error) {
	first, _ := s.log.Bounds()
	return first, nil
}

// LastIndex returns the index of the last log entry, or 0 if the log is empty.
func (s *Storage) LastIndex() (uint64, error) {
	_, last := s.log.Bounds()
	return last, nil
}

// GetLog reads one log entry. It returns raft.ErrLogNotFound if the entry does not exist.
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

// StoreLog appends and syncs one log entry.
func (s *Storage) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs appends and syncs log entries. After a crash during the call, the log may contain only the
// first of them.
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

// encodeBatch encodes entries from the first one on, until their size reaches appendBatchBytes.
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

// DeleteRange deletes the log entries in a range of indexes, both ends included. The range must include
// the first or the last entry of the log.
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
	return fmt.Errorf("delete log entries %d to %d: the range must include the first (%d) or the last (%d) log entry", from, to, first, last)
}
