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

// requestOf reads an entry of the log.
func requestOf(data []byte) (*kv.Request, error) {
	if !bytes.HasPrefix(data, []byte("[")) {
		r := &kv.Request{}
		return r, json.Unmarshal(data, r)
	}
	var list []command
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	return requestFor(list), nil
}

// requestFor is what a list of commands asks for.
func requestFor(list []command) *kv.Request {
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

// outcome is what Apply gives to whoever proposed the entry.
type outcome struct {
	answer kv.Response
	err    error
}

// state is the replicated state with those who watch it; it is the raft.FSM.
type state struct {
	mu       sync.Mutex
	kv       *kv.State
	history  *watch.History
	watchers []func(key string, value json.RawMessage)
	changed  chan struct{}
	moved    chan struct{}             // closed when a command was applied
	given    func(name, holder string) // called for a lease that went to one who waited
	checks   kv.ChecksumHistory
}

func newState() *state {
	return &state{kv: kv.New(), history: watch.NewHistory(historyLimits, 0), changed: make(chan struct{}, 1), moved: make(chan struct{}),
		given: func(string, string) {}}
}

// reset empties it: a log is about to be read again from its beginning.
func (s *state) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kv, s.checks = kv.New(), nil
	s.history.Reset(0)
	s.advance()
}

// checked are the checksums of the state of late.
func (s *state) checked() kv.ChecksumHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.checks)
}

// progress is the last command that the state has, and a channel that is closed once
// it has another.
func (s *state) progress() (applied uint64, moved <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kv.Applied, s.moved
}

// advance is called with the lock held.
func (s *state) advance() {
	close(s.moved)
	s.moved = make(chan struct{})
}

func (s *state) watch(call func(string, json.RawMessage)) {
	s.mu.Lock()
	s.watchers = append(s.watchers, call)
	s.mu.Unlock()
}

// bytes of all values.
func (s *state) bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kv.ValueBytes()
}

func (s *state) get(key string) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.kv.Entries[key]
	return e, ok && !e.Deleted
}

// since are the entries set after the index.
func (s *state) since(index uint64) map[string]entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := maps.Clone(s.kv.Entries)
	maps.DeleteFunc(out, func(_ string, e entry) bool { return e.ModRevision <= index })
	return out
}

// Follow gives the revisions from a position on, the position to go on from, and a
// channel that is closed once there is more.
func (s *state) follow(from uint64, prefix string, p watch.Page) (list []watch.Revision, next uint64, more <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, next, err = s.history.Since(from, prefix, p)
	return list, next, s.moved, err
}

// all is every key, and the revision at which they were so.
func (s *state) all() (entries map[string]entry, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries = maps.Clone(s.kv.Entries)
	maps.DeleteFunc(entries, func(_ string, e entry) bool { return e.Deleted })
	return entries, s.kv.Applied
}

// Apply carries one entry of the log out, or nothing of it.
func (s *state) Apply(l *raft.Log) any {
	r, err := requestOf(l.Data)
	var out outcome
	var changed []string
	s.mu.Lock()
	if err != nil {
		err = fmt.Errorf("log entry %d: %w", l.Index, err)
	}
	s.checks = s.checks.RecordBefore(l.Index, s.kv)
	out.answer, changed, out.err = s.kv.ApplyEntry(l.Index, l.Data, r, err)
	changes := make([]watch.Change, len(changed))
	for i, key := range changed {
		e := s.kv.Entries[key]
		changes[i] = watch.Change{Key: key, Value: e.Value, Deleted: e.Deleted}
	}
	s.history.Add(l.Index, changes)
	s.advance()
	watchers, given := s.watchers, s.given
	var holders []string
	for _, name := range out.answer.GrantedLeases {
		holders = append(holders, s.kv.Leases.Leases[name].Holder)
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
	s.signal()
	return out
}

func (s *state) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Snapshot returns the whole state.
func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &snapshot{s.kv.Clone()}, nil
}

// Restore replaces the whole state. A snapshot of the version before is a bare map
// of entries.
func (s *state) Restore(r io.ReadCloser) error {
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
	s.kv, s.checks = from, nil
	s.history.Reset(from.Applied)
	entries := maps.Clone(from.Entries)
	s.advance()
	watchers := s.watchers
	s.mu.Unlock()
	for key, e := range entries {
		for _, w := range watchers {
			w(key, e.Value)
		}
	}
	s.signal()
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
