// Package lease decides who may act for a fleet: which holder has a lease, with which
// fencing token, who waits for it, and when it is over. It does no I/O and reads no clock.
//
// It has three parts. State is replicated: grants, releases and expiries are entries of
// the log, so a token is given once. Timer is the leader's: it answers keep-alives from
// memory, and says which leases to end by an entry of the log. Holder is the holder's: it
// says until when it may act.
package lease

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
)

// Limits.
const (
	MaxLeases          = 20000
	MaxWaitersPerLease = 64 // of one name
	MaxWaiters         = 4096
	MinTTLMS           = 500
	MaxTTLMS           = 10 * 60 * 1000
	MaxOpsPerEntry     = 256  // of one entry of the log
	TokensPerMS        = 2048 // tokens that a new cluster skips for each millisecond of its clock
	// SafetyMargin is the part of a lease's time that its holder doesn't use. It covers clocks
	// of which one runs a tenth slow and the other a tenth fast: (1-Margin)/0.9 <= 1/1.1.
	SafetyMargin = 0.2
)

var (
	// ErrHeld: another one holds the lease; nothing was done.
	ErrHeld = errors.New("lease is held")
	// ErrNotHolder: the token is not that of the lease any more.
	ErrNotHolder = errors.New("lease is not the holder's any more")
	// ErrTooMany: there are too many leases, or too many who wait.
	ErrTooMany = errors.New("too many leases")
	// ErrInvalidRequest: a name, a time or a holder is out of its bounds.
	ErrInvalidRequest = errors.New("bad lease request")
	// ErrWaiterNotFound: the one that a lease is to be handed to does not wait for it.
	ErrWaiterNotFound = errors.New("nobody of that name waits for the lease")
)

// codes are the errors as a log's answers have them.
var codes = map[string]error{"held": ErrHeld, "gone": ErrNotHolder, "full": ErrTooMany, "request": ErrInvalidRequest, "no_waiter": ErrWaiterNotFound}

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)

// Waiter is one who wants a lease that is held.
type Waiter struct {
	Holder   string `json:"holder"`
	TTLMS    int64  `json:"ttl_ms"`
	Priority int    `json:"priority,omitempty"` // higher goes first
	Ticket   uint64 `json:"ticket"`             // given in the order of coming
}

// Lease is one that is held.
type Lease struct {
	Holder  string   `json:"holder"`
	Token   uint64   `json:"token"`
	TTLMS   int64    `json:"ttl_ms"`
	Revoked bool     `json:"revoked,omitempty"` // its holder is not to go on, and has what time it was given
	Waiters []Waiter `json:"waiters,omitempty"` // who is next goes first
}

// What an Op does.
const (
	OpAcquire  = "acquire"
	OpWithdraw = "withdraw" // out of the queue
	OpRelease  = "release"
	OpExpire   = "expire"
	OpHandOver = "hand-over" // release to one that waits
	OpRevoke   = "revoke"    // no keep-alive counts any more; it ends when its time is over
)

// Op is one operation on a lease, in an entry of the log.
type Op struct {
	Kind     string `json:"do"`
	Name     string `json:"name"`
	Holder   string `json:"holder,omitempty"` // who asks, or to whom it is handed
	TTLMS    int64  `json:"ttl_ms,omitempty"`
	Token    uint64 `json:"token,omitempty"`
	Queue    bool   `json:"wait,omitempty"`
	Priority int    `json:"priority,omitempty"`
}

// Result is what an operation came to.
type Result struct {
	Lease  Lease  `json:"lease"` // as it is after it, without those who wait; the zero one if nobody has it
	Code   string `json:"code,omitempty"`
	Detail string `json:"why,omitempty"`
}

// Err is the error of the operation.
func (r Result) Err() error {
	if err, ok := codes[r.Code]; ok {
		return fmt.Errorf("%w: %s", err, r.Detail)
	}
	return nil
}

// FencingToken is a lease's name and the token under which somebody acts.
type FencingToken struct {
	Name  string `json:"name"`
	Token uint64 `json:"token"`
}

// State is the replicated part. Its fields are what a snapshot holds.
type State struct {
	LastToken   uint64           `json:"last"`   // the highest token or ticket given, for any name
	WaiterCount int              `json:"queued"` // who wait, for all names
	Leases      map[string]Lease `json:"leases"`
}

// NewState is one without a lease, whose tokens are all above a floor: a store that is
// restored from a backup goes on where the old one was.
func NewState(floor uint64) *State { return &State{LastToken: floor, Leases: map[string]Lease{}} }

// Clone copies it.
func (s *State) Clone() *State {
	c := &State{LastToken: s.LastToken, WaiterCount: s.WaiterCount, Leases: maps.Clone(s.Leases)}
	for name, l := range c.Leases {
		l.Waiters = slices.Clone(l.Waiters)
		c.Leases[name] = l
	}
	return c
}

// Validate finds what no state would take.
func Validate(name, holder string, ttlMS int64) error {
	switch {
	case !nameForm.MatchString(name):
		return fmt.Errorf("%w: name %.40q: want 1 to 128 letters, digits, or . _ : / -", ErrInvalidRequest, name)
	case !nameForm.MatchString(holder):
		return fmt.Errorf("%w: holder %.40q: want 1 to 128 letters, digits, or . _ : / -", ErrInvalidRequest, holder)
	case ttlMS < MinTTLMS || ttlMS > MaxTTLMS:
		return fmt.Errorf("%w: ttl of %d ms: want %d to %d", ErrInvalidRequest, ttlMS, MinTTLMS, MaxTTLMS)
	}
	return nil
}

func (s *State) next() uint64 { s.LastToken++; return s.LastToken }

// Acquire gives a free lease, and the same token again to who has it already: an answer
// may have been lost, and no other acts for that holder. Else, if wait is set, it puts the
// holder into the queue, once.
func (s *State) Acquire(name, holder string, ttlMS int64, wait bool, priority int) (Lease, error) {
	if err := Validate(name, holder, ttlMS); err != nil {
		return Lease{}, err
	}
	l, held := s.Leases[name]
	switch {
	case !held && len(s.Leases) >= MaxLeases:
		return Lease{}, fmt.Errorf("%w: %d are held", ErrTooMany, len(s.Leases))
	case !held:
		l = Lease{Holder: holder, Token: s.next(), TTLMS: ttlMS}
		s.Leases[name] = l
		return l, nil
	case l.Holder == holder && !l.Revoked:
		return l, nil
	case !wait || slices.ContainsFunc(l.Waiters, func(w Waiter) bool { return w.Holder == holder }):
		return l, ErrHeld
	case len(l.Waiters) >= MaxWaitersPerLease || s.WaiterCount >= MaxWaiters:
		return l, fmt.Errorf("%w: %d wait for %s", ErrTooMany, len(l.Waiters), name)
	}
	s.WaiterCount++
	l.Waiters = append(slices.Clone(l.Waiters), Waiter{holder, ttlMS, priority, s.next()})
	slices.SortStableFunc(l.Waiters, func(a, b Waiter) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Ticket, b.Ticket))
	})
	s.Leases[name] = l
	return l, ErrHeld
}

// Withdraw takes one that waits out of the queue.
func (s *State) Withdraw(name, holder string) {
	if l, ok := s.Leases[name]; ok {
		before := len(l.Waiters)
		l.Waiters = slices.DeleteFunc(slices.Clone(l.Waiters), func(w Waiter) bool { return w.Holder == holder })
		s.WaiterCount -= before - len(l.Waiters)
		s.Leases[name] = l
	}
}

// End ends a lease: released or expired. The first who waits has it then, at once and
// alone, under a new token; who it is comes back, if anybody does.
func (s *State) End(name string, token uint64) (next Lease, given bool, err error) {
	return s.pass(name, token, 0)
}

// pass ends a lease in favour of one that waits, if any does.
func (s *State) pass(name string, token uint64, at int) (next Lease, given bool, err error) {
	l, ok := s.Leases[name]
	if !ok || l.Token != token {
		return Lease{}, false, ErrNotHolder
	}
	if len(l.Waiters) == 0 {
		delete(s.Leases, name)
		return Lease{}, false, nil
	}
	w := l.Waiters[at]
	s.WaiterCount--
	next = Lease{Holder: w.Holder, Token: s.next(), TTLMS: w.TTLMS, Waiters: slices.Delete(slices.Clone(l.Waiters), at, at+1)}
	s.Leases[name] = next
	return next, true, nil
}

// handOver ends a lease in favour of a holder that waits for it.
func (s *State) handOver(name string, token uint64, to string) (Lease, error) {
	l, ok := s.Leases[name]
	if !ok || l.Token != token {
		return Lease{}, ErrNotHolder
	}
	at := slices.IndexFunc(l.Waiters, func(w Waiter) bool { return w.Holder == to })
	if at < 0 {
		return l, fmt.Errorf("%w: %s", ErrWaiterNotFound, to)
	}
	next, _, err := s.pass(name, token, at)
	return next, err
}

// revoke has a lease go on only for the time that its holder was given.
func (s *State) revoke(name string) (Lease, error) {
	l, ok := s.Leases[name]
	if !ok {
		return Lease{}, ErrNotHolder
	}
	l.Revoked = true
	s.Leases[name] = l
	return l, nil
}

// Apply carries an operation out, and tells whether the lease is another's now.
func (s *State) Apply(o Op) (r Result, given bool) {
	var l Lease
	var err error
	switch o.Kind {
	case OpAcquire:
		l, err = s.Acquire(o.Name, o.Holder, o.TTLMS, o.Queue, o.Priority)
	case OpWithdraw:
		s.Withdraw(o.Name, o.Holder)
		l = s.Leases[o.Name]
	case OpRelease, OpExpire:
		l, given, err = s.End(o.Name, o.Token)
	case OpHandOver:
		l, err = s.handOver(o.Name, o.Token, o.Holder)
		given = err == nil
	case OpRevoke:
		l, err = s.revoke(o.Name)
	default:
		err = fmt.Errorf("%w: unknown operation %q", ErrInvalidRequest, o.Kind)
	}
	if err != nil && l.Token == 0 {
		l = s.Leases[o.Name]
	}
	l.Waiters = nil
	r.Lease = l
	for code, known := range codes {
		if errors.Is(err, known) {
			r.Code, r.Detail = code, o.Name
			if code == "request" {
				r.Detail = err.Error()
			}
		}
	}
	return r, given
}

// RaiseTokenFloor has all later tokens be above a number: those of a cluster that was made anew,
// recovered, or filled from a backup must not be given twice.
func (s *State) RaiseTokenFloor(n uint64) { s.LastToken = max(s.LastToken, min(n, math.MaxInt64>>1)) }

// Holds is the fence: whether the token is that of the lease now.
func (s *State) Holds(name string, token uint64) bool {
	l, ok := s.Leases[name]
	return ok && l.Token == token
}
