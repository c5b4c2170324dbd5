package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
)

// leaseExpiryInterval is how often the leader looks which leases are over.
const leaseExpiryInterval = 20 * time.Millisecond

// leaseService is what a node does for leases while it leads: the timer of its term, and the
// requests that wait here for a lease.
type leaseService struct {
	startedAt    time.Time        // times of the timer are since then, monotonic
	leaderProver *freshnessProver // proves that this node leads

	mu      sync.Mutex
	timer   *lease.DeadlineTable // nil while this node does not lead
	term    uint64               // of the timer
	waiters map[leaseWaiter]chan struct{}
}

// leaseWaiter is a request that waits for a lease. Its channel is closed once it may have it.
type leaseWaiter struct{ name, holder string }

func newLeaseService(s *Store) *leaseService {
	return &leaseService{
		startedAt:    time.Now(),
		leaderProver: &freshnessProver{readIndex: s.ReadIndex},
		waiters:      map[leaseWaiter]chan struct{}{},
	}
}

// now is the timer's clock.
func (ls *leaseService) now() time.Duration { return time.Since(ls.startedAt) }

// granted wakes the one who waits for a lease, and nobody else.
func (ls *leaseService) granted(name, holder string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	waiter := leaseWaiter{name: name, holder: holder}
	if wake, ok := ls.waiters[waiter]; ok {
		close(wake)
		delete(ls.waiters, waiter)
	}
}

// awaitGrant is a channel that is closed once the holder has the lease. granted forgets it.
func (ls *leaseService) awaitGrant(name, holder string) <-chan struct{} {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	waiter := leaseWaiter{name: name, holder: holder}
	wake, ok := ls.waiters[waiter]
	if !ok {
		wake = make(chan struct{})
		ls.waiters[waiter] = wake
	}
	return wake
}

func (ls *leaseService) setTimer(timer *lease.DeadlineTable, term uint64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.timer = timer
	ls.term = term
}

// currentTimer is the timer of the present term, or ErrNoLeader.
func (ls *leaseService) currentTimer(inc *incarnation) (*lease.DeadlineTable, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.timer == nil || !inc.isLeader() || ls.term != inc.raft.CurrentTerm() {
		return nil, ErrNoLeader
	}
	return ls.timer, nil
}

// withLeases runs a function on a timer, if it still is the current one, and on the leases as this
// node knows them.
func (s *Store) withLeases(timer *lease.DeadlineTable, do func(*lease.State, time.Duration)) error {
	ls := s.leases
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.timer != timer || timer == nil {
		return ErrNoLeader
	}
	s.state.withLeases(func(state *lease.State) { do(state, ls.now()) })
	return nil
}

// manageLeases begins a timer when this node is elected, and ends the leases that are over.
func (s *Store) manageLeases(ctx context.Context, inc *incarnation) {
	ticker := time.NewTicker(leaseExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.leases.setTimer(nil, 0)
			return
		case <-ticker.C:
		}
		if err := s.expireLeases(ctx, inc); err != nil && ctx.Err() == nil {
			s.log.Debug("lease expiry failed", zap.Error(err))
		}
	}
}

func (s *Store) expireLeases(ctx context.Context, inc *incarnation) error {
	if !inc.isLeader() {
		s.leases.setTimer(nil, 0)
		return nil
	}
	timer, err := s.leases.currentTimer(inc)
	if err != nil {
		if timer, err = s.beginTimer(ctx, inc); err != nil {
			return err
		}
	}
	if _, ok := s.state.get(kv.ClusterKey); !ok {
		return nil // the entry that sets the ID also raises the first fencing token
	}
	if _, ok := s.state.get(kv.LeasesEnabledKey); !ok {
		return s.enableLeases(inc)
	}
	return s.commitDueOps(timer)
}

// beginTimer starts to count all leases anew, in a term in which this node is proven to lead and
// knows every lease that was granted before.
func (s *Store) beginTimer(ctx context.Context, inc *incarnation) (*lease.DeadlineTable, error) {
	term := inc.raft.CurrentTerm()
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	index, err := s.ReadIndex(ctx)
	if err == nil {
		err = s.waitApplied(ctx, index)
	}
	if err != nil || inc.raft.CurrentTerm() != term {
		return nil, errors.Join(ErrNoLeader, err)
	}
	timer := lease.NewDeadlineTable(s.leases.now())
	s.leases.setTimer(timer, term)
	return timer, nil
}

// commitDueOps ends the leases that are over, some in each log entry.
func (s *Store) commitDueOps(timer *lease.DeadlineTable) error {
	var due []lease.Op
	err := s.withLeases(timer, func(state *lease.State, now time.Duration) { due = timer.DueOps(state, now) })
	if err != nil {
		return err
	}
	for len(due) > 0 {
		n := min(len(due), lease.MaxOpsPerEntry)
		if _, err := s.Execute(kv.Request{LeaseOps: due[:n]}); err != nil {
			return err
		}
		due = due[n:]
	}
	return nil
}

// enableLeases admits leases to the store, for good, once all members know them.
func (s *Store) enableLeases(inc *incarnation) error {
	conf, _ := inc.configuration()
	for _, server := range conf.Servers {
		id := string(server.ID)
		if id == inc.memberID {
			continue
		}
		report, recent := s.peers.lastReport(diskidentity.MemberName(id))
		if !recent || report.ID != id || !report.SupportsLeases {
			return fmt.Errorf("%w: not known of %s", ErrLeasesUnavailable, id)
		}
	}
	_, err := s.Execute(kv.Request{
		If:   []kv.Compare{{Key: kv.LeasesEnabledKey}},
		Then: []kv.Op{{Kind: "put", Key: kv.LeasesEnabledKey, Value: []byte("true")}},
	})
	return err
}

// confirmLeadership proves that this node has led since the call, and waits until it knows all that
// was committed by then. It returns the timer of its term.
func (s *Store) confirmLeadership(ctx context.Context) (*lease.DeadlineTable, error) {
	inc, err := s.running()
	if err != nil {
		return nil, err
	}
	timer, err := s.leases.currentTimer(inc)
	if err != nil {
		return nil, err
	}
	if _, ok := s.state.get(kv.LeasesEnabledKey); !ok {
		return nil, ErrLeasesUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	proof, err := s.leases.leaderProver.prove(ctx)
	if err == nil {
		err = s.waitApplied(ctx, proof.index)
	}
	if err != nil {
		return nil, err
	}
	// Terms never go back: if the term is the timer's now, it was so all the time.
	if now, err := s.leases.currentTimer(inc); err != nil || now != timer {
		return nil, ErrNoLeader
	}
	return timer, nil
}
