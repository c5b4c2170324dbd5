package leaseclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

// AcquireOptions are the parameters of Acquire.
type AcquireOptions struct {
	Name     string
	TTL      time.Duration // lease.MinTTLMS to lease.MaxTTLMS milliseconds
	Priority int           // priority among waiters; a higher one is served first
	Wait     bool          // wait for a lease that another process holds, until the context ends
}

// Acquire requests a lease and retries until the lease is held, the store rejects the request, or ctx ends.
// Without Wait, it returns lease.ErrHeld if another process holds the lease.
func (m *Manager) Acquire(ctx context.Context, options AcquireOptions) (*Lease, error) {
	l := &Lease{Name: options.Name, manager: m, ttl: options.TTL, state: lease.HolderState{TTL: options.TTL}}
	if !m.register(l) {
		return nil, fmt.Errorf("%w: %s", ErrAlreadyHeld, options.Name)
	}
	if err := m.acquireFromStore(ctx, l, options); err != nil {
		m.unregister(l)
		return nil, err
	}
	return l, nil
}

// register adds a lease to the manager. It returns false if the manager already has a lease with that name.
func (m *Manager) register(l *Lease) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, registered := m.leases[l.Name]; registered {
		return false
	}
	m.leases[l.Name] = l
	return true
}

func (m *Manager) acquireFromStore(ctx context.Context, l *Lease, options AcquireOptions) error {
	request := storeapi.AcquireRequest{Holder: m.holder, TTLMS: options.TTL.Milliseconds(), Priority: options.Priority}
	if options.Wait {
		request.WaitMS = maxRequestWait.Milliseconds()
	}
	for failed := 0; ; failed++ {
		node := m.node(failed > 0)
		sentAt := m.now()
		granted, err := node.AcquireLease(ctx, l.Name, request)
		switch {
		case err == nil:
			if m.activate(l, granted.Token, sentAt) || m.confirmByRenewal(ctx, node, l, granted.Token) {
				return nil
			}
		case errors.Is(err, lease.ErrHeld) && !options.Wait, isRejected(err):
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-m.ctx.Done():
			return errors.Join(ErrReleased, err)
		case <-time.After(m.retryBackoff(failed + 1)):
		}
	}
}

// confirmByRenewal renews a lease whose grant arrived after a long wait, so that the deadline is measured
// from the renewal instead of the request. It reports whether the holder may act.
func (m *Manager) confirmByRenewal(ctx context.Context, node *storeclient.Client, l *Lease, token uint64) bool {
	sentAt := m.now()
	lost, err := node.RenewLeases(ctx, []lease.FencingToken{{Name: l.Name, Token: token}})
	return err == nil && len(lost) == 0 && m.activate(l, token, sentAt)
}

// activate records a grant and reports whether the holder may still act under it. If so, it starts the
// lease's deadline timer and renewals.
func (m *Manager) activate(l *Lease, token uint64, sentAt time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.state.RecordGrant(token, sentAt)
	now := m.now()
	if !l.state.MayAct(now) {
		return false
	}
	l.Token = token
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	l.timer = time.AfterFunc(l.state.Deadline()-now, l.onDeadline)
	select {
	case m.leaseAdded <- struct{}{}:
	default: // a wake-up of the renewal loop is already pending
	}
	return true
}
