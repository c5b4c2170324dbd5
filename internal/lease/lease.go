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
	"regexp"
	"slices"
	"time"
)

// Limits.
const (
	Names   = 20000
	Waiters = 64 // of one name
	LeastMS = 500
	MostMS  = 10 * 60 * 1000
	// Margin is the part of a lease's time that its holder doesn't use. It covers clocks
	// of which one runs a tenth slow and the other a tenth fast: (1-Margin)/0.9 <= 1/1.1.
	Margin = 0.2
)

var (
	// ErrHeld: another one holds the lease; nothing was done.
	ErrHeld = errors.New("lease is held")
	// ErrGone: the token is not that of the lease any more.
	ErrGone = errors.New("lease is not the holder's any more")
	// ErrFull: there are too many leases, or too many who wait.
	ErrFull = errors.New("too many leases")
	// ErrRequest: a name, a time or a holder is out of its bounds.
	ErrRequest = errors.New("bad lease request")
)

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
	Waiters []Waiter `json:"waiters,omitempty"` // who is next goes first
}

// State is the replicated part. Its fields are what a snapshot holds.
type State struct {
	Last   uint64           `json:"last"` // the highest token or ticket given, for any name
	Leases map[string]Lease `json:"leases"`
}

// NewState is one without a lease, whose tokens are all above a floor: a store that is
// restored from a backup goes on where the old one was.
func NewState(floor uint64) *State { return &State{Last: floor, Leases: map[string]Lease{}} }

// Clone copies it.
func (s *State) Clone() *State {
	c := &State{Last: s.Last, Leases: maps.Clone(s.Leases)}
	for name, l := range c.Leases {
		l.Waiters = slices.Clone(l.Waiters)
		c.Leases[name] = l
	}
	return c
}

// Check finds what no state would take.
func Check(name, holder string, ttlMS int64) error {
	switch {
	case !nameForm.MatchString(name):
		return fmt.Errorf("%w: name %.40q: want 1 to 128 letters, digits, or . _ : / -", ErrRequest, name)
	case !nameForm.MatchString(holder):
		return fmt.Errorf("%w: holder %.40q: want 1 to 128 letters, digits, or . _ : / -", ErrRequest, holder)
	case ttlMS < LeastMS || ttlMS > MostMS:
		return fmt.Errorf("%w: ttl of %d ms: want %d to %d", ErrRequest, ttlMS, LeastMS, MostMS)
	}
	return nil
}

func (s *State) next() uint64 { s.Last++; return s.Last }

// Acquire gives a free lease, and the same token again to who has it already: an answer
// may have been lost, and no other acts for that holder. Else, if wait is set, it puts the
// holder into the queue, once.
func (s *State) Acquire(name, holder string, ttlMS int64, wait bool, priority int) (Lease, error) {
	if err := Check(name, holder, ttlMS); err != nil {
		return Lease{}, err
	}
	l, held := s.Leases[name]
	switch {
	case !held && len(s.Leases) >= Names:
		return Lease{}, fmt.Errorf("%w: %d are held", ErrFull, len(s.Leases))
	case !held:
		l = Lease{Holder: holder, Token: s.next(), TTLMS: ttlMS}
		s.Leases[name] = l
		return l, nil
	case l.Holder == holder:
		return l, nil
	case !wait || slices.ContainsFunc(l.Waiters, func(w Waiter) bool { return w.Holder == holder }):
		return l, ErrHeld
	case len(l.Waiters) >= Waiters:
		return l, fmt.Errorf("%w: %d wait for %s", ErrFull, len(l.Waiters), name)
	}
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
		l.Waiters = slices.DeleteFunc(slices.Clone(l.Waiters), func(w Waiter) bool { return w.Holder == holder })
		s.Leases[name] = l
	}
}

// End ends a lease: released, revoked or expired. The first who waits has it then, at
// once and alone, under a new token; who it is comes back, if anybody does.
func (s *State) End(name string, token uint64) (next Lease, given bool, err error) {
	l, ok := s.Leases[name]
	if !ok || l.Token != token {
		return Lease{}, false, ErrGone
	}
	if len(l.Waiters) == 0 {
		delete(s.Leases, name)
		return Lease{}, false, nil
	}
	w := l.Waiters[0]
	next = Lease{Holder: w.Holder, Token: s.next(), TTLMS: w.TTLMS, Waiters: slices.Clone(l.Waiters[1:])}
	s.Leases[name] = next
	return next, true, nil
}

// Holds is the fence: whether the token is that of the lease now.
func (s *State) Holds(name string, token uint64) bool {
	l, ok := s.Leases[name]
	return ok && l.Token == token
}

// Timer is the leader's, for as long as it leads in one go. Times are its own, monotonic.
type Timer struct {
	ends  map[string]ending
	since time.Duration // when it was elected
}

type ending struct {
	token uint64
	at    time.Duration
	over  bool // its end was proposed: no keep-alive revives it
}

// NewTimer is that of a leader elected at a time. What it inherits has its full time from
// then on, as it can't know what its predecessor answered.
func NewTimer(now time.Duration) *Timer { return &Timer{ends: map[string]ending{}, since: now} }

func ttlOf(l Lease) time.Duration { return time.Duration(l.TTLMS) * time.Millisecond }

// look gives the end of a lease, and begins to count it if it is new to the timer: from
// now on, which is never too early.
func (t *Timer) look(name string, l Lease, now time.Duration) ending {
	e, ok := t.ends[name]
	if !ok || e.token != l.Token {
		e = ending{token: l.Token, at: now + ttlOf(l)}
		t.ends[name] = e
	}
	return e
}

// Renew takes a keep-alive that came at a time, before this node made sure that it still
// leads. It tells whether the lease goes on.
func (t *Timer) Renew(s *State, name string, token uint64, came time.Duration) error {
	l, ok := s.Leases[name]
	if !ok || l.Token != token {
		return ErrGone
	}
	e := t.look(name, l, came)
	if e.over {
		return ErrGone
	}
	e.at = max(e.at, came+ttlOf(l))
	t.ends[name] = e
	return nil
}

// Due are the leases that are over at a time. From then on they are not renewed any more:
// their end may be in the log.
func (t *Timer) Due(s *State, now time.Duration) (due []string) {
	for name, l := range s.Leases {
		e := t.look(name, l, now)
		if e.over || now >= e.at {
			e.over = true
			t.ends[name] = e
			due = append(due, name)
		}
	}
	maps.DeleteFunc(t.ends, func(name string, _ ending) bool { _, ok := s.Leases[name]; return !ok })
	slices.Sort(due)
	return due
}

// Holder is the holder's side of one lease. Times are its own, monotonic.
type Holder struct {
	Token uint64
	TTL   time.Duration
	until time.Duration
	given uint64 // the last token that it gave back
}

// Granted notes an answer to a request that was sent at a time: the lease counts from
// then on. A token that it gave back doesn't count any more: its release may still be on
// its way, and overtaken by a request that was given the same token again.
func (h *Holder) Granted(token uint64, sent time.Duration) {
	if token <= h.given {
		return
	}
	if token != h.Token {
		h.Token, h.until = token, 0
	}
	h.until = max(h.until, sent+time.Duration(float64(h.TTL)*(1-Margin)))
}

// Release gives the lease back: what is to be told to the store is the token.
func (h *Holder) Release() (token uint64) {
	h.given = max(h.given, h.Token)
	token, h.Token, h.until = h.Token, 0, 0
	return token
}

// Lost notes that the lease is not its any more.
func (h *Holder) Lost() { h.Token, h.until = 0, 0 }

// Until is when it must have stopped acting, if no answer comes before.
func (h *Holder) Until() time.Duration { return h.until }

// May tells whether it may act at a time. Between this and the act it may stand still for
// any time: what matters goes through a fence.
func (h *Holder) May(now time.Duration) bool { return h.Token != 0 && now < h.until }

// Renew tells whether it is time for a keep-alive: a third of its time after the last.
func (h *Holder) Renew(now time.Duration) bool {
	used := time.Duration(float64(h.TTL) * (1 - Margin))
	return h.Token != 0 && now >= h.until-used+h.TTL/3
}

// Fence is what an outside resource does with tokens: it keeps the highest that it has
// seen, and refuses lower ones.
type Fence struct{ Highest uint64 }

// Admit tells whether an act under a token may take effect.
func (f *Fence) Admit(token uint64) bool {
	if token < f.Highest {
		return false
	}
	f.Highest = token
	return true
}
