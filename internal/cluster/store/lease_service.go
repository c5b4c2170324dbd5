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

// leaseService is what a node does for leases while it leads: the deadlines of all leases in its term
// (deadlines), and the requests that wait here for a lease.
type leaseService struct {
	startedAt       time.Time         // the times in deadlines are since then, monotonic
	leaderReadIndex *readIndexBatcher // confirms that this node leads

	mu        sync.Mutex
	deadlines *lease.DeadlineTable // nil while this node does not lead
	term      uint64               // of the deadlines
	waiters   map[leaseWaiter]chan struct{}
}

// leaseWaiter is a request that waits for a lease. Its channel is closed once it may have it.
type leaseWaiter struct{ name, holder string }

func newLeaseService(s *Store) *leaseService {
	return &leaseService{
		startedAt:       time.Now(),
		leaderReadIndex: &readIndexBatcher{readIndex: s.ReadIndex},
		waiters:         map[leaseWaiter]chan struct{}{},
	}
}

// now is the clock of deadlines.
func (ls *leaseService) now() time.Duration { return time.Since(ls.startedAt) }

// wakeWaiter wakes the request of a holder that waits for a lease, and no other.
func (ls *leaseService) wakeWaiter(name, holder string) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	waiter := leaseWaiter{name: name, holder: holder}
	if wake, ok := ls.waiters[waiter]; ok {
		close(wake)
		delete(ls.waiters, waiter)
	}
}

// forgetWaiter removes a request that waits no longer. Other requests under the same name and holder
// wake up, and look at the lease again.
func (ls *leaseService) forgetWaiter(name, holder string) { ls.wakeWaiter(name, holder) }

// grantSignal returns a channel that is closed once the holder has the lease, or by forgetWaiter.
func (ls *leaseService) grantSignal(name, holder string) <-chan struct{} {
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

func (ls *leaseService) setDeadlines(deadlines *lease.DeadlineTable, term uint64) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.deadlines = deadlines
	ls.term = term
}

// currentDeadlines are those of the current term. Its error is ErrNoLeader.
func (ls *leaseService) currentDeadlines(inc *incarnation) (*lease.DeadlineTable, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.deadlines == nil || !inc.isLeader() || ls.term != inc.raft.CurrentTerm() {
		return nil, ErrNoLeader
	}
	return ls.deadlines, nil
}

// withLeases runs a function on the leases in this node's state, under the lock, if the deadlines still
// are the current ones. Its error is ErrNoLeader.
func (s *Store) withLeases(deadlines *lease.DeadlineTable, do func(*lease.State, time.Duration)) error {
	ls := s.leases
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.deadlines != deadlines || deadlines == nil {
		return ErrNoLeader
	}
	s.state.withLeases(func(state *lease.State) { do(state, ls.now()) })
	return nil
}

// manageLeases begins new deadlines when this node is elected, and ends the leases that are over.
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
		if deadlines, err = s.beginDeadlines(ctx, inc); err != nil {
			return err
		}
	}
	if _, ok := s.state.get(kv.ClusterIDKey); !ok {
		return nil // the entry that sets the ID also raises the first fencing token
	}
	if _, ok := s.state.get(kv.LeasesEnabledKey); !ok {
		return s.enableLeases(inc)
	}
	return s.commitDueOps(deadlines)
}

// beginDeadlines gives all leases their full TTL anew, in a term in which a read index has confirmed that this
// node leads, and its state has every lease that was granted before.
func (s *Store) beginDeadlines(ctx context.Context, inc *incarnation) (*lease.DeadlineTable, error) {
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

// commitDueOps ends the leases that are over, some in each log entry.
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

// enableLeases admits leases to the store, for good, once all members know them.
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

// confirmedDeadlines confirms by a read index that this node leads since the call, and waits until its
// state has all that was committed by then. It returns the deadlines of its term; the error is
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
	// Terms never go back: if the current term is that of the deadlines now, it was so all the time.
	if now, err := s.leases.currentDeadlines(inc); err != nil || now != deadlines {
		return nil, ErrNoLeader
	}
	return deadlines, nil
}
