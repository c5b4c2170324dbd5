package raftstorage

import (
	"errors"

	"oxbowbridge/internal/storage/durable"
)

func localKey(key string) []byte { return []byte(prefixLocal + key) }

// PutLocal writes and syncs a local value of the node, separate from Raft's stable values.
func (s *Storage) PutLocal(key string, value []byte) error { return s.store.Put(localKey(key), value) }

// PutLocalUnsynced writes a local value of the node without a sync. A power failure may lose the value.
func (s *Storage) PutLocalUnsynced(key string, value []byte) error {
	var b durable.Batch
	b.Put(localKey(key), value, 0)
	_, err := s.store.Apply(&b, durable.Buffered)
	return err
}

// GetLocal reads a local value of the node. It returns nil if the value was never written.
func (s *Storage) GetLocal(key string) ([]byte, error) {
	v, err := s.store.Get(localKey(key), 0)
	if errors.Is(err, durable.ErrNotFound) {
		return nil, nil
	}
	return v, err
}
