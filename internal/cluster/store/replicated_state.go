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

// historyLimits bound the revisions that are kept for watchers.
var historyLimits = watch.Limits{MaxRevisions: 4096, MaxBytes: 8 << 20}

// changeListener hears of a change; value is nil for a deleted key.
type changeListener func(key string, value json.RawMessage)

// replicatedState is the state machine of the log with those who watch it. Raft's goroutine alone
// writes it, by Apply and Restore; the others read it under the lock.
type replicatedState struct {
	mu        sync.Mutex
	data      *kv.State
	history   *watch.History
	checksums kv.ChecksumHistory // recent ones, to be compared with other voters'
	listeners []changeListener
	advanced  chan struct{} // closed when an entry was applied
	changed   chan struct{} // capacity 1: holds a token if an entry was applied since the mirror last took it

	// onLeaseGranted is called, without the lock, for a lease that went to one who waited.
	onLeaseGranted func(name, holder string)
}

var _ raft.FSM = (*replicatedState)(nil)

func newReplicatedState() *replicatedState {
	return &replicatedState{
		data:           kv.New(),
		history:        watch.NewHistory(historyLimits, 0),
		advanced:       make(chan struct{}),
		changed:        make(chan struct{}, 1),
		onLeaseGranted: func(string, string) {},
	}
}

// reset empties the state: Raft is about to replay the log.
func (s *replicatedState) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = kv.New()
	s.checksums = nil
	s.history.Reset(0)
	s.signalAdvanced()
}

// recentChecksums are those of the last states.
func (s *replicatedState) recentChecksums() kv.ChecksumHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.checksums)
}

// progress is the index of the last applied entry; advanced is closed at the next one.
func (s *replicatedState) progress() (applied uint64, advanced <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.AppliedIndex, s.advanced
}

// signalAdvanced is called with the lock held.
func (s *replicatedState) signalAdvanced() {
	close(s.advanced)
	s.advanced = make(chan struct{})
}

func (s *replicatedState) signalChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *replicatedState) listen(listener changeListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// valueBytes is the size of all values.
func (s *replicatedState) valueBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.ValueBytes()
}

// get is a key that is not deleted.
func (s *replicatedState) get(key string) (kv.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.data.Entries[key]
	return e, ok && !e.Deleted
}

// entriesAfter are the entries that were set or deleted after an index.
func (s *replicatedState) entriesAfter(index uint64) map[string]kv.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := maps.Clone(s.data.Entries)
	maps.DeleteFunc(entries, func(_ string, e kv.Entry) bool { return e.ModRevision <= index })
	return entries
}

// entries are all keys that are not deleted, and the revision of the state.
func (s *replicatedState) entries() (entries map[string]kv.Entry, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries = maps.Clone(s.data.Entries)
	maps.DeleteFunc(entries, func(_ string, e kv.Entry) bool { return e.Deleted })
	return entries, s.data.AppliedIndex
}

// revisionsSince reads the history. Its error is a watch.CompactedError.
func (s *replicatedState) revisionsSince(from uint64, prefix string, page watch.PageLimits) (list []watch.Revision, next uint64, more <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, next, err = s.history.Since(from, prefix, page)
	return list, next, s.advanced, err
}

// timeMS is the log's time in Unix milliseconds, 0 before the first request that has set it.
func (s *replicatedState) timeMS() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.LogTimeMS
}

// sessions is how many are open.
func (s *replicatedState) sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.data.Sessions)
}

// lastToken is the highest fencing token that was given.
func (s *replicatedState) lastToken() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Leases.LastToken
}

// withLeases runs a function on the leases, with the lock held.
func (s *replicatedState) withLeases(do func(*lease.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s.data.Leases)
}
