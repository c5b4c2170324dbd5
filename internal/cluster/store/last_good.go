package store

import (
	"encoding/json"
	"fmt"
)

// LastGoodVersion is a version of a key's value that the service has started with.
type LastGoodVersion struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// SaveLastGood stores the last good version of a key on this node's disk. A node that starts without a
// majority uses it.
func (s *Store) SaveLastGood(key string, good LastGoodVersion) error {
	inc, err := s.running()
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(good)
	if err == nil {
		err = inc.storage.PutLocal(key, encoded)
	}
	if err != nil {
		return fmt.Errorf("save last good version of %s: %w", key, err)
	}
	return nil
}

// LastGood returns the version that SaveLastGood stored last. It works before Raft runs, once the storage
// folder is open.
func (s *Store) LastGood(key string) (good LastGoodVersion, found bool, err error) {
	disk := s.currentDisk.Load()
	if disk == nil {
		return good, false, nil
	}
	encoded, err := disk.storage.GetLocal(key)
	if err != nil || encoded == nil {
		return good, false, err
	}
	err = json.Unmarshal(encoded, &good)
	return good, err == nil, err
}
