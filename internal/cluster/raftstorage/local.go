package raftstorage

import (
	"errors"

	"oxbowbridge/internal/storage/durable"
)

func localKey(key string) []byte { return []byte(prefixLocal + key) }

// PutLocal writes and syncs a value of the node, which is not Raft's.
func (s *Storage) PutLocal(key string, value []byte) error { return s.store.Put(localKey(key), value) }

// PutLocalUnsynced writes a value of the node that need not survive a loss of power.
func (s *Storage) PutLocalUnsynced(key string, value []byte) error {
	var b durable.Batch
	b.Put(localKey(key), value, 0)
	_, err := s.store.Apply(&b, durable.Buffered)
	return err
}

// GetLocal reads a value of the node; nil if it was never written.
func (s *Storage) GetLocal(key string) ([]byte, error) {
	v, err := s.store.Get(localKey(key), 0)
	if errors.Is(err, durable.ErrNotFound) {
		return nil, nil
	}
	return v, err
}
