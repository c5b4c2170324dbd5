// Package kv is the replicated state of the store: keys with revisions, transactions,
// and client sessions that have a repeated write take effect once. It does no I/O and
// reads no clock: the same requests in the same order give the same state anywhere.
package kv

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"oxbowbridge/internal/cluster/lease"
)

// Limits of the state. What it holds is small.
const (
	MaxKeyBytes            = 200
	MaxValueBytes          = 64 << 10
	MaxKeys                = 1000 // also deleted ones
	MaxOps                 = 128  // of one transaction, and as many compares
	MaxSessions            = 1000
	SessionWindow          = 16             // answers that a session keeps
	MaxCachedResponseBytes = 64 << 10       // of one that is kept
	SessionTimeoutMS       = 10 * 60 * 1000 // of log time, after which an idle session ends
	leapMS                 = 60 * 1000      // by which one request may advance the log's time
)

// Keys with a meaning of their own.
const (
	ReservedPrefix       = "_cluster/"                 // prefix of what the store keeps about itself
	ClusterKey           = ReservedPrefix + "id"       // names the cluster, for as long as it lives
	RestoreKey           = ReservedPrefix + "restore"  // there while a backup is written back, and says which
	PreviousClustersKey  = ReservedPrefix + "was"      // the clusters that this one was recovered from
	RemovedPrefix        = ReservedPrefix + "removed/" // and a name: operators want no such member
	PreferredVoterPrefix = ReservedPrefix + "prefer/"  // and a name: operators want it to have a vote
	LeasesEnabledKey     = ReservedPrefix + "leases"   // there once all members know leases
	StatePrefix          = "state/"                    // prefix of what services say of themselves; no backup puts it back
)

// IsUserKey tells whether a key is neither the store's own nor what a service says of itself.
func IsUserKey(key string) bool {
	return !strings.HasPrefix(key, ReservedPrefix) && !strings.HasPrefix(key, StatePrefix)
}

// Entry is a key. A deleted one stays, so that the store of record hears of it.
type Entry struct {
	Value          json.RawMessage `json:"value,omitempty"`   // left out, or null would come back as a value
	ModRevision    uint64          `json:"index"`             // the revision that set it
	CreateRevision uint64          `json:"created,omitempty"` // the revision that made it
	Version        uint64          `json:"version,omitempty"` // how often it was put since
	Deleted        bool            `json:"gone"`
}

// Op is one operation of a transaction.
type Op struct {
	Kind  string          `json:"do"` // "put", "delete" or "get"
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Compare holds if the key has the revision; 0 is that of a key that is not there.
type Compare struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Request is one entry of the log. All of it takes effect, or nothing.
type Request struct {
	TimeMS      int64 `json:"time_ms"`        // the leader's clock
	OpenSession bool  `json:"open,omitempty"` // a session, in place of all below
	// Leases are operations on leases, in place of all below. Each succeeds or fails for itself.
	LeaseOps      []lease.Op           `json:"leases,omitempty"`
	TokenFloor    uint64               `json:"floor,omitempty"`   // later fencing tokens are higher
	Fences        []lease.FencingToken `json:"fence,omitempty"`   // leases that must be held under these tokens, or nothing is done
	Session       uint64               `json:"session,omitempty"` // 0 for none
	RequestNumber uint64               `json:"number,omitempty"`  // in the session; larger for each new request
	If            []Compare            `json:"if,omitempty"`      // all must hold, else
	Then          []Op                 `json:"then"`
	Else          []Op                 `json:"else,omitempty"`
}

// Result is what a key was after an operation.
type Result struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"` // 0 if it is not there
	Value    json.RawMessage `json:"value,omitempty"`
}

// Response is what a request came to.
type Response struct {
	Succeeded     bool           `json:"held"` // all compares did, and Then was done
	Revision      uint64         `json:"revision"`
	Session       uint64         `json:"session,omitempty"` // that was opened
	Results       []Result       `json:"results,omitempty"`
	LeaseResults  []lease.Result `json:"leases,omitempty"` // one for each operation
	GrantedLeases []string       `json:"given,omitempty"`  // leases that went to one who waited
}

var (
	// ErrFull: nothing was done, as the state has no room for more.
	ErrFull = errors.New("store is full")
	// ErrSessionNotFound: the session is not known (any more). Whether an earlier request of it
	// was carried out can't be told from this.
	ErrSessionNotFound = errors.New("no such session")
	// ErrStaleRequest: a later request of the session was carried out, and the answer to this
	// one, if there was one, is no longer kept. Nothing was done now.
	ErrStaleRequest = errors.New("request number is too old")
	// ErrFenced: nothing was done, as a lease is not held under the token.
	ErrFenced = errors.New("lease is not held under this token")
	// ErrRestoring: nothing was done, as a backup is being written back.
	ErrRestoring = errors.New("store is being restored from a backup")
	// ErrInvalidRequest: the request breaks a limit.
	ErrInvalidRequest = errors.New("bad request")
)

// ValidateSize is for requests from outside: a store of record may hand over more.
func (r *Request) ValidateSize() error {
	if len(r.LeaseOps) > lease.MaxOpsPerEntry || len(r.Fences) > MaxOps || len(r.If) > MaxOps || len(r.Then) > MaxOps || len(r.Else) > MaxOps {
		return fmt.Errorf("%w: more than %d compares or operations", ErrInvalidRequest, MaxOps)
	}
	return nil
}

// Validate finds what no state would take.
func (r *Request) Validate() error {
	if r.Session != 0 && r.RequestNumber == 0 {
		return fmt.Errorf("%w: a session's requests are numbered from 1", ErrInvalidRequest)
	}
	for _, c := range r.If {
		if err := checkKey(c.Key); err != nil {
			return err
		}
	}
	for _, o := range slices.Concat(r.Then, r.Else) {
		if err := checkKey(o.Key); err != nil {
			return err
		}
		switch {
		case o.Kind != "put" && o.Kind != "delete" && o.Kind != "get":
			return fmt.Errorf("%w: %s: unknown operation %q", ErrInvalidRequest, o.Key, o.Kind)
		case o.Kind != "put" && o.Value != nil:
			return fmt.Errorf("%w: %s: %s takes no value", ErrInvalidRequest, o.Key, o.Kind)
		case o.Kind == "put" && (len(o.Value) > MaxValueBytes || string(o.Value) == "null" || !json.Valid(o.Value)):
			return fmt.Errorf("%w: %s: the value must be JSON, not null, of at most %d bytes", ErrInvalidRequest, o.Key, MaxValueBytes)
		}
	}
	return nil
}

func checkKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("%w: key %.40q: want 1 to %d bytes", ErrInvalidRequest, key, MaxKeyBytes)
	}
	return nil
}

// session is one client's. Its numbers grow.
type session struct {
	SeenMS int64        `json:"seen_ms"` // log time of its last request
	Last   uint64       `json:"last"`
	Kept   []keptAnswer `json:"kept"` // the newest last
}

type keptAnswer struct {
	Number uint64   `json:"number"`
	Answer Response `json:"answer"`
}

// State is the whole of it. Its fields are what a snapshot holds.
type State struct {
	Applied  uint64              `json:"applied"` // the last request's index in the log
	TimeMS   int64               `json:"time_ms"` // never goes back
	Entries  map[string]Entry    `json:"entries"`
	Sessions map[uint64]*session `json:"sessions"`
	Leases   *lease.State        `json:"leases"`
	Checksum Checksum            `json:"sum"`

	bytes int // of all values; -1 until it is counted
}

// ValueBytes of all values.
func (s *State) ValueBytes() int {
	if s.bytes < 0 {
		s.bytes = 0
		for _, e := range s.Entries {
			s.bytes += len(e.Value)
		}
	}
	return s.bytes
}

// New is an empty state.
func New() *State {
	return &State{Entries: map[string]Entry{}, Sessions: map[uint64]*session{}, Leases: lease.NewState(0), bytes: -1}
}

// Clone copies it, but for the values, which nothing changes.
func (s *State) Clone() *State {
	c := &State{Applied: s.Applied, TimeMS: s.TimeMS, Entries: maps.Clone(s.Entries), Sessions: map[uint64]*session{},
		Leases: s.Leases.Clone(), Checksum: s.Checksum, bytes: -1}
	for id, x := range s.Sessions {
		c.Sessions[id] = &session{x.SeenMS, x.Last, slices.Clone(x.Kept)}
	}
	return c
}

// ApplyEntry carries out one entry of the log, whose text is data: the request in it or, with bad,
// nothing. It gives the keys that it changed.
func (s *State) ApplyEntry(index uint64, data []byte, r *Request, bad error) (a Response, changed []string, err error) {
	if err = bad; err != nil {
		s.Applied = index
	} else {
		a, changed, err = s.Apply(index, r)
	}
	s.chain(index, data, &a, err)
	return a, changed, err
}

// Apply carries one request out, under its index in the log, which becomes the
// revision of what it writes. It gives the keys that it changed.
func (s *State) Apply(index uint64, r *Request) (a Response, changed []string, err error) {
	s.Applied = index
	s.advance(r.TimeMS)
	if err := r.Validate(); err != nil {
		return a, nil, err
	}
	if r.OpenSession {
		return s.open(index)
	}
	if r.TokenFloor != 0 {
		s.Leases.RaiseTokenFloor(r.TokenFloor)
	}
	if len(r.LeaseOps) > 0 {
		return s.lease(index, r.LeaseOps), nil, nil
	}
	var own *session
	if r.Session != 0 {
		if own = s.Sessions[r.Session]; own == nil {
			return a, nil, fmt.Errorf("%w: %d", ErrSessionNotFound, r.Session)
		}
		own.SeenMS = s.TimeMS
		for _, k := range own.Kept {
			if k.Number == r.RequestNumber {
				return k.Answer, nil, nil
			}
		}
		if r.RequestNumber <= own.Last {
			return a, nil, fmt.Errorf("%w: %d, the last is %d", ErrStaleRequest, r.RequestNumber, own.Last)
		}
	}
	a, changed, err = s.txn(index, r, own != nil)
	if err != nil || own == nil {
		return a, changed, err
	}
	own.Last = r.RequestNumber
	own.Kept = append(own.Kept, keptAnswer{r.RequestNumber, a})
	own.Kept = slices.Delete(own.Kept, 0, max(0, len(own.Kept)-SessionWindow))
	return a, changed, nil
}

// advance moves the log's time on, never back and never by much at once, and ends the
// sessions that were idle for too long by it.
func (s *State) advance(ms int64) {
	if s.TimeMS != 0 {
		ms = min(ms, s.TimeMS+leapMS)
	}
	if ms <= s.TimeMS {
		return
	}
	s.TimeMS = ms
	maps.DeleteFunc(s.Sessions, func(_ uint64, x *session) bool { return ms-x.SeenMS > SessionTimeoutMS })
}

func (s *State) lease(index uint64, ops []lease.Op) Response {
	a := Response{Succeeded: true, Revision: index}
	for _, o := range ops {
		r, given := s.Leases.Apply(o)
		a.LeaseResults = append(a.LeaseResults, r)
		if given {
			a.GrantedLeases = append(a.GrantedLeases, o.Name)
		}
	}
	return a
}

func (s *State) open(index uint64) (Response, []string, error) {
	if len(s.Sessions) >= MaxSessions {
		return Response{}, nil, fmt.Errorf("%w: %d sessions are open", ErrFull, len(s.Sessions))
	}
	s.Sessions[index] = &session{SeenMS: s.TimeMS}
	return Response{Succeeded: true, Revision: index, Session: index}, nil, nil
}

// Revision of a key; 0 if it is not there.
func (s *State) Revision(key string) uint64 {
	if e, ok := s.Entries[key]; ok && !e.Deleted {
		return e.ModRevision
	}
	return 0
}

// shut tells whether a request writes while a backup is written back, without being
// part of that: those which are compare its marker.
func (s *State) shut(r *Request) bool {
	marker := s.Revision(RestoreKey)
	if marker == 0 || slices.Contains(r.If, Compare{RestoreKey, marker}) {
		return false
	}
	return slices.ContainsFunc(slices.Concat(r.Then, r.Else), func(o Op) bool {
		return o.Kind != "get" && IsUserKey(o.Key)
	})
}

func (s *State) txn(index uint64, r *Request, kept bool) (a Response, changed []string, err error) {
	if s.shut(r) {
		return Response{}, nil, ErrRestoring
	}
	for _, f := range r.Fences {
		if !s.Leases.Holds(f.Name, f.Token) {
			return Response{}, nil, fmt.Errorf("%w: %s/%d", ErrFenced, f.Name, f.Token)
		}
	}
	a = Response{Succeeded: true, Revision: index}
	for _, c := range r.If {
		a.Succeeded = a.Succeeded && s.Revision(c.Key) == c.Revision
	}
	ops := r.Then
	if !a.Succeeded {
		ops = r.Else
	}
	// All is worked out beside the state first, so that nothing is done if it can't be.
	fresh, added, size := map[string]Entry{}, 0, 0
	for _, o := range ops {
		e, known := fresh[o.Key]
		if !known {
			if e, known = s.Entries[o.Key]; !known && o.Kind == "put" {
				added++
			}
		}
		there := known && !e.Deleted
		switch {
		case o.Kind == "put" && there:
			e = Entry{Value: o.Value, ModRevision: index, CreateRevision: e.CreateRevision, Version: e.Version + 1}
		case o.Kind == "put":
			e = Entry{Value: o.Value, ModRevision: index, CreateRevision: index, Version: 1}
		case o.Kind == "delete" && there:
			e = Entry{ModRevision: index, Deleted: true}
		}
		res := Result{Key: o.Key}
		if o.Kind != "get" && (o.Kind == "put" || there) {
			fresh[o.Key] = e
		}
		if (known || o.Kind == "put") && !e.Deleted {
			res.Revision = e.ModRevision
			if o.Kind == "get" {
				res.Value = e.Value
				size += len(e.Value)
			}
		}
		a.Results = append(a.Results, res)
	}
	if len(s.Entries)+added > MaxKeys {
		return Response{}, nil, fmt.Errorf("%w: %d keys", ErrFull, len(s.Entries))
	}
	if kept && size > MaxCachedResponseBytes {
		return Response{}, nil, fmt.Errorf("%w: %d bytes are read, a session keeps answers of at most %d", ErrInvalidRequest, size, MaxCachedResponseBytes)
	}
	for key, e := range fresh {
		if s.bytes >= 0 {
			s.bytes += len(e.Value) - len(s.Entries[key].Value)
		}
		s.Entries[key] = e
		changed = append(changed, key)
	}
	slices.Sort(changed)
	return a, changed, nil
}
