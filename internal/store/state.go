package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"

	"github.com/hashicorp/raft"
)

const (
	keyMost   = 200
	valueMost = 64 << 10
	keysMost  = 1000 // what the store holds is small
)

var errFull = errors.New("store is full")

// command sets or deletes a key. An entry of the log is a list of them, which
// come into force together.
type command struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"` // null deletes
}

func (c *command) check() error {
	switch {
	case c.Key == "" || len(c.Key) > keyMost:
		return fmt.Errorf("key %.40q: want 1 to %d bytes", c.Key, keyMost)
	case len(c.Value) > valueMost:
		return fmt.Errorf("value of %s: %d bytes, %d at most", c.Key, len(c.Value), valueMost)
	case len(c.Value) > 0 && !json.Valid(c.Value):
		return fmt.Errorf("value of %s: not JSON", c.Key)
	}
	return nil
}

// entry is a key's value and the log index that set it. A deleted key keeps its
// entry, so that the store of record hears of it.
type entry struct {
	Value json.RawMessage `json:"value,omitempty"` // left out, or null would come back as a value
	Index uint64          `json:"index"`
	Gone  bool            `json:"gone"`
}

// state is the replicated map; it is the raft.FSM.
type state struct {
	mu       sync.Mutex
	entries  map[string]entry
	watchers []func(key string, value json.RawMessage)
	changed  chan struct{}
}

func newState() *state {
	return &state{entries: map[string]entry{}, changed: make(chan struct{}, 1)}
}

func (s *state) watch(call func(string, json.RawMessage)) {
	s.mu.Lock()
	s.watchers = append(s.watchers, call)
	s.mu.Unlock()
}

func (s *state) get(key string) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, ok && !e.Gone
}

// since are the entries set after the index.
func (s *state) since(index uint64) map[string]entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := maps.Clone(s.entries)
	maps.DeleteFunc(out, func(_ string, e entry) bool { return e.Index <= index })
	return out
}

// Apply carries one entry of the log out, or nothing of it.
func (s *state) Apply(l *raft.Log) any {
	var list []command
	if err := json.Unmarshal(l.Data, &list); err != nil {
		return fmt.Errorf("log entry %d: %w", l.Index, err)
	}
	s.mu.Lock()
	added := 0
	for _, c := range list {
		if _, known := s.entries[c.Key]; !known {
			added++
		}
	}
	if len(s.entries)+added > keysMost {
		s.mu.Unlock()
		return errFull
	}
	for i, c := range list {
		if string(c.Value) == "null" {
			list[i].Value = nil
		}
		s.entries[c.Key] = entry{Value: list[i].Value, Index: l.Index, Gone: list[i].Value == nil}
	}
	watchers := s.watchers
	s.mu.Unlock()
	for _, c := range list {
		for _, w := range watchers {
			w(c.Key, c.Value)
		}
	}
	s.signal()
	return nil
}

func (s *state) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Snapshot returns the whole map.
func (s *state) Snapshot() (raft.FSMSnapshot, error) { return snapshot(s.since(0)), nil }

// Restore replaces the whole map.
func (s *state) Restore(r io.ReadCloser) error {
	defer r.Close()
	entries := map[string]entry{}
	if err := json.NewDecoder(r).Decode(&entries); err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	s.mu.Lock()
	s.entries = entries
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

type snapshot map[string]entry

// Persist writes a snapshot.
func (m snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(m); err != nil {
		sink.Cancel()
		return fmt.Errorf("write snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing: a snapshot is a copy.
func (m snapshot) Release() {}
