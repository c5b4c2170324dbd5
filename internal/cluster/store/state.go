package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/watch"
)

// What is kept for those who watch.
var historyLimits = watch.Limits{MaxRevisions: 4096, MaxBytes: 8 << 20}

// command sets or deletes a key. An entry of the log is a list of them, which come
// into force together, or a kv.Request. Lists are what the version before wrote, and
// stay in use where they say all, so that both versions can be in one cluster.
type command struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"` // null deletes
}

type entry = kv.Entry

// decodeLogEntry reads an entry of the log.
func decodeLogEntry(data []byte) (*kv.Request, error) {
	if !bytes.HasPrefix(data, []byte("[")) {
		r := &kv.Request{}
		return r, json.Unmarshal(data, r)
	}
	var list []command
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	return requestFromCommands(list), nil
}

// requestFromCommands is what a list of commands asks for.
func requestFromCommands(list []command) *kv.Request {
	r := &kv.Request{}
	for _, c := range list {
		if c.Value == nil || string(c.Value) == "null" {
			r.Then = append(r.Then, kv.Op{Kind: "delete", Key: c.Key})
		} else {
			r.Then = append(r.Then, kv.Op{Kind: "put", Key: c.Key, Value: c.Value})
		}
	}
	return r
}

// applyResult is what Apply gives to whoever proposed the entry.
type applyResult struct {
	answer kv.Response
	err    error
}

// replicatedState is the replicated state with those who watch it; it is the raft.FSM.
type replicatedState struct {
	mu             sync.Mutex
	data           *kv.State
	history        *watch.History
	listeners      []func(key string, value json.RawMessage)
	dirty          chan struct{}
	advanced       chan struct{}             // closed when a command was applied
	onLeaseGranted func(name, holder string) // called for a lease that went to one who waited
	checksums      kv.ChecksumHistory
}

func newReplicatedState() *replicatedState {
	return &replicatedState{data: kv.New(), history: watch.NewHistory(historyLimits, 0), dirty: make(chan struct{}, 1), advanced: make(chan struct{}),
		onLeaseGranted: func(string, string) {}}
}

// reset empties it: a log is about to be read again from its beginning.
func (s *replicatedState) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data, s.checksums = kv.New(), nil
	s.history.Reset(0)
	s.signalAdvanced()
}

// recentChecksums are the checksums of the state of late.
func (s *replicatedState) recentChecksums() kv.ChecksumHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.checksums)
}

// progress is the last command that the state has, and a channel that is closed once
// it has another.
func (s *replicatedState) progress() (applied uint64, moved <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Applied, s.advanced
}

// signalAdvanced is called with the lock held.
func (s *replicatedState) signalAdvanced() {
	close(s.advanced)
	s.advanced = make(chan struct{})
}

func (s *replicatedState) listen(call func(string, json.RawMessage)) {
	s.mu.Lock()
	s.listeners = append(s.listeners, call)
	s.mu.Unlock()
}

// valueBytes of all values.
func (s *replicatedState) valueBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.ValueBytes()
}

func (s *replicatedState) get(key string) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.data.Entries[key]
	return e, ok && !e.Deleted
}

// entriesAfter are the entries set after the index.
func (s *replicatedState) entriesAfter(index uint64) map[string]entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := maps.Clone(s.data.Entries)
	maps.DeleteFunc(out, func(_ string, e entry) bool { return e.ModRevision <= index })
	return out
}

// Follow gives the revisions from a position on, the position to go on from, and a
// channel that is closed once there is more.
func (s *replicatedState) revisionsSince(from uint64, prefix string, p watch.Page) (list []watch.Revision, next uint64, more <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, next, err = s.history.Since(from, prefix, p)
	return list, next, s.advanced, err
}

// entries is every key, and the revision at which they were so.
func (s *replicatedState) entries() (entries map[string]entry, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries = maps.Clone(s.data.Entries)
	maps.DeleteFunc(entries, func(_ string, e entry) bool { return e.Deleted })
	return entries, s.data.Applied
}

// Apply carries one entry of the log out, or nothing of it.
func (s *replicatedState) Apply(l *raft.Log) any {
	r, err := decodeLogEntry(l.Data)
	var out applyResult
	var changed []string
	s.mu.Lock()
	if err != nil {
		err = fmt.Errorf("log entry %d: %w", l.Index, err)
	}
	s.checksums = s.checksums.RecordBefore(l.Index, s.data)
	out.answer, changed, out.err = s.data.ApplyEntry(l.Index, l.Data, r, err)
	changes := make([]watch.Change, len(changed))
	for i, key := range changed {
		e := s.data.Entries[key]
		changes[i] = watch.Change{Key: key, Value: e.Value, Deleted: e.Deleted}
	}
	s.history.Add(l.Index, changes)
	s.signalAdvanced()
	watchers, given := s.listeners, s.onLeaseGranted
	var holders []string
	for _, name := range out.answer.GrantedLeases {
		holders = append(holders, s.data.Leases.Leases[name].Holder)
	}
	s.mu.Unlock()
	for i, name := range out.answer.GrantedLeases {
		given(name, holders[i])
	}
	for _, c := range changes {
		for _, w := range watchers {
			w(c.Key, c.Value)
		}
	}
	s.signalDirty()
	return out
}

func (s *replicatedState) signalDirty() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// Snapshot returns the whole state.
func (s *replicatedState) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &snapshot{s.data.Clone()}, nil
}

// Restore replaces the whole state. A snapshot of the version before is a bare map
// of entries.
func (s *replicatedState) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	from := kv.New()
	var form struct {
		Applied *uint64      `json:"applied"`
		Sum     *kv.Checksum `json:"sum"`
	}
	if json.Unmarshal(text, &form) == nil && form.Applied != nil {
		err = json.Unmarshal(text, from)
	} else if err = json.Unmarshal(text, &from.Entries); err == nil {
		for _, e := range from.Entries {
			from.Applied = max(from.Applied, e.ModRevision)
		}
	}
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	if from.Leases == nil || from.Leases.Leases == nil {
		from.Leases = lease.NewState(0)
	}
	if form.Sum == nil { // of a version that kept none
		from.Checksum = kv.Checksum{StartIndex: from.Applied}
	}
	s.mu.Lock()
	s.data, s.checksums = from, nil
	s.history.Reset(from.Applied)
	entries := maps.Clone(from.Entries)
	s.signalAdvanced()
	watchers := s.listeners
	s.mu.Unlock()
	for key, e := range entries {
		for _, w := range watchers {
			w(key, e.Value)
		}
	}
	s.signalDirty()
	return nil
}

// snapshot is a copy of the whole state.
type snapshot struct{ *kv.State }

// Persist writes a snapshot.
func (m *snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(m.State); err != nil {
		sink.Cancel()
		return fmt.Errorf("write snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing: a snapshot is a copy.
func (m *snapshot) Release() {}
