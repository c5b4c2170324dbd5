package store

import (
	"context"
	"encoding/json"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/watch"
)

// catchUpRetryInterval is the pause between two attempts of WaitCaughtUp.
const catchUpRetryInterval = 50 * time.Millisecond

// OnChange registers a listener that is called for each later change, in log order. value is nil for a
// deleted key. The listener runs on Raft's goroutine and must not block.
func (s *Store) OnChange(listener func(key string, value json.RawMessage)) {
	s.state.addListener(listener)
}

// Entry returns a key's entry in this node's state, which may be stale.
func (s *Store) Entry(key string) (kv.Entry, bool) { return s.state.get(key) }

// Get returns a key's value in this node's state, which may be stale.
func (s *Store) Get(key string) (json.RawMessage, bool) {
	e, ok := s.state.get(key)
	return e.Value, ok
}

// Entries returns all keys of this node's state, and the revision of that state.
func (s *Store) Entries() (map[string]kv.Entry, uint64) { return s.state.entries() }

// RevisionsSince returns the revisions of keys with a prefix, starting at from. next is the revision at
// which to continue; more is closed once that revision exists.
func (s *Store) RevisionsSince(from uint64, prefix string, page watch.PageLimits) (list []watch.Revision, next uint64, more <-chan struct{}, err error) {
	return s.state.revisionsSince(from, prefix, page)
}

// AppliedRevision returns the latest revision of this node's state.
func (s *Store) AppliedRevision() uint64 {
	applied, _ := s.state.progress()
	return applied
}

// SessionCount returns the number of open sessions in this node's state.
func (s *Store) SessionCount() int { return s.state.sessionCount() }

// LastFencingToken returns the highest fencing token in this node's state.
func (s *Store) LastFencingToken() uint64 { return s.state.lastFencingToken() }

// WaitCaughtUp waits until this node's state includes all entries that were committed before the call. It
// returns false if ctx ends first.
func (s *Store) WaitCaughtUp(ctx context.Context) bool {
	for {
		if _, err := s.WaitFresh(ctx, Freshness{}); err == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(catchUpRetryInterval):
		}
	}
}
