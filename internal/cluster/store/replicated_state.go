package store

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/watch"
)

// historyLimits bound the revisions that are retained for watchers.
var historyLimits = watch.Limits{MaxRevisions: 4096, MaxBytes: 8 << 20}

// changeListener is called for a change; value is nil for a deleted key.
type changeListener func(key string, value json.RawMessage)

// replicatedState is the state machine of the log, with its listeners and watchers. Only Raft's goroutine
// writes it, by Apply and Restore; others read it under the lock.
type replicatedState struct {
	mu         sync.Mutex
	data       *kv.State
	history    *watch.History
	checksums  kv.ChecksumHistory // recent checksums, to compare with those of other voters
	listeners  []changeListener
	advanced   chan struct{} // closed when the next entry is applied
	mirrorWake chan struct{} // capacity 1: holds a token if an entry was applied since the mirror last received a token

	// onLeaseGranted is called without the lock when a lease is granted to a waiting holder.
	onLeaseGranted func(name, holder string)
}

var _ raft.FSM = (*replicatedState)(nil)

func newReplicatedState() *replicatedState {
	return &replicatedState{
		data:           kv.New(),
		history:        watch.NewHistory(historyLimits, 0),
		advanced:       make(chan struct{}),
		mirrorWake:     make(chan struct{}, 1),
		onLeaseGranted: func(string, string) {},
	}
}

// reset empties the state before Raft replays the log.
func (s *replicatedState) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = kv.New()
	s.checksums = nil
	s.history.Reset(0)
	s.signalAdvanced()
}

// recentChecksums returns the checksums of the most recent states.
func (s *replicatedState) recentChecksums() kv.ChecksumHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.checksums)
}

// progress returns the index of the last applied entry; advanced is closed when the next one is applied.
func (s *replicatedState) progress() (applied uint64, advanced <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.AppliedIndex, s.advanced
}

// signalAdvanced wakes those that wait for an applied entry. The caller holds the lock.
func (s *replicatedState) signalAdvanced() {
	close(s.advanced)
	s.advanced = make(chan struct{})
}

func (s *replicatedState) wakeMirror() {
	select {
	case s.mirrorWake <- struct{}{}:
	default:
	}
}

func (s *replicatedState) addListener(listener changeListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// valueBytes returns the total size of all values.
func (s *replicatedState) valueBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.ValueBytes()
}

// get returns the entry of a key that is not deleted.
func (s *replicatedState) get(key string) (kv.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.data.Entries[key]
	return e, ok && !e.Deleted
}

// entriesAfter returns the entries that were set or deleted after a log index.
func (s *replicatedState) entriesAfter(index uint64) map[string]kv.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := maps.Clone(s.data.Entries)
	maps.DeleteFunc(entries, func(_ string, e kv.Entry) bool { return e.ModRevision <= index })
	return entries
}

// entries returns all keys that are not deleted, and the revision of the state.
func (s *replicatedState) entries() (entries map[string]kv.Entry, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries = maps.Clone(s.data.Entries)
	maps.DeleteFunc(entries, func(_ string, e kv.Entry) bool { return e.Deleted })
	return entries, s.data.AppliedIndex
}

// revisionsSince reads the history (see Store.RevisionsSince). Its error is a watch.CompactedError.
func (s *replicatedState) revisionsSince(
	from uint64,
	prefix string,
	page watch.PageLimits,
) (list []watch.Revision, next uint64, more <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, next, err = s.history.Since(from, prefix, page)
	return list, next, s.advanced, err
}

// timeMS returns the last time stamp in the log in Unix milliseconds, or 0 if no request has set one.
func (s *replicatedState) timeMS() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.LogTimeMS
}

// sessionCount returns the number of open sessions.
func (s *replicatedState) sessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.data.Sessions)
}

// lastFencingToken returns the highest fencing token that was granted.
func (s *replicatedState) lastFencingToken() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Leases.LastToken
}

// withLeases calls fn on the leases with the lock held.
func (s *replicatedState) withLeases(fn func(*lease.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.data.Leases)
}
