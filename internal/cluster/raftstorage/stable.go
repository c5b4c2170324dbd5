package raftstorage

import (
	"encoding/binary"
	"errors"
	"fmt"

	"oxbowbridge/internal/storage/durable"
)

// uint64Bytes is the length of a stored number.
const uint64Bytes = 8

// errKeyNotFound has the text by which Raft recognizes it.
var errKeyNotFound = errors.New("not found")

func stableKey(key []byte) []byte { return append([]byte(prefixStable), key...) }

// Set writes a stable key, synced.
func (s *Storage) Set(key, value []byte) error { return s.store.Put(stableKey(key), value) }

// Get reads a stable key.
func (s *Storage) Get(key []byte) ([]byte, error) {
	v, err := s.store.Get(stableKey(key), 0)
	if errors.Is(err, durable.ErrNotFound) {
		return nil, errKeyNotFound
	}
	return v, err
}

// SetUint64 writes a number under a stable key, synced.
func (s *Storage) SetUint64(key []byte, n uint64) error {
	return s.Set(key, binary.BigEndian.AppendUint64(nil, n))
}

// GetUint64 reads a number; 0 if it was never set.
func (s *Storage) GetUint64(key []byte) (uint64, error) {
	v, err := s.Get(key)
	if errors.Is(err, errKeyNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if len(v) != uint64Bytes {
		return 0, fmt.Errorf("stable key %q: %d bytes, want 8", key, len(v))
	}
	return binary.BigEndian.Uint64(v), nil
}
