package raftstorage

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
)

// configurationCache is the last configuration in the log, or in the snapshot below it, once it was
// looked up.
type configurationCache struct {
	mu    sync.Mutex
	known bool
	conf  raft.Configuration
	index uint64
}

// forget has the configuration looked up again.
func (c *configurationCache) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = false
}

// set is called with the lock held.
func (c *configurationCache) set(conf raft.Configuration, index uint64) {
	c.known = true
	c.conf = conf
	c.index = index
}

// noteStored takes over a configuration among appended entries.
func (c *configurationCache) noteStored(entries []*raft.Log) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range entries {
		if entry.Type == raft.LogConfiguration {
			c.set(raft.DecodeConfiguration(entry.Data), entry.Index)
		}
	}
}

// Configuration is the last one in the log or, below it, in the newest snapshot, and its index. It
// may not be committed yet.
func (s *Storage) Configuration() (raft.Configuration, uint64, error) {
	s.conf.mu.Lock()
	defer s.conf.mu.Unlock()
	if s.conf.known {
		return s.conf.conf, s.conf.index, nil
	}
	conf, index, err := s.findConfiguration()
	if err != nil {
		return conf, 0, err
	}
	s.conf.set(conf, index)
	return conf, index, nil
}

func (s *Storage) findConfiguration() (conf raft.Configuration, index uint64, err error) {
	metas, err := s.List()
	if err != nil {
		return conf, 0, err
	}
	if len(metas) > 0 {
		conf = metas[0].Configuration
		index = metas[0].ConfigurationIndex
	}
	first, last := s.log.Bounds()
	for i := last; i >= first && i > index; i-- {
		var entry raft.Log
		switch err := s.GetLog(i, &entry); {
		case errors.Is(err, raft.ErrLogNotFound): // cut off meanwhile
		case err != nil:
			return conf, 0, err
		case entry.Type == raft.LogConfiguration:
			return raft.DecodeConfiguration(entry.Data), i, nil
		}
	}
	return conf, index, nil
}
