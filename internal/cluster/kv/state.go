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
	MaxKeys     = 1000 // with those that were deleted
	MaxSessions = 1000
)

// maxClockAdvanceMS is by how many milliseconds one request may advance the log's time: a leader
// whose clock is far ahead must not end all sessions at once.
const maxClockAdvanceMS = 60 * 1000

// Entry is a key. A deleted key stays, so that the store of record learns of it.
type Entry struct {
	Value          json.RawMessage `json:"value,omitempty"`   // left out if nil: null would be decoded as a value
	ModRevision    uint64          `json:"index"`             // of the last put or delete
	CreateRevision uint64          `json:"created,omitempty"` // of the first put since it did not exist
	Version        uint64          `json:"version,omitempty"` // number of puts since CreateRevision
	Deleted        bool            `json:"gone"`
}

// State is the replicated state. A snapshot holds its exported fields. It is not safe for
// concurrent use.
type State struct {
	AppliedIndex uint64              `json:"applied"` // log index of the last entry
	LogTimeMS    int64               `json:"time_ms"` // the log's time, Unix milliseconds; never goes back
	Entries      map[string]Entry    `json:"entries"`
	Sessions     map[uint64]*session `json:"sessions"`
	Leases       *lease.State        `json:"leases"`
	Checksum     Checksum            `json:"sum"`

	valueBytes int // or bytesUnknown
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

// Clone returns a copy that shares only the values, which nothing changes.
func (s *State) Clone() *State {
	c := &State{
		AppliedIndex: s.AppliedIndex,
		LogTimeMS:    s.LogTimeMS,
		Entries:      maps.Clone(s.Entries),
		Sessions:     map[uint64]*session{},
		Leases:       s.Leases.Clone(),
		Checksum:     s.Checksum,
		valueBytes:   valueBytesUnknown,
	}
	for id, x := range s.Sessions {
		c.Sessions[id] = x.clone()
	}
	return c
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

// Revision of a key; 0 if it does not exist.
func (s *State) Revision(key string) uint64 {
	if e, ok := s.Entries[key]; ok && !e.Deleted {
		return e.ModRevision
	}
	return 0
}

// ApplyEntry applies the log entry at an index, whose bytes are data, and extends the running
// checksum. r is the request that data decodes to; if it does not, decodeErr says so and nothing
// but the index is recorded. It returns the keys that it changed, sorted.
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

// Apply carries out one request under its index in the log, which becomes the revision of the
// keys that it writes. It returns those keys, sorted.
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

// advanceLogTime moves the log's time on, never back and by at most maxClockAdvanceMS, and ends the
// sessions that have been idle for too long by it.
func (s *State) advanceLogTime(timeMS int64) {
	if s.LogTimeMS != 0 {
		timeMS = min(timeMS, s.LogTimeMS+maxClockAdvanceMS)
	}
	if timeMS <= s.LogTimeMS {
		return
	}
	s.LogTimeMS = timeMS
	s.endIdleSessions()
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

// isBlockedByRestore reports whether a request writes users' keys while a backup is being
// restored, without being part of the restore: the restore's own requests compare its marker.
func (s *State) isBlockedByRestore(r *Request) bool {
	marker := s.Revision(RestoreMarkerKey)
	if marker == 0 || slices.Contains(r.If, Compare{RestoreMarkerKey, marker}) {
		return false
	}
	return slices.ContainsFunc(slices.Concat(r.Then, r.Else), func(op Op) bool {
		return op.Kind != OpGet && IsUserKey(op.Key)
	})
}

// checkFences makes sure that all leases that a request depends on are held.
func (s *State) checkFences(fences []lease.FencingToken) error {
	for _, f := range fences {
		if !s.Leases.IsHeld(f.Name, f.Token) {
			return fmt.Errorf("%w: %s/%d", ErrFenced, f.Name, f.Token)
		}
	}
	return nil
}
