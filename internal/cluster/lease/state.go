package lease

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Waiter is a process that waits for a lease that another holder has.
type Waiter struct {
	Holder   string `json:"holder"`
	TTLMS    int64  `json:"ttl_ms"`             // requested TTL in milliseconds
	Priority int    `json:"priority,omitempty"` // a higher priority is served first
	Ticket   uint64 `json:"ticket"`             // increases in the order of arrival
}

// Lease is a lease that is held. The zero value is a free lease.
type Lease struct {
	Holder  string   `json:"holder"`
	Token   uint64   `json:"token"`
	TTLMS   int64    `json:"ttl_ms"`            // TTL in milliseconds
	Revoked bool     `json:"revoked,omitempty"` // keep-alives are rejected; the lease ends with its TTL
	Waiters []Waiter `json:"waiters,omitempty"` // in the order in which they are served
}

// State is the replicated state of all leases. Snapshots contain its fields.
type State struct {
	LastToken   uint64           `json:"last"`   // highest issued token or ticket, for any lease
	WaiterCount int              `json:"queued"` // waiters for all leases
	Leases      map[string]Lease `json:"leases"` // held leases by name
}

// NewState returns a state without leases. It issues tokens above tokenFloor, so that a store restored from a
// backup does not issue a token of the original store again.
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
// restored from a backup, must not issue a token of its predecessor again.
func (s *State) RaiseTokenFloor(floor uint64) {
	const highestFloor = math.MaxInt64 >> 1 // leaves enough higher tokens for later grants
	s.LastToken = max(s.LastToken, min(floor, highestFloor))
}

func (s *State) nextToken() uint64 {
	s.LastToken++
	return s.LastToken
}

// Acquire grants a lease that is free. If the caller holds the lease already, Acquire returns the lease
// with the same token, as the earlier answer may have been lost; holder names are unique to a process. If
// another holder has the lease, the error is ErrHeld; with enqueue, the caller is added to the queue, at
// most once. The TTL is in milliseconds.
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

// enqueue adds a waiter to the queue, after the waiters with the same or a higher priority.
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

// Withdraw removes a waiter from the queue.
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

// End ends a lease that was released or has expired. If there are waiters, it grants the lease to the
// first one under a new token: granted is then true, and next is the new lease.
func (s *State) End(name string, token uint64) (next Lease, granted bool, err error) {
	return s.endInFavorOf(name, token, 0)
}

// endInFavorOf ends a lease. If there are waiters, it grants the lease to the one at the given index of the
// queue.
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

// handOver ends a lease and grants it to the waiter named to.
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

// revoke marks a lease as revoked: it can't be renewed, and ends a TTL after its last keep-alive.
func (s *State) revoke(name string) (Lease, error) {
	l, ok := s.Leases[name]
	if !ok {
		return Lease{}, ErrNotHolder
	}
	l.Revoked = true
	s.Leases[name] = l
	return l, nil
}
