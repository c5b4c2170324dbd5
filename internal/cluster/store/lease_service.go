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

// leaseExpiryInterval is how often the leader checks for expired leases.
const leaseExpiryInterval = 20 * time.Millisecond

// leaseService manages leases while this node is the leader: the deadlines of all leases in its term, and
// the requests that wait on this node for a lease.
type leaseService struct {
	startedAt       time.Time         // origin of the monotonic times in deadlines
	leaderReadIndex *readIndexBatcher // confirms that this node is the leader

	mu        sync.Mutex
	deadlines *lease.DeadlineTable // nil while this node is not the leader
	term      uint64               // Raft term of deadlines
	waiters   map[leaseWaiter]chan struct{}
}

// leaseWaiter identifies a request that waits for a lease. Its channel is closed when the lease may have
// been granted to it.
type leaseWaiter struct{ name, holder string }

func newLeaseService(s *Store) *leaseService {
	return &leaseService{
		startedAt:       time.Now(),
		leaderReadIndex: &readIndexBatcher{readIndex: s.ReadIndex},
		waiters:         map[leaseWaiter]chan struct{}{},
	}
}

// now returns the current time on the clock of deadlines.
func (ls *leaseService) now() time.Duration { return time.Since(ls.startedAt) }

// wakeWaiter wakes the requests of one holder that wait for a lease.
func (ls *leaseService) wakeWaiter(name, holder string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	waiter := leaseWaiter{name: name, holder: holder}
	if signal, ok := ls.waiters[waiter]; ok {
		close(signal)
		delete(ls.waiters, waiter)
	}
}

// removeWaiter removes a request that no longer waits. Other requests with the same lease and holder wake
// up and check the lease again.
func (ls *leaseService) removeWaiter(name, holder string) { ls.wakeWaiter(name, holder) }

// grantSignal returns a channel that is closed when the lease is granted to the holder, or by
// removeWaiter.
func (ls *leaseService) grantSignal(name, holder string) <-chan struct{} {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	waiter := leaseWaiter{name: name, holder: holder}
	signal, ok := ls.waiters[waiter]
	if !ok {
		signal = make(chan struct{})
		ls.waiters[waiter] = signal
	}
	return signal
}

func (ls *leaseService) setDeadlines(deadlines *lease.DeadlineTable, term uint64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.deadlines = deadlines
	ls.term = term
}

// currentDeadlines returns the deadlines of the current term, or ErrNoLeader.
func (ls *leaseService) currentDeadlines(inc *incarnation) (*lease.DeadlineTable, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.deadlines == nil || !inc.isLeader() || ls.term != inc.raft.CurrentTerm() {
		return nil, ErrNoLeader
	}
	return ls.deadlines, nil
}

// withLeases calls fn on the leases of this node's state, with the locks held, if deadlines are still the
// current ones. Otherwise it returns ErrNoLeader.
func (s *Store) withLeases(deadlines *lease.DeadlineTable, fn func(*lease.State, time.Duration)) error {
	ls := s.leases
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.deadlines != deadlines || deadlines == nil {
		return ErrNoLeader
	}
	s.state.withLeases(func(state *lease.State) { fn(state, ls.now()) })
	return nil
}

// manageLeases creates the deadlines when this node is elected, and ends expired leases.
func (s *Store) manageLeases(ctx context.Context, inc *incarnation) {
	ticker := time.NewTicker(leaseExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.leases.setDeadlines(nil, 0)
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
		s.leases.setDeadlines(nil, 0)
		return nil
	}
	deadlines, err := s.leases.currentDeadlines(inc)
	if err != nil {
		if deadlines, err = s.startDeadlines(ctx, inc); err != nil {
			return err
		}
	}
	if _, ok := s.state.get(kv.ClusterIDKey); !ok {
		return nil // the entry that sets the cluster ID also raises the first fencing token
	}
	if _, ok := s.state.get(kv.LeasesEnabledKey); !ok {
		return s.enableLeases(inc)
	}
	return s.commitDueOps(deadlines)
}

// startDeadlines restarts the full TTL of every lease in a new term. Before that, a read index confirms
// that this node is the leader and that its state includes all earlier grants.
func (s *Store) startDeadlines(ctx context.Context, inc *incarnation) (*lease.DeadlineTable, error) {
	term := inc.raft.CurrentTerm()
	ctx, cancel := context.WithTimeout(ctx, readIndexTimeout)
	defer cancel()
	index, err := s.ReadIndex(ctx)
	if err == nil {
		err = s.waitApplied(ctx, index)
	}
	if err != nil || inc.raft.CurrentTerm() != term {
		return nil, errors.Join(ErrNoLeader, err)
	}
	deadlines := lease.NewDeadlineTable(s.leases.now())
	s.leases.setDeadlines(deadlines, term)
	return deadlines, nil
}

// commitDueOps ends expired leases, up to lease.MaxOpsPerEntry in each log entry.
func (s *Store) commitDueOps(deadlines *lease.DeadlineTable) error {
	var due []lease.Op
	err := s.withLeases(deadlines, func(state *lease.State, now time.Duration) { due = deadlines.DueOps(state, now) })
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

// enableLeases permanently enables leases in the store once all members have reported that they support
// leases.
func (s *Store) enableLeases(inc *incarnation) error {
	conf := inc.configuration()
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
		Then: []kv.Op{kv.Put(kv.LeasesEnabledKey, []byte("true"))},
	})
	return err
}

// confirmedDeadlines confirms by a read index that this node is the leader, and waits until its state
// includes all entries committed before the call. It returns the deadlines of its term. The error is
// ErrNoLeader, ErrLeasesUnavailable or that of the read index.
func (s *Store) confirmedDeadlines(ctx context.Context) (*lease.DeadlineTable, error) {
	inc, err := s.running()
	if err != nil {
		return nil, err
	}
	deadlines, err := s.leases.currentDeadlines(inc)
	if err != nil {
		return nil, err
	}
	if _, ok := s.state.get(kv.LeasesEnabledKey); !ok {
		return nil, ErrLeasesUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, readIndexTimeout)
	defer cancel()
	confirmed, err := s.leases.leaderReadIndex.await(ctx)
	if err == nil {
		err = s.waitApplied(ctx, confirmed.index)
	}
	if err != nil {
		return nil, err
	}
	// Terms never decrease: if the deadlines belong to the current term now, they did throughout the call.
	if now, err := s.leases.currentDeadlines(inc); err != nil || now != deadlines {
		return nil, ErrNoLeader
	}
	return deadlines, nil
}
