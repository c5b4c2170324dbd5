package store

import (
	"context"
	"errors"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
)

// waiterRefreshInterval is how often the leader refreshes the timeout of a waiting request. A waiter that
// is not refreshed for lease.WaiterTimeout, three intervals, is removed from the queue.
const waiterRefreshInterval = time.Second

// LeaseRequest is a request for a lease.
type LeaseRequest struct {
	Name     string
	Holder   string // unique to the client: a retry by the same holder gets the same token
	TTLMS    int64  // milliseconds until the lease expires without a renewal
	Priority int    // waiters with a higher priority are served first
	MaxWait  time.Duration
}

// AcquireLease grants a lease. If the lease is still held after MaxWait (0 means no wait), it returns
// lease.ErrHeld with the current lease. The request leaves the queue when ctx ends. It returns ErrNoLeader
// on any node but the leader.
func (s *Store) AcquireLease(ctx context.Context, request LeaseRequest) (lease.Lease, error) {
	if err := lease.Validate(request.Name, request.Holder, request.TTLMS); err != nil {
		return lease.Lease{}, err
	}
	receivedAt := s.leases.now()
	deadlines, err := s.confirmedDeadlines(ctx)
	if err != nil {
		return lease.Lease{}, err
	}
	if request.MaxWait <= 0 {
		return s.tryAcquire(deadlines, request, receivedAt)
	}
	return s.acquireQueued(ctx, deadlines, request, receivedAt)
}

// acquireQueued waits in the lease's queue for at most MaxWait.
func (s *Store) acquireQueued(ctx context.Context, deadlines *lease.DeadlineTable, request LeaseRequest, receivedAt time.Duration) (lease.Lease, error) {
	defer s.leases.removeWaiter(request.Name, request.Holder)
	deadline := time.NewTimer(request.MaxWait)
	defer deadline.Stop()
	refresh := time.NewTicker(waiterRefreshInterval)
	defer refresh.Stop()
	for {
		granted := s.leases.grantSignal(request.Name, request.Holder) // created before tryAcquire, so that no grant is missed
		l, err := s.tryAcquire(deadlines, request, receivedAt)
		if !errors.Is(err, lease.ErrHeld) {
			return l, err
		}
		select {
		case <-granted:
			continue
		case <-refresh.C:
			continue // tryAcquire refreshes the waiter's timeout
		case <-deadline.C:
		case <-ctx.Done():
		}
		if err := s.withdraw(request); err != nil {
			return lease.Lease{}, err
		}
		request.MaxWait = 0
		return s.tryAcquire(deadlines, request, receivedAt) // the lease may have been granted before the withdrawal
	}
}

func (s *Store) withdraw(request LeaseRequest) error {
	op := lease.Op{Kind: lease.OpWithdraw, Name: request.Name, Holder: request.Holder}
	_, err := s.Execute(kv.Request{LeaseOps: []lease.Op{op}})
	return err
}

// tryAcquire grants a lease if it is free or already held by the requester. Otherwise it queues the
// request if MaxWait is set, and returns lease.ErrHeld. It writes no log entry if nothing changes.
func (s *Store) tryAcquire(deadlines *lease.DeadlineTable, request LeaseRequest, receivedAt time.Duration) (l lease.Lease, err error) {
	enqueue := request.MaxWait > 0
	needsLogEntry := true
	check := func(state *lease.State, now time.Duration) {
		l, needsLogEntry, err = deadlines.TryAcquire(state, request.Name, request.Holder, enqueue, receivedAt, now)
	}
	if leaderErr := s.withLeases(deadlines, check); leaderErr != nil || !needsLogEntry {
		return l, errors.Join(leaderErr, err)
	}
	op := lease.Op{Kind: lease.OpAcquire, Name: request.Name, Holder: request.Holder, TTLMS: request.TTLMS, Enqueue: enqueue, Priority: request.Priority}
	response, err := s.Execute(kv.Request{LeaseOps: []lease.Op{op}})
	if err != nil {
		return l, err
	}
	result := response.LeaseResults[0]
	if failure := result.Err(); failure != nil && !errors.Is(failure, lease.ErrHeld) {
		return result.Lease, failure
	}
	needsLogEntry = false
	if leaderErr := s.withLeases(deadlines, check); leaderErr != nil || !needsLogEntry {
		return l, errors.Join(leaderErr, err)
	}
	return l, lease.ErrHeld // the lease was granted by the entry, and has ended or changed holder since
}

// RenewLeases renews leases. lost has the names of the leases whose token is no longer the current one. The
// error is ErrNoLeader on any node but the leader.
func (s *Store) RenewLeases(ctx context.Context, list []lease.FencingToken) (renewed map[string]lease.Lease, lost []string, err error) {
	receivedAt := s.leases.now()
	deadlines, err := s.confirmedDeadlines(ctx)
	if err != nil {
		return nil, nil, err
	}
	renewed = map[string]lease.Lease{}
	err = s.withLeases(deadlines, func(state *lease.State, _ time.Duration) {
		for _, token := range list {
			if deadlines.Renew(state, token.Name, token.Token, receivedAt) != nil {
				lost = append(lost, token.Name)
			} else {
				renewed[token.Name] = state.Leases[token.Name]
			}
		}
	})
	return renewed, lost, err
}

// EndLease releases a lease, hands it over to the waiter handOverTo, or revokes it if token is 0. It
// returns ErrNoLeader on any node but the leader.
func (s *Store) EndLease(name string, token uint64, handOverTo string) error {
	op := lease.Op{Kind: lease.OpRelease, Name: name, Token: token}
	switch {
	case token == 0:
		op.Kind = lease.OpRevoke
	case handOverTo != "":
		op.Kind = lease.OpHandOver
		op.Holder = handOverTo
	}
	response, err := s.Execute(kv.Request{LeaseOps: []lease.Op{op}})
	if err != nil {
		return err
	}
	return response.LeaseResults[0].Err()
}

// Leases returns the held leases, or only the one named nameFilter, and the time until each expires without
// a renewal. It returns ErrNoLeader on any node but the leader.
func (s *Store) Leases(ctx context.Context, nameFilter string) (all map[string]lease.Lease, remaining map[string]time.Duration, err error) {
	deadlines, err := s.confirmedDeadlines(ctx)
	if err != nil {
		return nil, nil, err
	}
	all = map[string]lease.Lease{}
	remaining = map[string]time.Duration{}
	err = s.withLeases(deadlines, func(state *lease.State, now time.Duration) {
		for name, l := range state.Leases {
			if nameFilter == "" || nameFilter == name {
				all[name] = l
				remaining[name] = deadlines.Remaining(name, l, now)
			}
		}
	})
	return all, remaining, err
}
