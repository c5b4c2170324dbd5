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

const (
	leaseLook  = 20 * time.Millisecond // how often the leader looks which leases are over
	waiterLook = time.Second           // how often it notes that one who waits is still there
)

// ErrLeasesUnavailable means that leases can't be had yet: a member is of a version that would
// not understand them.
var ErrLeasesUnavailable = errors.New("leases wait until all members know them")

// leaseService is what a node does for leases while it leads: the timer of its term, and those
// who wait here for a lease.
type leaseService struct {
	startedAt    time.Time // times are since then, monotonic
	leaderProver *prover   // that this node leads

	mu      sync.Mutex
	timer   *lease.ExpiryTimer
	term    uint64
	waiters map[[2]string]chan struct{} // by name and holder; closed once it has the lease
}

func newLeaseService(s *Store) *leaseService {
	return &leaseService{startedAt: time.Now(), leaderProver: &prover{readIndex: s.ReadIndex}, waiters: map[[2]string]chan struct{}{}}
}

func (x *leaseService) now() time.Duration { return time.Since(x.startedAt) }

// granted wakes the one who waits for a lease, and nobody else.
func (x *leaseService) granted(name, holder string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	place := [2]string{name, holder}
	if c, ok := x.waiters[place]; ok {
		close(c)
		delete(x.waiters, place)
	}
}

// awaitGrant gives a channel that is closed once the holder has the lease.
func (x *leaseService) awaitGrant(name, holder string) <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	place := [2]string{name, holder}
	c, ok := x.waiters[place]
	if !ok {
		c = make(chan struct{})
		x.waiters[place] = c
	}
	return c
}

// with runs something on the timer and the leases as this node knows them.
func (s *Store) withLeases(t *lease.ExpiryTimer, do func(*lease.State, time.Duration)) error {
	x := s.leases
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.timer != t || t == nil {
		return ErrNoLeader
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	do(s.state.data.Leases, x.now())
	return nil
}

// manageLeases begins to count when this node is elected, and ends the leases that are over.
func (s *Store) manageLeases(ctx context.Context, l *incarnation) {
	tick := time.NewTicker(leaseLook)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.leases.setTimer(nil, 0)
			return
		case <-tick.C:
		}
		if err := s.expireLeases(ctx, l); err != nil && ctx.Err() == nil {
			s.log.Debug("leases", zap.Error(err))
		}
	}
}

func (x *leaseService) setTimer(t *lease.ExpiryTimer, term uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.timer, x.term = t, term
}

// currentTimer is the timer of the present term.
func (x *leaseService) currentTimer(l *incarnation) (*lease.ExpiryTimer, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.timer == nil || !l.isLeader() || x.term != l.raft.CurrentTerm() {
		return nil, ErrNoLeader
	}
	return x.timer, nil
}

func (s *Store) expireLeases(ctx context.Context, l *incarnation) error {
	if !l.isLeader() {
		s.leases.setTimer(nil, 0)
		return nil
	}
	t, err := s.leases.currentTimer(l)
	if err != nil {
		term := l.raft.CurrentTerm()
		ctx, cancel := context.WithTimeout(ctx, proveTimeout)
		defer cancel()
		index, err := s.ReadIndex(ctx)
		if err == nil {
			err = s.waitApplied(ctx, index)
		}
		if err != nil || l.raft.CurrentTerm() != term {
			return errors.Join(ErrNoLeader, err)
		}
		t = lease.NewExpiryTimer(s.leases.now())
		s.leases.setTimer(t, term)
	}
	if _, ok := s.state.get(kv.ClusterKey); !ok {
		return nil // tokens begin where the id does
	}
	if _, ok := s.state.get(kv.LeasesEnabledKey); !ok {
		return s.enableLeases(l)
	}
	var due []lease.Op
	if err := s.withLeases(t, func(st *lease.State, now time.Duration) { due = t.DueOps(st, now) }); err != nil {
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

// enableLeases opens the store for leases, for good, once all members know them.
func (s *Store) enableLeases(l *incarnation) error {
	conf, _ := l.configuration()
	for _, x := range conf.Servers {
		if id := string(x.ID); id != l.memberID {
			if h, now := s.peers.lastReport(diskidentity.MemberName(id)); !now || h.ID != id || !h.SupportsLeases {
				return fmt.Errorf("%w: not known of %s", ErrLeasesUnavailable, id)
			}
		}
	}
	_, err := s.Execute(kv.Request{If: []kv.Compare{{Key: kv.LeasesEnabledKey}},
		Then: []kv.Op{{Kind: "put", Key: kv.LeasesEnabledKey, Value: []byte("true")}}})
	return err
}

// confirmLeadership makes sure that this node has led since the call, and that it knows all that was
// committed by then. It gives the timer of its term.
func (s *Store) confirmLeadership(ctx context.Context) (*lease.ExpiryTimer, error) {
	l, err := s.running()
	if err != nil {
		return nil, err
	}
	t, err := s.leases.currentTimer(l)
	if err != nil {
		return nil, err
	}
	if _, ok := s.state.get(kv.LeasesEnabledKey); !ok {
		return nil, ErrLeasesUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	p, err := s.leases.leaderProver.prove(ctx)
	if err == nil {
		err = s.waitApplied(ctx, p.index)
	}
	if err != nil {
		return nil, err
	}
	// The term never goes back: if it is the timer's now, it was all the time.
	if now, err := s.leases.currentTimer(l); err != nil || now != t {
		return nil, ErrNoLeader
	}
	return t, nil
}

// LeaseRequest is a request for a lease.
type LeaseRequest struct {
	Name     string
	Holder   string // nobody else goes by this name: who asks again under it is given the same token
	TTLMS    int64
	Priority int
	MaxWait  time.Duration // 0 is not at all
}

// AcquireLease gives a lease, or who has it with lease.ErrHeld; only the leader can.
// Those who wait leave the queue when ctx ends.
func (s *Store) AcquireLease(ctx context.Context, w LeaseRequest) (lease.Lease, error) {
	if err := lease.Validate(w.Name, w.Holder, w.TTLMS); err != nil {
		return lease.Lease{}, err
	}
	came := s.leases.now()
	t, err := s.confirmLeadership(ctx)
	if err != nil {
		return lease.Lease{}, err
	}
	if w.MaxWait <= 0 {
		return s.tryAcquire(t, w, came)
	}
	defer s.leases.granted(w.Name, w.Holder)
	end := time.NewTimer(w.MaxWait)
	defer end.Stop()
	tick := time.NewTicker(waiterLook)
	defer tick.Stop()
	for {
		mine := s.leases.awaitGrant(w.Name, w.Holder) // before it is known whether it is given
		l, err := s.tryAcquire(t, w, came)
		if !errors.Is(err, lease.ErrHeld) {
			return l, err
		}
		select {
		case <-mine:
			continue
		case <-tick.C:
			continue // which notes that it is still there
		case <-end.C:
		case <-ctx.Done():
		}
		if _, err := s.Execute(kv.Request{LeaseOps: []lease.Op{{Kind: lease.OpWithdraw, Name: w.Name, Holder: w.Holder}}}); err != nil {
			return lease.Lease{}, err
		}
		w.MaxWait = 0 // it may have been given meanwhile
		return s.tryAcquire(t, w, came)
	}
}

// tryAcquire gives a lease if it is free or the holder's already, and puts the holder into the
// queue if it waits. What changes nothing needs no entry of the log.
func (s *Store) tryAcquire(t *lease.ExpiryTimer, w LeaseRequest, came time.Duration) (l lease.Lease, err error) {
	needed := true
	look := func(st *lease.State, now time.Duration) {
		l, needed, err = t.TryAcquire(st, w.Name, w.Holder, w.MaxWait > 0, came, now)
	}
	if e := s.withLeases(t, look); e != nil || !needed {
		return l, errors.Join(e, err)
	}
	a, err := s.Execute(kv.Request{LeaseOps: []lease.Op{{Kind: lease.OpAcquire, Name: w.Name, Holder: w.Holder, TTLMS: w.TTLMS,
		Queue: w.MaxWait > 0, Priority: w.Priority}}})
	if err != nil {
		return l, err
	}
	if r := a.LeaseResults[0]; r.Err() != nil && !errors.Is(r.Err(), lease.ErrHeld) {
		return r.Lease, r.Err()
	}
	needed = false
	if e := s.withLeases(t, look); e != nil || !needed {
		return l, errors.Join(e, err)
	}
	return l, lease.ErrHeld // it was ended, or passed on, just now
}

// RenewLeases has leases go on, and names those that are not the caller's any more. Only
// the leader can.
func (s *Store) RenewLeases(ctx context.Context, list []lease.FencingToken) (kept map[string]lease.Lease, gone []string, err error) {
	came := s.leases.now()
	t, err := s.confirmLeadership(ctx)
	if err != nil {
		return nil, nil, err
	}
	kept = map[string]lease.Lease{}
	err = s.withLeases(t, func(st *lease.State, _ time.Duration) {
		for _, h := range list {
			if t.Renew(st, h.Name, h.Token, came) != nil {
				gone = append(gone, h.Name)
			} else {
				kept[h.Name] = st.Leases[h.Name]
			}
		}
	})
	return kept, gone, err
}

// EndLease releases a lease, hands it over to one that waits (to), or, with token 0,
// revokes it; only the leader can.
func (s *Store) EndLease(name string, token uint64, to string) error {
	o := lease.Op{Kind: lease.OpRelease, Name: name, Token: token}
	switch {
	case token == 0:
		o.Kind = lease.OpRevoke
	case to != "":
		o.Kind, o.Holder = lease.OpHandOver, to
	}
	a, err := s.Execute(kv.Request{LeaseOps: []lease.Op{o}})
	if err != nil {
		return err
	}
	return a.LeaseResults[0].Err()
}

// Leases are all that are held, or one, and for how long they go on if nobody keeps them
// alive; only the leader knows.
func (s *Store) Leases(ctx context.Context, only string) (all map[string]lease.Lease, left map[string]time.Duration, err error) {
	t, err := s.confirmLeadership(ctx)
	if err != nil {
		return nil, nil, err
	}
	all, left = map[string]lease.Lease{}, map[string]time.Duration{}
	err = s.withLeases(t, func(st *lease.State, now time.Duration) {
		for name, l := range st.Leases {
			if only == "" || only == name {
				all[name], left[name] = l, t.Remaining(name, l, now)
			}
		}
	})
	return all, left, err
}

// LastToken is the highest fencing token that this node knows of.
func (s *Store) LastToken() uint64 {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	return s.state.data.Leases.LastToken
}
