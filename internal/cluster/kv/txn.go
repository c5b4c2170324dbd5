package kv

import (
	"fmt"
	"slices"
)

// applyTxn applies a transaction. It collects all changes before it commits them, so that the state is
// unchanged if a limit is exceeded.
func (s *State) applyTxn(index uint64, r *Request) (Response, []string, error) {
	if s.isBlockedByRestore(r) {
		return Response{}, nil, ErrRestoring
	}
	if err := s.checkFences(r.Fences); err != nil {
		return Response{}, nil, err
	}
	response := Response{Succeeded: s.allComparesHold(r.If), Revision: index}
	ops := r.Then
	if !response.Succeeded {
		ops = r.Else
	}
	t := &txn{state: s, revision: index, pending: map[string]Entry{}}
	for _, op := range ops {
		response.Results = append(response.Results, t.apply(op))
	}
	if err := t.checkLimits(r.SessionID != 0); err != nil {
		return Response{}, nil, err
	}
	return response, t.commit(), nil
}

func (s *State) allComparesHold(compares []Compare) bool {
	for _, c := range compares {
		if s.Revision(c.Key) != c.Revision {
			return false
		}
	}
	return true
}

// txn is the pending outcome of a transaction. Its operations see each other's changes.
type txn struct {
	state     *State
	revision  uint64
	pending   map[string]Entry // uncommitted changes by key
	newKeys   int              // keys that the state has no entry for, not even a deleted one
	readBytes int              // size of the values that the operations read
}

func (t *txn) apply(op Op) Result {
	entry, known := t.lookup(op.Key)
	exists := known && !entry.Deleted
	switch op.Kind {
	case OpPut:
		if !known {
			t.newKeys++
		}
		t.pending[op.Key] = t.put(op, entry, exists)
		return Result{Key: op.Key, Revision: t.revision}
	case OpDelete:
		if exists {
			t.pending[op.Key] = Entry{ModRevision: t.revision, Deleted: true}
		}
	case OpGet:
		if exists {
			t.readBytes += len(entry.Value)
			return Result{Key: op.Key, Revision: entry.ModRevision, Value: entry.Value}
		}
	}
	return Result{Key: op.Key}
}

// lookup returns the entry of a key, including the changes of earlier operations of the transaction.
func (t *txn) lookup(key string) (entry Entry, known bool) {
	if entry, known = t.pending[key]; known {
		return entry, true
	}
	entry, known = t.state.Entries[key]
	return entry, known
}

func (t *txn) put(op Op, previous Entry, exists bool) Entry {
	if exists {
		return Entry{Value: op.Value, ModRevision: t.revision, CreateRevision: previous.CreateRevision, Version: previous.Version + 1}
	}
	return Entry{Value: op.Value, ModRevision: t.revision, CreateRevision: t.revision, Version: 1}
}

// checkLimits checks that the state has capacity for the new keys and, if the request is part of a
// session, that the response is small enough to be cached.
func (t *txn) checkLimits(inSession bool) error {
	if len(t.state.Entries)+t.newKeys > MaxKeys {
		return fmt.Errorf("%w: %d keys", ErrFull, len(t.state.Entries))
	}
	if inSession && t.readBytes > MaxCachedResponseBytes {
		return fmt.Errorf("%w: %d bytes are read, a session keeps answers of at most %d", ErrInvalidRequest, t.readBytes, MaxCachedResponseBytes)
	}
	return nil
}

// commit applies the pending changes to the state, and returns the changed keys, sorted.
func (t *txn) commit() (changed []string) {
	s := t.state
	for key, entry := range t.pending {
		if s.valueBytes != valueBytesUnknown {
			s.valueBytes += len(entry.Value) - len(s.Entries[key].Value)
		}
		s.Entries[key] = entry
		changed = append(changed, key)
	}
	slices.Sort(changed)
	return changed
}
