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

// OnChange has listener called for each change from now on, in the order of the log; value is nil
// for a deleted key. It is called on Raft's goroutine and must not block.
func (s *Store) OnChange(listener func(key string, value json.RawMessage)) { s.state.listen(listener) }

// Entry reads a key with its revision from this node's state, however old that is.
func (s *Store) Entry(key string) (kv.Entry, bool) { return s.state.get(key) }

// Get reads a key's value from this node's state, however old that is.
func (s *Store) Get(key string) (json.RawMessage, bool) {
	e, ok := s.state.get(key)
	return e.Value, ok
}

// Entries is every key of this node's state, and the revision of that state.
func (s *Store) Entries() (map[string]kv.Entry, uint64) { return s.state.entries() }

// RevisionsSince reads the history of keys with a prefix from a revision on. next is the revision
// to go on from; more is closed once there is one.
func (s *Store) RevisionsSince(from uint64, prefix string, page watch.PageLimits) (list []watch.Revision, next uint64, more <-chan struct{}, err error) {
	return s.state.revisionsSince(from, prefix, page)
}

// AppliedRevision is the last revision in this node's state.
func (s *Store) AppliedRevision() uint64 {
	applied, _ := s.state.progress()
	return applied
}

// Sessions is how many sessions are open in this node's state.
func (s *Store) Sessions() int { return s.state.sessions() }

// LastToken is the highest fencing token in this node's state.
func (s *Store) LastToken() uint64 { return s.state.lastToken() }

// WaitCaughtUp waits until this node knows all that was committed when it was called, and reports
// whether it does. It gives up when ctx ends.
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
