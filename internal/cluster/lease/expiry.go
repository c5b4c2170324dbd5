package lease

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// WaiterTimeout is how long a waiter stays queued without a new request. While a request waits at the
// leader, the leader refreshes its waiter every second (store.waiterRefreshInterval).
const WaiterTimeout = 3 * time.Second

// fullScanInterval is the maximum time between two scans of all leases by DueOps.
const fullScanInterval = time.Hour

// DeadlineTable is the leader's record of the leases' deadlines and of the waiters' last requests, for
// one term of its leadership. All times are from the leader's monotonic clock. It is not safe for
// concurrent use.
type DeadlineTable struct {
	expiries     map[string]expiry           // by lease name
	lastHeard    map[waiterKey]time.Duration // time of each waiter's last request
	electedAt    time.Duration
	scannedToken uint64        // State.LastToken at DueOps's last scan of all leases
	nextDue      time.Duration // nothing is due earlier, unless a token or ticket was issued since
}

type waiterKey struct{ name, holder string }

type expiry struct {
	token          uint64
	deadline       time.Duration
	expiryProposed bool // OpExpire may be in the log already: a keep-alive can no longer extend the lease
}

// NewDeadlineTable returns the table of a leader elected at electedAt. Each existing lease is extended to
// a full TTL after that time, as the previous leader may have answered a keep-alive until then.
func NewDeadlineTable(electedAt time.Duration) *DeadlineTable {
	return &DeadlineTable{
		expiries:  map[string]expiry{},
		lastHeard: map[waiterKey]time.Duration{},
		electedAt: electedAt,
		nextDue:   electedAt,
	}
}

func (l Lease) ttl() time.Duration { return time.Duration(l.TTLMS) * time.Millisecond }

// expiryOf returns the expiry of a lease. A lease that is not in the table gets a deadline of a full TTL
// from now, which is never too early.
func (d *DeadlineTable) expiryOf(name string, l Lease, now time.Duration) expiry {
	e, ok := d.expiries[name]
	if !ok || e.token != l.Token {
		e = expiry{token: l.Token, deadline: max(now, d.electedAt) + l.ttl()}
		d.expiries[name] = e
		d.nextDue = min(d.nextDue, e.deadline)
	}
	return e
}

// Renew extends a lease on a keep-alive. arrivedAt is when the keep-alive arrived, before this node confirmed
// its leadership. It returns ErrNotHolder if the lease is not held under the token, is revoked, or is expiring.
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

// TryAcquire answers a request for a lease without a log entry, if possible: it renews the lease if the
// caller is the holder, and returns ErrHeld if another holder has the lease and the caller need not be
// enqueued. Otherwise needsLogEntry is true, and the request must go through the log as OpAcquire.
// enqueue reports whether the caller is willing to wait.
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
	case heldByCaller: // OpExpire may be in the log already
		return l, false, ErrHeld
	case held && (queued || !enqueue):
		return l, false, ErrHeld
	}
	return l, true, nil
}

// TouchWaiter records that a waiter has sent its request at time now.
func (d *DeadlineTable) TouchWaiter(name, holder string, now time.Duration) {
	d.lastHeard[waiterKey{name, holder}] = now
}

// Remaining returns the time until a lease expires without a further keep-alive, by this leader's table.
func (d *DeadlineTable) Remaining(name string, l Lease, now time.Duration) time.Duration {
	return d.expiryOf(name, l, now).deadline - now
}

// DueOps returns the operations to append to the log: OpExpire for leases whose deadline has passed, and
// OpWithdraw for waiters without a request for WaiterTimeout. A lease for which OpExpire was returned can't be
// renewed, as that operation may be in the log.
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
