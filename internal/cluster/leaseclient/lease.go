package leaseclient

import (
	"context"
	"fmt"
	"time"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/storeclient"
)

// Lease is a lease that this process holds.
type Lease struct {
	Name  string
	Token uint64 // number in the fencing token

	manager *Manager
	ttl     time.Duration
	state   lease.HolderState // guarded by the manager's lock
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer // calls onDeadline

	renewalError error // error of the latest keep-alive, nil if it was answered; guarded by the manager's lock
}

// Context returns a context that ends when the holder must stop acting, also if no node answers. Its
// cause wraps ErrExpired, ErrLost or ErrReleased. A process may be suspended between a check of the
// context and its next action; writes that must not be stale also need the fencing token.
func (l *Lease) Context() context.Context { return l.ctx }

// FencingToken returns the fencing token for writes that depend on the lease.
func (l *Lease) FencingToken() lease.FencingToken {
	return lease.FencingToken{Name: l.Name, Token: l.Token}
}

// Deadline returns the time by which the holder must stop acting, unless a keep-alive is answered before.
func (l *Lease) Deadline() time.Time {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	return l.manager.startedAt.Add(l.state.Deadline())
}

// onDeadline runs when the timer fires. It ends the lease, or resets the timer if a keep-alive has extended
// the deadline.
func (l *Lease) onDeadline() {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	now := l.manager.now()
	if l.state.MayAct(now) {
		l.timer.Reset(l.state.Deadline() - now)
		return
	}
	l.endLocked(l.expiredErrorLocked())
}

// ExpiredError returns the error for a holder that stops because no keep-alive was answered in time. It
// wraps ErrExpired and the error of the latest keep-alive.
func (l *Lease) ExpiredError() error {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	return l.expiredErrorLocked()
}

func (l *Lease) expiredErrorLocked() error {
	if l.renewalError == nil { // this process was suspended, or the answer is late
		return fmt.Errorf("%w: %s (no keep-alive has failed)", ErrExpired, l.Name)
	}
	return fmt.Errorf("%w: %s (last keep-alive: %w)", ErrExpired, l.Name, l.renewalError)
}

func (l *Lease) lostError() error { return fmt.Errorf("%w: %s", ErrLost, l.Name) }

// endLocked ends a lease that expired or was lost. The caller holds the manager's lock.
func (l *Lease) endLocked(cause error) {
	l.state.MarkLost()
	l.cancelContext(cause)
	l.manager.unregisterLocked(l)
}

func (l *Lease) cancelContext(cause error) {
	l.timer.Stop()
	l.cancel(cause)
}

// Release releases the lease; the store grants it to the first waiter, if any. The holder must have stopped
// acting under the lease before. Release retries until the store answers or ctx ends.
func (l *Lease) Release(ctx context.Context) error {
	m := l.manager
	m.mu.Lock()
	if l.state.Token == 0 {
		m.mu.Unlock()
		return nil
	}
	token := l.state.Release()
	l.cancelContext(fmt.Errorf("%w: %s", ErrReleased, l.Name))
	m.mu.Unlock()
	defer m.unregister(l) // deferred: this process can't acquire the lease again before the store has released it or ctx has ended
	return m.callUntilFinal(ctx, func(node *storeclient.Client) (bool, error) {
		err := node.ReleaseLease(ctx, l.Name, token, "")
		if err == nil || isNotHeld(err) { // an earlier attempt released the lease and its answer was lost, or the lease has expired
			return true, nil
		}
		return isRejected(err), err
	})
}
