package raftstorage

import (
	"sync"

	"github.com/hashicorp/raft"
)

// confCache is the last configuration in the log, or in the snapshot below it, once it
// was looked for.
type confCache struct {
	mu    sync.Mutex
	known bool
	conf  raft.Configuration
	index uint64
}

func (c *confCache) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = false
}

func (c *confCache) stored(logs []*raft.Log) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range logs {
		if l.Type == raft.LogConfiguration {
			c.known, c.conf, c.index = true, raft.DecodeConfiguration(l.Data), l.Index
		}
	}
}

// Configuration is the last one in the log or, below it, in the snapshot, and its index.
// It may not be committed yet.
func (d *Storage) Configuration() (raft.Configuration, uint64, error) {
	d.conf.mu.Lock()
	defer d.conf.mu.Unlock()
	if d.conf.known {
		return d.conf.conf, d.conf.index, nil
	}
	var conf raft.Configuration
	var index uint64
	metas, err := d.List()
	if err != nil {
		return conf, 0, err
	}
	if len(metas) > 0 {
		conf, index = metas[0].Configuration, metas[0].ConfigurationIndex
	}
	first, last := d.log.Bounds()
	for i := last; i >= first && i > index; i-- {
		var l raft.Log
		switch err := d.GetLog(i, &l); {
		case err == raft.ErrLogNotFound: // cut off meanwhile
		case err != nil:
			return conf, 0, err
		case l.Type == raft.LogConfiguration:
			conf, index = raft.DecodeConfiguration(l.Data), i
		}
	}
	d.conf.known, d.conf.conf, d.conf.index = true, conf, index
	return conf, index, nil
}
