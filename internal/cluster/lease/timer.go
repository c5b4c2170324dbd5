package lease

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// WaiterTimeout is how long one that waits stays in the queue without being heard of.
const WaiterTimeout = 3 * time.Second

// ExpiryTimer is the leader's, for as long as it leads in one go. Times are its own, monotonic.
type ExpiryTimer struct {
	ends  map[string]ending
	heard map[place]time.Duration // when those who wait were last heard of
	since time.Duration           // when it was elected
	last  uint64                  // of the state that it looked at
	next  time.Duration           // nothing is due earlier, unless the state gets a new token or ticket
}

// place is one in a queue.
type place struct{ name, holder string }

type ending struct {
	token uint64
	at    time.Duration
	over  bool // its end was proposed: no keep-alive revives it
}

// NewExpiryTimer is that of a leader elected at a time. What it inherits has its full time from
// then on, as it can't know what its predecessor answered.
func NewExpiryTimer(now time.Duration) *ExpiryTimer {
	return &ExpiryTimer{ends: map[string]ending{}, heard: map[place]time.Duration{}, since: now, next: now}
}

func ttlOf(l Lease) time.Duration { return time.Duration(l.TTLMS) * time.Millisecond }

// look gives the end of a lease, and begins to count it if it is new to the timer: from
// now on, which is never too early.
func (t *ExpiryTimer) look(name string, l Lease, now time.Duration) ending {
	e, ok := t.ends[name]
	if !ok || e.token != l.Token {
		e = ending{token: l.Token, at: max(now, t.since) + ttlOf(l)}
		t.ends[name] = e
		t.next = min(t.next, e.at)
	}
	return e
}

// Renew takes a keep-alive that came at a time, before this node made sure that it still
// leads. It tells whether the lease goes on.
func (t *ExpiryTimer) Renew(s *State, name string, token uint64, came time.Duration) error {
	l, ok := s.Leases[name]
	if !ok || l.Token != token {
		return ErrNotHolder
	}
	e := t.look(name, l, came)
	if e.over || l.Revoked {
		return ErrNotHolder
	}
	e.at = max(e.at, came+ttlOf(l))
	t.ends[name] = e
	return nil
}

// TryAcquire tells what a request that came at a time is answered with, if that needs no entry of
// the log: the holder's own lease goes on, as by a keep-alive, and one that can't be had
// leaves all as it is.
func (t *ExpiryTimer) TryAcquire(s *State, name, holder string, wait bool, came, now time.Duration) (l Lease, needed bool, err error) {
	l, held := s.Leases[name]
	queued := slices.ContainsFunc(l.Waiters, func(w Waiter) bool { return w.Holder == holder })
	if queued {
		t.TouchWaiter(name, holder, now)
	}
	own := held && l.Holder == holder && !l.Revoked
	switch {
	case own && t.Renew(s, name, l.Token, came) == nil:
		return l, false, nil
	case own: // its end may be in the log already
		return l, false, ErrHeld
	case held && (queued || !wait):
		return l, false, ErrHeld
	}
	return l, true, nil
}

// TouchWaiter notes that one that waits for a lease is there.
func (t *ExpiryTimer) TouchWaiter(name, holder string, now time.Duration) {
	t.heard[place{name, holder}] = now
}

// Remaining is how long a lease goes on without a keep-alive, as far as this leader knows.
func (t *ExpiryTimer) Remaining(name string, l Lease, now time.Duration) time.Duration {
	return t.look(name, l, now).at - now
}

// DueOps is what has to be done at a time, as entries of the log: leases that are over end,
// and those who wait and are not heard of leave the queue. Leases that are over are not
// renewed any more from then on: their end may be in the log.
func (t *ExpiryTimer) DueOps(s *State, now time.Duration) (due []Op) {
	if now < t.next && s.LastToken == t.last {
		return nil
	}
	t.last, t.next = s.LastToken, now+time.Hour
	waiting := map[place]bool{}
	for name, l := range s.Leases {
		e := t.look(name, l, now)
		if e.over || now >= e.at {
			e.over = true
			t.ends[name] = e
			due = append(due, Op{Kind: OpExpire, Name: name, Token: l.Token})
		}
		t.next = min(t.next, e.at)
		for _, w := range l.Waiters {
			p := place{name, w.Holder}
			at, known := t.heard[p]
			if !known {
				at = now
				t.heard[p] = at
			}
			waiting[p] = true
			if now >= at+WaiterTimeout {
				due = append(due, Op{Kind: OpWithdraw, Name: name, Holder: w.Holder})
			}
			t.next = min(t.next, at+WaiterTimeout)
		}
	}
	maps.DeleteFunc(t.ends, func(name string, _ ending) bool { _, ok := s.Leases[name]; return !ok })
	maps.DeleteFunc(t.heard, func(p place, _ time.Duration) bool { return !waiting[p] })
	slices.SortFunc(due, func(a, b Op) int { return strings.Compare(a.Name+" "+a.Holder, b.Name+" "+b.Holder) })
	return due
}
