package store

import (
	"encoding/json"
	"fmt"
)

// LastGoodVersion is a version of a key that the service has started with.
type LastGoodVersion struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// SaveLastGood stores the good version of a key on this node's disk, for a start at which no
// majority can be reached.
func (s *Store) SaveLastGood(key string, good LastGoodVersion) error {
	inc, err := s.running()
	if err != nil {
		return err
	}
	text, err := json.Marshal(good)
	if err == nil {
		err = inc.storage.PutLocal(key, text)
	}
	if err != nil {
		return fmt.Errorf("keep %s: %w", key, err)
	}
	return nil
}

// LastGood is what SaveLastGood was last given. It can be read before Raft runs.
func (s *Store) LastGood(key string) (good LastGoodVersion, found bool, err error) {
	disk := s.disk.Load()
	if disk == nil {
		return good, false, nil
	}
	text, err := disk.storage.GetLocal(key)
	if err != nil || text == nil {
		return good, false, err
	}
	err = json.Unmarshal(text, &good)
	return good, err == nil, err
}
