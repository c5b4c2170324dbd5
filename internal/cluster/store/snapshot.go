package store

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/watch"
)

// snapshot is a copy of the whole state.
type snapshot struct{ *kv.State }

// Snapshot copies the whole state. It is Raft's to call.
func (s *replicatedState) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &snapshot{s.data.Clone()}, nil
}

// Persist writes a snapshot as JSON.
func (m *snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(m.State); err != nil {
		sink.Cancel()
		return fmt.Errorf("write snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing: a snapshot is a copy.
func (m *snapshot) Release() {}

// Restore replaces the whole state by a snapshot. It is Raft's to call. Listeners hear of every
// entry of the new state, but not of keys that it lacks.
func (s *replicatedState) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	restored, err := decodeSnapshot(text)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	s.replace(restored).notify()
	s.signalChanged()
	return nil
}

// replace takes a state over, and returns its entries as changes.
func (s *replicatedState) replace(restored *kv.State) (out effects) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = restored
	s.checksums = nil
	s.history.Reset(restored.AppliedIndex)
	for key, e := range restored.Entries {
		out.changes = append(out.changes, watch.Change{Key: key, Value: e.Value, Deleted: e.Deleted})
	}
	s.signalAdvanced()
	out.listeners = s.listeners
	return out
}

// decodeSnapshot reads a snapshot. An earlier version wrote the bare map of entries.
func decodeSnapshot(text []byte) (*kv.State, error) {
	state := kv.New()
	var form struct {
		Applied *uint64      `json:"applied"`
		Sum     *kv.Checksum `json:"sum"`
	}
	if json.Unmarshal(text, &form) == nil && form.Applied != nil {
		if err := json.Unmarshal(text, state); err != nil {
			return nil, err
		}
	} else if err := decodeBareEntries(text, state); err != nil {
		return nil, err
	}
	if state.Leases == nil || state.Leases.Leases == nil {
		state.Leases = lease.NewState(0)
	}
	if form.Sum == nil { // of a version that had no checksums
		state.Checksum = kv.Checksum{StartIndex: state.AppliedIndex}
	}
	return state, nil
}

func decodeBareEntries(text []byte, state *kv.State) error {
	if err := json.Unmarshal(text, &state.Entries); err != nil {
		return err
	}
	for _, e := range state.Entries {
		state.AppliedIndex = max(state.AppliedIndex, e.ModRevision)
	}
	return nil
}
