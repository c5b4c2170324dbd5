package raftstorage

import (
	"encoding/binary"
	"errors"
	"fmt"

	"oxbowbridge/internal/storage/durable"
)

// uint64Bytes is the encoded size of a number.
const uint64Bytes = 8

// errKeyNotFound has the text "not found" because Raft recognizes a missing key by this text.
var errKeyNotFound = errors.New("not found")

func stableKey(key []byte) []byte { return append([]byte(prefixStable), key...) }

// Set writes and syncs a stable value.
func (s *Storage) Set(key, value []byte) error { return s.store.Put(stableKey(key), value) }

// Get reads a stable value.
func (s *Storage) Get(key []byte) ([]byte, error) {
	v, err := s.store.Get(stableKey(key), 0)
	if errors.Is(err, durable.ErrNotFound) {
		return nil, errKeyNotFound
	}
	return v, err
}

// SetUint64 writes and syncs a number as a stable value.
func (s *Storage) SetUint64(key []byte, n uint64) error {
	return s.Set(key, binary.BigEndian.AppendUint64(nil, n))
}

// GetUint64 reads a number that SetUint64 wrote. It returns 0 if the key was never written.
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
