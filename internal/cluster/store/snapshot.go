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

// snapshot is a copy of the complete state.
type snapshot struct{ *kv.State }

// Snapshot copies the complete state. Only Raft calls it.
func (s *replicatedState) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &snapshot{s.data.Clone()}, nil
}

// Persist writes the snapshot as JSON.
func (m *snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(m.State); err != nil {
		sink.Cancel()
		return fmt.Errorf("write snapshot: %w", err)
	}
	return sink.Close()
}

// Release does nothing, because the snapshot is a copy.
func (m *snapshot) Release() {}

// Restore replaces the complete state with a snapshot. Only Raft calls it. Listeners are called for every
// entry of the new state, but not for keys that the new state lacks.
func (s *replicatedState) Restore(r io.ReadCloser) error {
	defer r.Close()
	encoded, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	restored, err := decodeSnapshot(encoded)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	s.replace(restored).notifyListeners()
	s.wakeMirror()
	return nil
}

// replace sets the state, and returns the entries of the new state as changes.
func (s *replicatedState) replace(restored *kv.State) (out applyEffects) {
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

// decodeSnapshot decodes a snapshot. An earlier version wrote a bare map of entries.
func decodeSnapshot(encoded []byte) (*kv.State, error) {
	state := kv.New()
	var form struct {
		Applied *uint64      `json:"applied"`
		Sum     *kv.Checksum `json:"sum"`
	}
	if json.Unmarshal(encoded, &form) == nil && form.Applied != nil {
		if err := json.Unmarshal(encoded, state); err != nil {
			return nil, err
		}
	} else if err := decodeBareEntries(encoded, state); err != nil {
		return nil, err
	}
	if state.Leases == nil || state.Leases.Leases == nil {
		state.Leases = lease.NewState(0)
	}
	if form.Sum == nil { // written by a version without checksums
		state.Checksum = kv.Checksum{StartIndex: state.AppliedIndex}
	}
	return state, nil
}

func decodeBareEntries(encoded []byte, state *kv.State) error {
	if err := json.Unmarshal(encoded, &state.Entries); err != nil {
		return err
	}
	for _, e := range state.Entries {
		state.AppliedIndex = max(state.AppliedIndex, e.ModRevision)
	}
	return nil
}
