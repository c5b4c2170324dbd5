package kv

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"oxbowbridge/internal/cluster/lease"
)

// Limits of the state.
const (
	MaxKeys     = 1000 // includes deleted keys
	MaxSessions = 1000
)

// maxClockAdvanceMS limits by how many milliseconds one request may advance the log time, so that one
// request of a leader whose clock is far ahead does not expire all sessions.
const maxClockAdvanceMS = 60 * 1000

// Entry is the state of one key. The entry of a deleted key is retained, so that the deletion also reaches
// the SQL mirror.
type Entry struct {
	Value          json.RawMessage `json:"value,omitempty"`   // omitted if nil, because null would be decoded as a value
	ModRevision    uint64          `json:"index"`             // revision of the last put or delete
	CreateRevision uint64          `json:"created,omitempty"` // revision of the put that created the key
	Version        uint64          `json:"version,omitempty"` // number of puts since CreateRevision
	Deleted        bool            `json:"gone"`
}

// State is the replicated state. Snapshots contain its exported fields. It is not safe for concurrent
// use.
type State struct {
	AppliedIndex uint64              `json:"applied"` // index of the last applied log entry
	LogTimeMS    int64               `json:"time_ms"` // log time, Unix milliseconds; never decreases
	Entries      map[string]Entry    `json:"entries"`
	Sessions     map[uint64]*session `json:"sessions"`
	Leases       *lease.State        `json:"leases"`
	Checksum     Checksum            `json:"sum"`

	valueBytes int // size of all values, or valueBytesUnknown
}

const valueBytesUnknown = -1

// New returns an empty state.
func New() *State {
	return &State{
		Entries:    map[string]Entry{},
		Sessions:   map[uint64]*session{},
		Leases:     lease.NewState(0),
		valueBytes: valueBytesUnknown,
	}
}

// Clone returns a copy. It shares only the bytes of the values, which are never modified.
func (s *State) Clone() *State {
	clone := &State{
		AppliedIndex: s.AppliedIndex,
		LogTimeMS:    s.LogTimeMS,
		Entries:      maps.Clone(s.Entries),
		Sessions:     map[uint64]*session{},
		Leases:       s.Leases.Clone(),
		Checksum:     s.Checksum,
		valueBytes:   valueBytesUnknown,
	}
	for id, sess := range s.Sessions {
		clone.Sessions[id] = sess.clone()
	}
	return clone
}

// ValueBytes returns the size of all values in bytes.
func (s *State) ValueBytes() int {
	if s.valueBytes == valueBytesUnknown {
		s.valueBytes = 0
		for _, e := range s.Entries {
			s.valueBytes += len(e.Value)
		}
	}
	return s.valueBytes
}

// Revision returns the revision of a key, or 0 if the key does not exist.
func (s *State) Revision(key string) uint64 {
	if e, ok := s.Entries[key]; ok && !e.Deleted {
		return e.ModRevision
	}
	return 0
}

// ApplyEntry applies the log entry at an index and extends the running checksum. data is the encoded
// entry and r the decoded request. If decoding failed, decodeErr is its error, and only the index and
// the checksum advance. ApplyEntry returns the changed keys, sorted.
func (s *State) ApplyEntry(index uint64, data []byte, r *Request, decodeErr error) (response Response, changed []string, err error) {
	if decodeErr != nil {
		s.AppliedIndex = index
		err = decodeErr
	} else {
		response, changed, err = s.Apply(index, r)
	}
	s.extendChecksum(index, data, &response, err)
	return response, changed, err
}

// Apply applies the request of the log entry at an index. The index becomes the revision of the keys
// that the request writes. Apply returns the changed keys, sorted.
func (s *State) Apply(index uint64, r *Request) (response Response, changed []string, err error) {
	s.AppliedIndex = index
	s.advanceLogTime(r.TimeMS)
	if err := r.Validate(); err != nil {
		return Response{}, nil, err
	}
	if r.OpenSession {
		response, err = s.openSession(index)
		return response, nil, err
	}
	if r.TokenFloor != 0 {
		s.Leases.RaiseTokenFloor(r.TokenFloor)
	}
	switch {
	case len(r.LeaseOps) > 0:
		return s.applyLeaseOps(index, r.LeaseOps), nil, nil
	case r.SessionID != 0:
		return s.applyInSession(index, r)
	}
	return s.applyTxn(index, r)
}

// advanceLogTime advances the log time to a request's timestamp, by at most maxClockAdvanceMS and never
// backwards, and then expires idle sessions.
func (s *State) advanceLogTime(timeMS int64) {
	if s.LogTimeMS != 0 {
		timeMS = min(timeMS, s.LogTimeMS+maxClockAdvanceMS)
	}
	if timeMS <= s.LogTimeMS {
		return
	}
	s.LogTimeMS = timeMS
	s.expireIdleSessions()
}

func (s *State) applyLeaseOps(index uint64, ops []lease.Op) Response {
	response := Response{Succeeded: true, Revision: index}
	for _, op := range ops {
		result, granted := s.Leases.Apply(op)
		response.LeaseResults = append(response.LeaseResults, result)
		if granted {
			response.GrantedLeases = append(response.GrantedLeases, op.Name)
		}
	}
	return response
}

// isBlockedByRestore reports whether a request writes user keys while a backup is being restored,
// without being part of the restore. Requests that are part of it compare RestoreMarkerKey with its
// revision.
func (s *State) isBlockedByRestore(r *Request) bool {
	markerRevision := s.Revision(RestoreMarkerKey)
	if markerRevision == 0 || slices.Contains(r.If, Compare{RestoreMarkerKey, markerRevision}) {
		return false
	}
	return slices.ContainsFunc(slices.Concat(r.Then, r.Else), func(op Op) bool {
		return op.Kind != OpGet && IsUserKey(op.Key)
	})
}

// checkFences returns ErrFenced unless each of the leases is held under its token.
func (s *State) checkFences(fences []lease.FencingToken) error {
	for _, f := range fences {
		if !s.Leases.IsHeld(f.Name, f.Token) {
			return fmt.Errorf("%w: %s/%d", ErrFenced, f.Name, f.Token)
		}
	}
	return nil
}
