package raftstorage

import (
	"errors"
	"sync"

	"github.com/hashicorp/raft"
)

// Configuration is a Raft membership configuration and the index of its log entry, or 0 if no
// configuration is stored.
type Configuration struct {
	raft.Configuration
	Index uint64
}

// configurationCache caches the result of Storage.Configuration.
type configurationCache struct {
	mu            sync.Mutex
	valid         bool
	configuration Configuration
}

// invalidate discards the cached configuration, so that the next call of Storage.Configuration reads it
// from disk.
func (c *configurationCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.valid = false
}

// set caches a configuration. The caller must hold c.mu.
func (c *configurationCache) set(conf Configuration) {
	c.valid = true
	c.configuration = conf
}

// setFromEntries caches the last configuration among newly appended log entries, if there is one.
func (c *configurationCache) setFromEntries(entries []*raft.Log) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range entries {
		if entry.Type == raft.LogConfiguration {
			c.set(Configuration{raft.DecodeConfiguration(entry.Data), entry.Index})
		}
	}
}

// Configuration returns the last configuration in the log or, if the log has none, the configuration of
// the newest snapshot. The configuration may not be committed yet.
func (s *Storage) Configuration() (Configuration, error) {
	s.configCache.mu.Lock()
	defer s.configCache.mu.Unlock()
	if s.configCache.valid {
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
		case errors.Is(err, raft.ErrLogNotFound): // deleted by a concurrent call of DeleteRange
		case err != nil:
			return conf, err
		case entry.Type == raft.LogConfiguration:
			return Configuration{raft.DecodeConfiguration(entry.Data), i}, nil
		}
	}
	return conf, nil
}
