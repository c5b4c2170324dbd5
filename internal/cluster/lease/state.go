package lease

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Waiter is a holder that waits for a lease that another one holds.
type Waiter struct {
	Holder   string `json:"holder"`
	TTLMS    int64  `json:"ttl_ms"`             // milliseconds
	Priority int    `json:"priority,omitempty"` // higher goes first
	Ticket   uint64 `json:"ticket"`             // grows in the order of arrival
}

// Lease is a lease that is held. The zero value stands for a free one.
type Lease struct {
	Holder  string   `json:"holder"`
	Token   uint64   `json:"token"`
	TTLMS   int64    `json:"ttl_ms"`            // milliseconds
	Revoked bool     `json:"revoked,omitempty"` // keep-alives do not count any more; it ends with its TTL
	Waiters []Waiter `json:"waiters,omitempty"` // the next holder first
}

// State is the replicated part. A snapshot holds its fields.
type State struct {
	LastToken   uint64           `json:"last"`   // the highest token or ticket given, for any name
	WaiterCount int              `json:"queued"` // in all queues
	Leases      map[string]Lease `json:"leases"` // by name; only those that are held
}

// NewState returns a state without a lease. Its tokens are all above tokenFloor, so that a store
// restored from a backup does not repeat those of the old one.
func NewState(tokenFloor uint64) *State {
	return &State{LastToken: tokenFloor, Leases: map[string]Lease{}}
}

// Clone returns a deep copy.
func (s *State) Clone() *State {
	c := &State{LastToken: s.LastToken, WaiterCount: s.WaiterCount, Leases: maps.Clone(s.Leases)}
	for name, l := range c.Leases {
		l.Waiters = slices.Clone(l.Waiters)
		c.Leases[name] = l
	}
	return c
}

// RaiseTokenFloor makes all later tokens greater than floor. A cluster that was recovered, or
// restored from a backup, must not give a token of its predecessor again.
func (s *State) RaiseTokenFloor(floor uint64) {
	const highestFloor = math.MaxInt64 >> 1 // leaves enough tokens above it
	s.LastToken = max(s.LastToken, min(floor, highestFloor))
}

func (s *State) nextToken() uint64 {
	s.LastToken++
	return s.LastToken
}

// Acquire grants a lease that is free. It returns the same token again to the present holder,
// whose answer may have been lost; no other process goes by that name. If another holder has
// the lease, the error is ErrHeld; with enqueue, the caller is then put in the queue, once.
// The TTL is in milliseconds.
func (s *State) Acquire(name, holder string, ttlMS int64, enqueue bool, priority int) (Lease, error) {
	if err := Validate(name, holder, ttlMS); err != nil {
		return Lease{}, err
	}
	l, held := s.Leases[name]
	switch {
	case !held && len(s.Leases) >= MaxLeases:
		return Lease{}, fmt.Errorf("%w: %d are held", ErrTooMany, len(s.Leases))
	case !held:
		l = Lease{Holder: holder, Token: s.nextToken(), TTLMS: ttlMS}
		s.Leases[name] = l
		return l, nil
	case l.Holder == holder && !l.Revoked:
		return l, nil
	case !enqueue || l.isQueued(holder):
		return l, ErrHeld
	case len(l.Waiters) >= MaxWaitersPerLease || s.WaiterCount >= MaxWaiters:
		return l, fmt.Errorf("%w: %d wait for %s", ErrTooMany, len(l.Waiters), name)
	}
	return s.enqueue(name, Waiter{Holder: holder, TTLMS: ttlMS, Priority: priority}), ErrHeld
}

func (l Lease) isQueued(holder string) bool {
	return slices.ContainsFunc(l.Waiters, func(w Waiter) bool { return w.Holder == holder })
}

// enqueue puts a waiter behind those of its priority.
func (s *State) enqueue(name string, w Waiter) Lease {
	w.Ticket = s.nextToken()
	s.WaiterCount++
	l := s.Leases[name]
	l.Waiters = append(slices.Clone(l.Waiters), w)
	slices.SortStableFunc(l.Waiters, func(a, b Waiter) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Ticket, b.Ticket))
	})
	s.Leases[name] = l
	return l
}

// Withdraw takes a waiter out of the queue.
func (s *State) Withdraw(name, holder string) {
	l, ok := s.Leases[name]
	if !ok {
		return
	}
	before := len(l.Waiters)
	l.Waiters = slices.DeleteFunc(slices.Clone(l.Waiters), func(w Waiter) bool { return w.Holder == holder })
	s.WaiterCount -= before - len(l.Waiters)
	s.Leases[name] = l
}

// End ends a lease that was released or has expired. If anybody waits for it, the first one
// has it at once, under a new token: granted is true then, and next is that lease.
func (s *State) End(name string, token uint64) (next Lease, granted bool, err error) {
	return s.endInFavorOf(name, token, 0)
}

// endInFavorOf ends a lease and grants it to the waiter at an index of the queue (0 is the next
// one), if there is a queue.
func (s *State) endInFavorOf(name string, token uint64, index int) (next Lease, granted bool, err error) {
	l, ok := s.Leases[name]
	if !ok || l.Token != token {
		return Lease{}, false, ErrNotHolder
	}
	if len(l.Waiters) == 0 {
		delete(s.Leases, name)
		return Lease{}, false, nil
	}
	waiter := l.Waiters[index]
	s.WaiterCount--
	next = Lease{
		Holder:  waiter.Holder,
		Token:   s.nextToken(),
		TTLMS:   waiter.TTLMS,
		Waiters: slices.Delete(slices.Clone(l.Waiters), index, index+1),
	}
	s.Leases[name] = next
	return next, true, nil
}

// handOver ends a lease in favour of a holder that waits for it.
func (s *State) handOver(name string, token uint64, to string) (Lease, error) {
	l, ok := s.Leases[name]
	if !ok || l.Token != token {
		return Lease{}, ErrNotHolder
	}
	index := slices.IndexFunc(l.Waiters, func(w Waiter) bool { return w.Holder == to })
	if index < 0 {
		return l, fmt.Errorf("%w: %s", ErrWaiterNotFound, to)
	}
	next, _, err := s.endInFavorOf(name, token, index)
	return next, err
}

// revoke ends a lease when the TTL of its last keep-alive is over.
func (s *State) revoke(name string) (Lease, error) {
	l, ok := s.Leases[name]
	if !ok {
		return Lease{}, ErrNotHolder
	}
	l.Revoked = true
	s.Leases[name] = l
	return l, nil
}
