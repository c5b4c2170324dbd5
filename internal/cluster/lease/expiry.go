package lease

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// WaiterTimeout is how long a waiter stays in a queue without a new request. A request that waits at
// the leader counts as sent again each second (store.waiterRefreshInterval).
const WaiterTimeout = 3 * time.Second

// fullScanInterval is when DueOps looks at all leases again if nothing is due before.
const fullScanInterval = time.Hour

// DeadlineTable is the leader's record of when leases end and when waiters were last heard of, for
// one term of its leadership. All
// times are the leader's own, monotonic. It is not safe for concurrent use.
type DeadlineTable struct {
	expiries     map[string]expiry           // by the lease's name
	lastHeard    map[waiterKey]time.Duration // when each waiter last sent its request
	electedAt    time.Duration
	scannedToken uint64        // State.LastToken when DueOps last looked at all leases
	nextDue      time.Duration // nothing is due earlier, unless a token or ticket was given since
}

type waiterKey struct{ name, holder string }

type expiry struct {
	token          uint64
	deadline       time.Duration
	expiryProposed bool // OpExpire may be in the log already: no keep-alive revives the lease
}

// NewDeadlineTable returns the table of a leader elected at a time. Each lease that it inherits has
// its full TTL from then on, as the predecessor may have answered a keep-alive until then.
func NewDeadlineTable(electedAt time.Duration) *DeadlineTable {
	return &DeadlineTable{
		expiries:  map[string]expiry{},
		lastHeard: map[waiterKey]time.Duration{},
		electedAt: electedAt,
		nextDue:   electedAt,
	}
}

func (l Lease) ttl() time.Duration { return time.Duration(l.TTLMS) * time.Millisecond }

// expiryOf returns the expiry of a lease. One that the table does not know has its full TTL from
// now on, which is never too early.
func (d *DeadlineTable) expiryOf(name string, l Lease, now time.Duration) expiry {
	e, ok := d.expiries[name]
	if !ok || e.token != l.Token {
		e = expiry{token: l.Token, deadline: max(now, d.electedAt) + l.ttl()}
		d.expiries[name] = e
		d.nextDue = min(d.nextDue, e.deadline)
	}
	return e
}

// Renew extends a lease by a keep-alive. arrivedAt is when that arrived, before this node made
// sure that it still leads. The error is ErrNotHolder if the lease does not go on.
func (d *DeadlineTable) Renew(s *State, name string, token uint64, arrivedAt time.Duration) error {
	l, ok := s.Leases[name]
	if !ok || l.Token != token {
		return ErrNotHolder
	}
	e := d.expiryOf(name, l, arrivedAt)
	if e.expiryProposed || l.Revoked {
		return ErrNotHolder
	}
	e.deadline = max(e.deadline, arrivedAt+l.ttl())
	d.expiries[name] = e
	return nil
}

// TryAcquire answers a request for a lease without an entry of the log, if that is possible:
// the holder's own lease is renewed, and a lease that another one holds stays as it is, with
// ErrHeld. Otherwise needsLogEntry is true: the request has to go through the log as
// OpAcquire. enqueue reports whether the caller wants a place in the queue.
func (d *DeadlineTable) TryAcquire(s *State, name, holder string, enqueue bool, arrivedAt, now time.Duration) (l Lease, needsLogEntry bool, err error) {
	l, held := s.Leases[name]
	queued := l.isQueued(holder)
	if queued {
		d.TouchWaiter(name, holder, now)
	}
	heldByCaller := held && l.Holder == holder && !l.Revoked
	switch {
	case heldByCaller && d.Renew(s, name, l.Token, arrivedAt) == nil:
		return l, false, nil
	case heldByCaller: // its OpExpire may be in the log already
		return l, false, ErrHeld
	case held && (queued || !enqueue):
		return l, false, ErrHeld
	}
	return l, true, nil
}

// TouchWaiter notes that a waiter has sent its request again.
func (d *DeadlineTable) TouchWaiter(name, holder string, now time.Duration) {
	d.lastHeard[waiterKey{name, holder}] = now
}

// Remaining returns how long a lease goes on without a keep-alive, as far as this leader knows.
func (d *DeadlineTable) Remaining(name string, l Lease, now time.Duration) time.Duration {
	return d.expiryOf(name, l, now).deadline - now
}

// DueOps returns the operations that are due, for the log: OpExpire for leases whose TTL is over,
// and OpWithdraw for waiters that have sent no request for WaiterTimeout. From then on such a lease can't
// be renewed any more, as its end may be in the log.
func (d *DeadlineTable) DueOps(s *State, now time.Duration) []Op {
	if now < d.nextDue && s.LastToken == d.scannedToken {
		return nil
	}
	d.scannedToken = s.LastToken
	d.nextDue = now + fullScanInterval
	var due []Op
	waiting := map[waiterKey]bool{}
	for name, l := range s.Leases {
		due = d.appendExpiry(due, name, l, now)
		for _, w := range l.Waiters {
			key := waiterKey{name, w.Holder}
			waiting[key] = true
			due = d.appendWithdrawal(due, key, now)
		}
	}
	maps.DeleteFunc(d.expiries, func(name string, _ expiry) bool {
		_, held := s.Leases[name]
		return !held
	})
	maps.DeleteFunc(d.lastHeard, func(key waiterKey, _ time.Duration) bool { return !waiting[key] })
	slices.SortFunc(due, func(a, b Op) int { return strings.Compare(a.Name+" "+a.Holder, b.Name+" "+b.Holder) })
	return due
}

func (d *DeadlineTable) appendExpiry(due []Op, name string, l Lease, now time.Duration) []Op {
	e := d.expiryOf(name, l, now)
	if e.expiryProposed || now >= e.deadline {
		e.expiryProposed = true
		d.expiries[name] = e
		due = append(due, Op{Kind: OpExpire, Name: name, Token: l.Token})
	}
	d.nextDue = min(d.nextDue, e.deadline)
	return due
}

func (d *DeadlineTable) appendWithdrawal(due []Op, key waiterKey, now time.Duration) []Op {
	heardAt, known := d.lastHeard[key]
	if !known {
		heardAt = now
		d.lastHeard[key] = heardAt
	}
	if now >= heardAt+WaiterTimeout {
		due = append(due, Op{Kind: OpWithdraw, Name: key.name, Holder: key.holder})
	}
	d.nextDue = min(d.nextDue, heardAt+WaiterTimeout)
	return due
}
