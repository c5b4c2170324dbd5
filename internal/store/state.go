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
	applied  uint64        // the last command of the log that is in it
	moved    chan struct{} // closed when that grows
}

func newState() *state {
	return &state{entries: map[string]entry{}, changed: make(chan struct{}, 1), moved: make(chan struct{})}
}

// progress is the last command that the state has, and a channel that is closed once
// it has another.
func (s *state) progress() (applied uint64, moved <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied, s.moved
}

// advance is called with the lock held.
func (s *state) advance(index uint64) {
	s.applied = index
	close(s.moved)
	s.moved = make(chan struct{})
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
	err := json.Unmarshal(l.Data, &list)
	s.mu.Lock()
	if err != nil {
		s.advance(l.Index)
		s.mu.Unlock()
		return fmt.Errorf("log entry %d: %w", l.Index, err)
	}
	added := 0
	for _, c := range list {
		if _, known := s.entries[c.Key]; !known {
			added++
		}
	}
	if len(s.entries)+added > keysMost {
		s.advance(l.Index)
		s.mu.Unlock()
		return errFull
	}
	for i, c := range list {
		if string(c.Value) == "null" {
			list[i].Value = nil
		}
		s.entries[c.Key] = entry{Value: list[i].Value, Index: l.Index, Gone: list[i].Value == nil}
	}
	s.advance(l.Index)
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
func (s *state) Snapshot() (raft.FSMSnapshot, error) {
	applied, _ := s.progress() // nothing is applied meanwhile
	return &snapshot{Applied: applied, Entries: s.since(0)}, nil
}

// Restore replaces the whole map.
func (s *state) Restore(r io.ReadCloser) error {
	defer r.Close()
	from := snapshot{Entries: map[string]entry{}}
	if err := json.NewDecoder(r).Decode(&from); err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	s.mu.Lock()
	s.entries = from.Entries
	s.advance(from.Applied)
	watchers := s.watchers
	s.mu.Unlock()
	for key, e := range from.Entries {
		for _, w := range watchers {
			w(key, e.Value)
		}
	}
	s.signal()
	return nil
}

// snapshot is the whole map, and the last command in it.
type snapshot struct {
	Applied uint64           `json:"applied"`
	Entries map[string]entry `json:"entries"`
}

// Persist writes a snapshot.
func (m *snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(m); err != nil {
		sink.Cancel()
		return fmt.Errorf("write snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing: a snapshot is a copy.
func (m *snapshot) Release() {}
