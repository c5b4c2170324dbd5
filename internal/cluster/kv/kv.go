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
	KeyBytes    = 200
	ValueBytes  = 64 << 10
	Keys        = 1000 // also deleted ones
	Ops         = 128  // of one transaction, and as many compares
	Sessions    = 1000
	Window      = 16             // answers that a session keeps
	AnswerBytes = 64 << 10       // of one that is kept
	SessionMS   = 10 * 60 * 1000 // of log time, after which an idle session ends
	leapMS      = 60 * 1000      // by which one request may advance the log's time
)

// Keys with a meaning of their own.
const (
	Reserved   = "_cluster/"           // prefix of what the store keeps about itself
	ClusterKey = Reserved + "id"       // names the cluster, for as long as it lives
	RestoreKey = Reserved + "restore"  // there while a backup is written back, and says which
	WasKey     = Reserved + "was"      // the clusters that this one was recovered from
	GonePart   = Reserved + "removed/" // and a name: operators want no such member
	VotePart   = Reserved + "prefer/"  // and a name: operators want it to have a vote
	LeasesKey  = Reserved + "leases"   // there once all members know leases
	StatePart  = "state/"              // prefix of what services say of themselves; no backup puts it back
)

// Users tells whether a key is neither the store's own nor what a service says of itself.
func Users(key string) bool {
	return !strings.HasPrefix(key, Reserved) && !strings.HasPrefix(key, StatePart)
}

// Entry is a key. A deleted one stays, so that the store of record hears of it.
type Entry struct {
	Value   json.RawMessage `json:"value,omitempty"`   // left out, or null would come back as a value
	Index   uint64          `json:"index"`             // the revision that set it
	Created uint64          `json:"created,omitempty"` // the revision that made it
	Version uint64          `json:"version,omitempty"` // how often it was put since
	Gone    bool            `json:"gone"`
}

// Op is one operation of a transaction.
type Op struct {
	Do    string          `json:"do"` // "put", "delete" or "get"
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
	TimeMS int64 `json:"time_ms"`        // the leader's clock
	Open   bool  `json:"open,omitempty"` // a session, in place of all below
	// Leases are operations on leases, in place of all below. Each succeeds or fails for itself.
	Leases  []lease.Op   `json:"leases,omitempty"`
	Floor   uint64       `json:"floor,omitempty"`   // later fencing tokens are higher
	Fence   []lease.Held `json:"fence,omitempty"`   // leases that must be held under these tokens, or nothing is done
	Session uint64       `json:"session,omitempty"` // 0 for none
	Number  uint64       `json:"number,omitempty"`  // in the session; larger for each new request
	If      []Compare    `json:"if,omitempty"`      // all must hold, else
	Then    []Op         `json:"then"`
	Else    []Op         `json:"else,omitempty"`
}

// Result is what a key was after an operation.
type Result struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"` // 0 if it is not there
	Value    json.RawMessage `json:"value,omitempty"`
}

// Answer is what a request came to.
type Answer struct {
	Held     bool           `json:"held"` // all compares did, and Then was done
	Revision uint64         `json:"revision"`
	Session  uint64         `json:"session,omitempty"` // that was opened
	Results  []Result       `json:"results,omitempty"`
	Leases   []lease.Result `json:"leases,omitempty"` // one for each operation
	Given    []string       `json:"given,omitempty"`  // leases that went to one who waited
}

var (
	// ErrFull: nothing was done, as the state has no room for more.
	ErrFull = errors.New("store is full")
	// ErrSession: the session is not known (any more). Whether an earlier request of it
	// was carried out can't be told from this.
	ErrSession = errors.New("no such session")
	// ErrNumber: a later request of the session was carried out, and the answer to this
	// one, if there was one, is no longer kept. Nothing was done now.
	ErrNumber = errors.New("request number is too old")
	// ErrFenced: nothing was done, as a lease is not held under the token.
	ErrFenced = errors.New("lease is not held under this token")
	// ErrRestoring: nothing was done, as a backup is being written back.
	ErrRestoring = errors.New("store is being restored from a backup")
	// ErrRequest: the request breaks a limit.
	ErrRequest = errors.New("bad request")
)

// CheckLength is for requests from outside: a store of record may hand over more.
func (r *Request) CheckLength() error {
	if len(r.Leases) > lease.Ops || len(r.Fence) > Ops || len(r.If) > Ops || len(r.Then) > Ops || len(r.Else) > Ops {
		return fmt.Errorf("%w: more than %d compares or operations", ErrRequest, Ops)
	}
	return nil
}

// Check finds what no state would take.
func (r *Request) Check() error {
	if r.Session != 0 && r.Number == 0 {
		return fmt.Errorf("%w: a session's requests are numbered from 1", ErrRequest)
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
		case o.Do != "put" && o.Do != "delete" && o.Do != "get":
			return fmt.Errorf("%w: %s: unknown operation %q", ErrRequest, o.Key, o.Do)
		case o.Do != "put" && o.Value != nil:
			return fmt.Errorf("%w: %s: %s takes no value", ErrRequest, o.Key, o.Do)
		case o.Do == "put" && (len(o.Value) > ValueBytes || string(o.Value) == "null" || !json.Valid(o.Value)):
			return fmt.Errorf("%w: %s: the value must be JSON, not null, of at most %d bytes", ErrRequest, o.Key, ValueBytes)
		}
	}
	return nil
}

func checkKey(key string) error {
	if key == "" || len(key) > KeyBytes {
		return fmt.Errorf("%w: key %.40q: want 1 to %d bytes", ErrRequest, key, KeyBytes)
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
	Number uint64 `json:"number"`
	Answer Answer `json:"answer"`
}

// State is the whole of it. Its fields are what a snapshot holds.
type State struct {
	Applied  uint64              `json:"applied"` // the last request's index in the log
	TimeMS   int64               `json:"time_ms"` // never goes back
	Entries  map[string]Entry    `json:"entries"`
	Sessions map[uint64]*session `json:"sessions"`
	Leases   *lease.State        `json:"leases"`
	Sum      Sum                 `json:"sum"`

	bytes int // of all values; -1 until it is counted
}

// Bytes of all values.
func (s *State) Bytes() int {
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
		Leases: s.Leases.Clone(), Sum: s.Sum, bytes: -1}
	for id, x := range s.Sessions {
		c.Sessions[id] = &session{x.SeenMS, x.Last, slices.Clone(x.Kept)}
	}
	return c
}

// Carry carries out one entry of the log, whose text is data: the request in it or, with bad,
// nothing. It gives the keys that it changed.
func (s *State) Carry(index uint64, data []byte, r *Request, bad error) (a Answer, changed []string, err error) {
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
func (s *State) Apply(index uint64, r *Request) (a Answer, changed []string, err error) {
	s.Applied = index
	s.advance(r.TimeMS)
	if err := r.Check(); err != nil {
		return a, nil, err
	}
	if r.Open {
		return s.open(index)
	}
	if r.Floor != 0 {
		s.Leases.Floor(r.Floor)
	}
	if len(r.Leases) > 0 {
		return s.lease(index, r.Leases), nil, nil
	}
	var own *session
	if r.Session != 0 {
		if own = s.Sessions[r.Session]; own == nil {
			return a, nil, fmt.Errorf("%w: %d", ErrSession, r.Session)
		}
		own.SeenMS = s.TimeMS
		for _, k := range own.Kept {
			if k.Number == r.Number {
				return k.Answer, nil, nil
			}
		}
		if r.Number <= own.Last {
			return a, nil, fmt.Errorf("%w: %d, the last is %d", ErrNumber, r.Number, own.Last)
		}
	}
	a, changed, err = s.txn(index, r, own != nil)
	if err != nil || own == nil {
		return a, changed, err
	}
	own.Last = r.Number
	own.Kept = append(own.Kept, keptAnswer{r.Number, a})
	own.Kept = slices.Delete(own.Kept, 0, max(0, len(own.Kept)-Window))
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
	maps.DeleteFunc(s.Sessions, func(_ uint64, x *session) bool { return ms-x.SeenMS > SessionMS })
}

func (s *State) lease(index uint64, ops []lease.Op) Answer {
	a := Answer{Held: true, Revision: index}
	for _, o := range ops {
		r, given := s.Leases.Apply(o)
		a.Leases = append(a.Leases, r)
		if given {
			a.Given = append(a.Given, o.Name)
		}
	}
	return a
}

func (s *State) open(index uint64) (Answer, []string, error) {
	if len(s.Sessions) >= Sessions {
		return Answer{}, nil, fmt.Errorf("%w: %d sessions are open", ErrFull, len(s.Sessions))
	}
	s.Sessions[index] = &session{SeenMS: s.TimeMS}
	return Answer{Held: true, Revision: index, Session: index}, nil, nil
}

// Revision of a key; 0 if it is not there.
func (s *State) Revision(key string) uint64 {
	if e, ok := s.Entries[key]; ok && !e.Gone {
		return e.Index
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
		return o.Do != "get" && Users(o.Key)
	})
}

func (s *State) txn(index uint64, r *Request, kept bool) (a Answer, changed []string, err error) {
	if s.shut(r) {
		return Answer{}, nil, ErrRestoring
	}
	for _, f := range r.Fence {
		if !s.Leases.Holds(f.Name, f.Token) {
			return Answer{}, nil, fmt.Errorf("%w: %s/%d", ErrFenced, f.Name, f.Token)
		}
	}
	a = Answer{Held: true, Revision: index}
	for _, c := range r.If {
		a.Held = a.Held && s.Revision(c.Key) == c.Revision
	}
	ops := r.Then
	if !a.Held {
		ops = r.Else
	}
	// All is worked out beside the state first, so that nothing is done if it can't be.
	fresh, added, size := map[string]Entry{}, 0, 0
	for _, o := range ops {
		e, known := fresh[o.Key]
		if !known {
			if e, known = s.Entries[o.Key]; !known && o.Do == "put" {
				added++
			}
		}
		there := known && !e.Gone
		switch {
		case o.Do == "put" && there:
			e = Entry{Value: o.Value, Index: index, Created: e.Created, Version: e.Version + 1}
		case o.Do == "put":
			e = Entry{Value: o.Value, Index: index, Created: index, Version: 1}
		case o.Do == "delete" && there:
			e = Entry{Index: index, Gone: true}
		}
		res := Result{Key: o.Key}
		if o.Do != "get" && (o.Do == "put" || there) {
			fresh[o.Key] = e
		}
		if (known || o.Do == "put") && !e.Gone {
			res.Revision = e.Index
			if o.Do == "get" {
				res.Value = e.Value
				size += len(e.Value)
			}
		}
		a.Results = append(a.Results, res)
	}
	if len(s.Entries)+added > Keys {
		return Answer{}, nil, fmt.Errorf("%w: %d keys", ErrFull, len(s.Entries))
	}
	if kept && size > AnswerBytes {
		return Answer{}, nil, fmt.Errorf("%w: %d bytes are read, a session keeps answers of at most %d", ErrRequest, size, AnswerBytes)
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
