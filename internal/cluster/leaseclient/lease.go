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
	Token uint64 // the fencing token's number

	manager *Manager
	ttl     time.Duration
	state   lease.HolderState // guarded by the manager's lock
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer // calls onDeadline

	renewalError error // of the latest keep-alive, nil if that was answered; guarded by the manager's lock
}

// Context ends when the holder must have stopped acting, whether or not any node answers. Its
// cause wraps ErrExpired, ErrLost or ErrReleased. A process may be suspended between looking at it
// and acting; what matters needs the fencing token as well.
func (l *Lease) Context() context.Context { return l.ctx }

// FencingToken returns the fencing token for writes that depend on the lease.
func (l *Lease) FencingToken() lease.FencingToken {
	return lease.FencingToken{Name: l.Name, Token: l.Token}
}

// Deadline returns when the holder must have stopped acting, unless a keep-alive is answered before.
func (l *Lease) Deadline() time.Time {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	return l.manager.startedAt.Add(l.state.Deadline())
}

// onDeadline runs when the deadline may have come. A keep-alive may have moved it.
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

// ExpiredError returns the error of a holder that stops because no keep-alive is answered in time. It
// wraps ErrExpired and says how the latest keep-alive has failed.
func (l *Lease) ExpiredError() error {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	return l.expiredErrorLocked()
}

func (l *Lease) expiredErrorLocked() error {
	if l.renewalError == nil { // this process was late itself, or the answer is
		return fmt.Errorf("%w: %s (no keep-alive has failed)", ErrExpired, l.Name)
	}
	return fmt.Errorf("%w: %s (last keep-alive: %w)", ErrExpired, l.Name, l.renewalError)
}

func (l *Lease) lostError() error { return fmt.Errorf("%w: %s", ErrLost, l.Name) }

// endLocked ends a lease that was not released. The manager's lock is held.
func (l *Lease) endLocked(cause error) {
	l.state.MarkLost()
	l.cancelContext(cause)
	l.manager.unregisterLocked(l)
}

func (l *Lease) cancelContext(cause error) {
	l.timer.Stop()
	l.cancel(cause)
}

// Release gives the lease back; the first waiter, if any, has it next. All that was done under the
// lease must have ended. It retries until the store answers or ctx ends.
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
	defer m.unregister(l) // it is not acquired again before the store has released it, or ctx has ended
	return m.callUntilFinal(ctx, func(node *storeclient.Client) (bool, error) {
		err := node.ReleaseLease(ctx, l.Name, token, "")
		if err == nil || isNotHeld(err) { // released by an attempt whose answer was lost, or expired
			return true, nil
		}
		return isRejected(err), err
	})
}
