package raftstorage

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
)

// Configuration is a configuration of the cluster, and the index of its log entry: 0 if there is none.
type Configuration struct {
	raft.Configuration
	Index uint64
}

// configurationCache is the last configuration in the log, or in the snapshot below it, once it was
// looked up.
type configurationCache struct {
	mu            sync.Mutex
	known         bool
	configuration Configuration
}

// invalidate has the configuration looked up again.
func (c *configurationCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = false
}

// set is called with the lock held.
func (c *configurationCache) set(conf Configuration) {
	c.known = true
	c.configuration = conf
}

// setFromEntries takes over a configuration among appended entries.
func (c *configurationCache) setFromEntries(entries []*raft.Log) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range entries {
		if entry.Type == raft.LogConfiguration {
			c.set(Configuration{raft.DecodeConfiguration(entry.Data), entry.Index})
		}
	}
}

// Configuration is the last one in the log or, below it, in the newest snapshot. It may not be
// committed yet.
func (s *Storage) Configuration() (Configuration, error) {
	s.configCache.mu.Lock()
	defer s.configCache.mu.Unlock()
	if s.configCache.known {
		return s.configCache.configuration, nil
	}
	conf, err := s.findConfiguration()
	if err != nil {
		return Configuration{Configuration: conf.Configuration}, err
	}
	s.configCache.set(conf)
	return conf, nil
}

func (s *Storage) findConfiguration() (conf Configuration, err error) {
	metas, err := s.List()
	if err != nil {
		return conf, err
	}
	if len(metas) > 0 {
		conf = Configuration{metas[0].Configuration, metas[0].ConfigurationIndex}
	}
	first, last := s.log.Bounds()
	for i := last; i >= first && i > conf.Index; i-- {
		var entry raft.Log
		switch err := s.GetLog(i, &entry); {
		case errors.Is(err, raft.ErrLogNotFound): // cut off meanwhile
		case err != nil:
			return conf, err
		case entry.Type == raft.LogConfiguration:
			return Configuration{raft.DecodeConfiguration(entry.Data), i}, nil
		}
	}
	return conf, nil
}
