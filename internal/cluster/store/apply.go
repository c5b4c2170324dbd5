package store

import (
	"fmt"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/watch"
)

// applyResult is what Apply returns to the goroutine that proposed the entry.
type applyResult struct {
	response kv.Response
	err      error
}

// leaseGrant is a lease that was granted to a waiting holder.
type leaseGrant struct{ name, holder string }

// Apply applies one log entry atomically and returns an applyResult. Only Raft calls it.
func (s *replicatedState) Apply(entry *raft.Log) any {
	result, effects := s.applyEntry(entry)
	for _, g := range effects.grants {
		s.onLeaseGranted(g.name, g.holder)
	}
	effects.notifyListeners()
	s.wakeMirror()
	return result
}

// applyEffects are the notifications of an applied entry. They are sent after the state's lock is
// released.
type applyEffects struct {
	changes   []watch.Change
	grants    []leaseGrant
	listeners []changeListener // registered when the entry was applied
}

func (e applyEffects) notifyListeners() {
	for _, c := range e.changes {
		for _, listener := range e.listeners {
			listener(c.Key, c.Value)
		}
	}
}

func (s *replicatedState) applyEntry(entry *raft.Log) (result applyResult, out applyEffects) {
	request, err := decodeLogEntry(entry.Data)
	if err != nil {
		err = fmt.Errorf("log entry %d: %w", entry.Index, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []string
	s.checksums = s.checksums.RecordBefore(entry.Index, s.data)
	result.response, changed, result.err = s.data.ApplyEntry(entry.Index, entry.Data, request, err)
	for _, key := range changed {
		e := s.data.Entries[key]
		out.changes = append(out.changes, watch.Change{Key: key, Value: e.Value, Deleted: e.Deleted})
	}
	s.history.Add(entry.Index, out.changes)
	s.signalAdvanced()
	for _, name := range result.response.GrantedLeases {
		out.grants = append(out.grants, leaseGrant{name: name, holder: s.data.Leases.Leases[name].Holder})
	}
	out.listeners = s.listeners
	return result, out
}
