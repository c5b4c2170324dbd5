package store

import (
	"context"
	"errors"
	"time"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
)

// waiterRefreshInterval is how often the leader notes that a waiting request is still there. A
// waiter that misses three of them (lease.WaiterTimeout) leaves the queue.
const waiterRefreshInterval = time.Second

// LeaseRequest is a request for a lease.
type LeaseRequest struct {
	Name     string
	Holder   string // unique to the caller: a retry under it is given the same token
	TTLMS    int64  // milliseconds for which the lease goes on without a keep-alive
	Priority int    // higher goes first among those who wait
	MaxWait  time.Duration
}

// AcquireLease grants a lease, or returns lease.ErrHeld with the present one after MaxWait (0 is at
// once). A request leaves the queue when ctx ends. It returns ErrNoLeader on any node but the leader.
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

// acquireQueued waits in the lease's queue for MaxWait at most.
func (s *Store) acquireQueued(ctx context.Context, deadlines *lease.DeadlineTable, request LeaseRequest, receivedAt time.Duration) (lease.Lease, error) {
	defer s.leases.removeWaiter(request.Name, request.Holder)
	deadline := time.NewTimer(request.MaxWait)
	defer deadline.Stop()
	refresh := time.NewTicker(waiterRefreshInterval)
	defer refresh.Stop()
	for {
		granted := s.leases.grantSignal(request.Name, request.Holder) // before the lease is looked at
		l, err := s.tryAcquire(deadlines, request, receivedAt)
		if !errors.Is(err, lease.ErrHeld) {
			return l, err
		}
		select {
		case <-granted:
			continue
		case <-refresh.C:
			continue // tryAcquire notes that the request is still there
		case <-deadline.C:
		case <-ctx.Done():
		}
		if err := s.withdraw(request); err != nil {
			return lease.Lease{}, err
		}
		request.MaxWait = 0
		return s.tryAcquire(deadlines, request, receivedAt) // it may have been granted meanwhile
	}
}

func (s *Store) withdraw(request LeaseRequest) error {
	op := lease.Op{Kind: lease.OpWithdraw, Name: request.Name, Holder: request.Holder}
	_, err := s.Execute(kv.Request{LeaseOps: []lease.Op{op}})
	return err
}

// tryAcquire grants a lease if it is free or the holder's already; otherwise the request enters the
// queue if it waits, and the error is lease.ErrHeld. What changes nothing needs no log entry.
func (s *Store) tryAcquire(deadlines *lease.DeadlineTable, request LeaseRequest, receivedAt time.Duration) (l lease.Lease, err error) {
	enqueue := request.MaxWait > 0
	needsLogEntry := true
	check := func(state *lease.State, now time.Duration) {
		l, needsLogEntry, err = deadlines.TryAcquire(state, request.Name, request.Holder, enqueue, receivedAt, now)
	}
	if lost := s.withLeases(deadlines, check); lost != nil || !needsLogEntry {
		return l, errors.Join(lost, err)
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
	if lost := s.withLeases(deadlines, check); lost != nil || !needsLogEntry {
		return l, errors.Join(lost, err)
	}
	return l, lease.ErrHeld // it was ended or passed on just now
}

// RenewLeases keeps leases alive, and names those whose token is not the current one any more. It
// returns ErrNoLeader on any node but the leader.
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

// EndLease releases a lease, hands it over to a waiter (handOverTo), or with token 0 revokes it. It
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

// Leases are the held ones, all of them or the one that is named, and how long each goes on without
// a keep-alive. It returns ErrNoLeader on any node but the leader.
func (s *Store) Leases(ctx context.Context, only string) (all map[string]lease.Lease, remaining map[string]time.Duration, err error) {
	deadlines, err := s.confirmedDeadlines(ctx)
	if err != nil {
		return nil, nil, err
	}
	all = map[string]lease.Lease{}
	remaining = map[string]time.Duration{}
	err = s.withLeases(deadlines, func(state *lease.State, now time.Duration) {
		for name, l := range state.Leases {
			if only == "" || only == name {
				all[name] = l
				remaining[name] = deadlines.Remaining(name, l, now)
			}
		}
	})
	return all, remaining, err
}
