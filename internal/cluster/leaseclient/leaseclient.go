// Package leaseclient holds leases of the replicated store for one process: it asks for
// them, keeps all of them alive together, and ends a context in time when one can't be
// kept. What may be done when is decided by internal/cluster/lease.
package leaseclient

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

var (
	// ErrExpired ends the context of a lease that could not be kept alive in time.
	ErrExpired = errors.New("lease could not be kept alive in time")
	// ErrLost ends the context of a lease that the store says is another's, or nobody's.
	ErrLost = errors.New("lease is lost")
	// ErrReleased ends the context of a lease that was given back.
	ErrReleased = errors.New("lease was given back")
	// ErrAlreadyHeld refuses a lease that this process has already.
	ErrAlreadyHeld = errors.New("this process has the lease already")
)

const (
	waitMost  = 10 * time.Second       // of one request; then it is asked again
	pauseMost = 500 * time.Millisecond // between two requests
	attempts  = 4                      // keep-alives that fit between when one is due and the end
	together  = 0.1                    // of its time by which a keep-alive may be early, to go with others
)

// Manager holds the leases of a process.
type Manager struct {
	holder string
	client *storeclient.Client
	began  time.Time
	ctx    context.Context
	stop   context.CancelFunc
	ended  sync.WaitGroup
	wake   chan struct{} // a lease is new

	mu   sync.Mutex
	held map[string]*Lease
	at   int // the node that answered last
}

// Lease is a lease that this process has.
type Lease struct {
	Name  string
	Token uint64 // of its fence

	k      *Manager
	ttl    time.Duration
	side   lease.HolderState // under the keeper's lock
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// NewHolderName is one that no other process goes by.
func NewHolderName() string {
	host, _ := os.Hostname()
	b := make([]byte, 6)
	rand.Read(b)
	clean := []byte(cmp.Or(host, "host"))
	for i, c := range clean {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9') {
			clean[i] = '-'
		}
	}
	return fmt.Sprintf("%.40s:%d:%s", clean, os.Getpid(), hex.EncodeToString(b))
}

// New makes one for some nodes' admin addresses. No other process may go by the holder's
// name. Close ends it.
func New(nodes []string, holder string) *Manager {
	k := &Manager{holder: holder, client: storeclient.New(nodes), began: time.Now(), wake: make(chan struct{}, 1), held: map[string]*Lease{}}
	k.client.Retry.MaxRetries = 0 // it repeats by itself, as time matters
	k.ctx, k.stop = context.WithCancel(context.Background())
	k.ended.Go(k.run)
	return k
}

// Holder is the name by which it goes.
func (k *Manager) Holder() string { return k.holder }

// Close gives all leases back, for half a second at most, and ends.
func (k *Manager) Close() {
	k.mu.Lock()
	var list []*Lease
	for _, h := range k.held {
		list = append(list, h)
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), pauseMost)
	defer cancel()
	var all sync.WaitGroup
	for _, h := range list {
		all.Go(func() { h.Release(ctx, "") })
	}
	all.Wait()
	k.stop()
	k.ended.Wait()
}

func (k *Manager) now() time.Duration { return time.Since(k.began) }

// AcquireOptions is what is asked for.
type AcquireOptions struct {
	Name     string
	TTL      time.Duration
	Priority int
	Wait     bool // until the context ends
}

// Acquire asks until it has the lease, the lease is refused, or ctx ends. Without Wait, a
// lease that another holds is lease.ErrHeld.
func (k *Manager) Acquire(ctx context.Context, w AcquireOptions) (*Lease, error) {
	h := &Lease{Name: w.Name, k: k, ttl: w.TTL, side: lease.HolderState{TTL: w.TTL}}
	k.mu.Lock()
	if _, ok := k.held[w.Name]; ok {
		k.mu.Unlock()
		return nil, fmt.Errorf("%w: %s", ErrAlreadyHeld, w.Name)
	}
	k.held[w.Name] = h // its place
	k.mu.Unlock()
	err := k.obtain(ctx, h, w)
	if err != nil {
		k.drop(h)
		return nil, err
	}
	return h, nil
}

func (k *Manager) drop(h *Lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[h.Name] == h {
		delete(k.held, h.Name)
	}
}

func (k *Manager) obtain(ctx context.Context, h *Lease, w AcquireOptions) error {
	q := storeapi.AcquireRequest{Holder: k.holder, TTLMS: w.TTL.Milliseconds(), Priority: w.Priority}
	if w.Wait {
		q.WaitMS = waitMost.Milliseconds()
	}
	for n := 0; ; n++ {
		sent := k.now()
		c := k.node(n > 0)
		l, err := c.AcquireLease(ctx, w.Name, q)
		var status *storeapi.StatusError
		switch {
		case err == nil:
			if k.granted(h, l.Token, sent) {
				return nil
			}
			// It came after a wait: its time is counted anew, by a keep-alive.
			sent = k.now()
			gone, err := c.RenewLeases(ctx, []lease.FencingToken{{Name: w.Name, Token: l.Token}})
			if err == nil && len(gone) == 0 && k.granted(h, l.Token, sent) {
				return nil
			}
		case errors.Is(err, lease.ErrHeld) && !w.Wait:
			return err
		case errors.As(err, &status) && status.StatusCode < 500:
			return err // asked again it would be refused again
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-k.ctx.Done():
			return errors.Join(ErrReleased, err)
		case <-time.After(k.client.Retry.Backoff(min(n+1, 4), 0.5)):
		}
	}
}

// granted tells whether the holder may act under an answer, and has it kept alive if so.
func (k *Manager) granted(h *Lease, token uint64, sent time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	h.side.RecordGrant(token, sent)
	if now := k.now(); h.side.MayAct(now) {
		h.Token = token
		h.ctx, h.cancel = context.WithCancelCause(context.Background())
		h.timer = time.AfterFunc(h.side.Deadline()-now, h.over)
		select {
		case k.wake <- struct{}{}:
		default:
		}
		return true
	}
	return false
}

// over is called when the time may have come. A keep-alive may have moved it.
func (h *Lease) over() {
	h.k.mu.Lock()
	defer h.k.mu.Unlock()
	now := h.k.now()
	if h.side.MayAct(now) {
		h.timer.Reset(h.side.Deadline() - now)
		return
	}
	h.end(ErrExpired)
}

// end is called with the lock held.
func (h *Lease) end(why error) {
	h.side.MarkLost()
	h.timer.Stop()
	h.cancel(fmt.Errorf("%w: %s", why, h.Name))
	if h.k.held[h.Name] == h {
		delete(h.k.held, h.Name)
	}
}

// Context ends when the holder must have stopped acting, whether or not anybody answers.
// Whoever stands still between looking at it and acting needs the fence.
func (h *Lease) Context() context.Context { return h.ctx }

// FencingToken is NAME/TOKEN, as a write to the store names it.
func (h *Lease) FencingToken() lease.FencingToken {
	return lease.FencingToken{Name: h.Name, Token: h.Token}
}

// Deadline is when it must have stopped acting, unless a keep-alive is answered before.
func (h *Lease) Deadline() time.Time {
	h.k.mu.Lock()
	defer h.k.mu.Unlock()
	return h.k.began.Add(h.side.Deadline())
}

// Release gives the lease back, to one that waits for it unless to is "". What it did must
// have ended.
func (h *Lease) Release(ctx context.Context, to string) error {
	k := h.k
	k.mu.Lock()
	token := h.side.Token
	if token == 0 {
		k.mu.Unlock()
		return nil
	}
	h.side.Release()
	h.timer.Stop()
	h.cancel(fmt.Errorf("%w: %s", ErrReleased, h.Name))
	k.mu.Unlock()
	defer k.drop(h) // not asked for again before it is known to be given back, or over
	for n := 0; ; n++ {
		err := k.node(n > 0).ReleaseLease(ctx, h.Name, token, to)
		var status *storeapi.StatusError
		if err == nil || errors.As(err, &status) && status.StatusCode < 500 {
			if status != nil && status.StatusCode == 410 {
				err = nil // given back by an attempt whose answer was lost, or over
			}
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(k.client.Retry.Backoff(min(n+1, 4), 0.5)):
		}
	}
}

// node is a client of one node: that which answered last, or the next one.
func (k *Manager) node(next bool) *storeclient.Client {
	k.mu.Lock()
	defer k.mu.Unlock()
	if next {
		k.at++
	}
	c := *k.client
	c.Nodes = []string{k.client.Nodes[k.at%len(k.client.Nodes)]}
	return &c
}

// run keeps all leases alive.
func (k *Manager) run() {
	failed := false
	for {
		list, wait, limit := k.due()
		if len(list) == 0 {
			select {
			case <-k.ctx.Done():
				return
			case <-k.wake:
			case <-time.After(wait):
			}
			continue
		}
		for part := range slices.Chunk(list, storeapi.MaxRenewals) {
			failed = !k.renew(part, limit, failed)
		}
		if failed {
			select {
			case <-k.ctx.Done():
				return
			case <-time.After(min(limit/2, pauseMost/4)):
			}
		}
	}
}

// due are the leases that a keep-alive is due for, or soon enough to go with the others;
// else how long to wait. An answer is waited for up to limit.
func (k *Manager) due() (list []lease.FencingToken, wait, limit time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	wait, limit = time.Second, 2*time.Second
	any := false
	for _, h := range k.held {
		if h.side.Token == 0 {
			continue
		}
		soon := time.Duration(float64(h.ttl) * together)
		if at := h.side.RenewalDue(); at <= now {
			any = true
		} else {
			wait = min(wait, at-now)
		}
		if h.side.ShouldRenew(now + soon) {
			list = append(list, h.FencingToken())
			limit = min(limit, h.ttl/(2*attempts))
		}
	}
	if !any {
		return nil, wait, 0
	}
	return list, 0, limit
}

// renew sends one keep-alive, and tells whether it was answered.
func (k *Manager) renew(list []lease.FencingToken, limit time.Duration, next bool) bool {
	ctx, cancel := context.WithTimeout(k.ctx, limit)
	defer cancel()
	sent := k.now()
	gone, err := k.node(next).RenewLeases(ctx, list)
	if err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, f := range list {
		h := k.held[f.Name]
		if h == nil || h.side.Token != f.Token {
			continue
		}
		if slices.Contains(gone, f.Name) {
			h.end(ErrLost)
		} else {
			h.side.RecordGrant(f.Token, sent)
		}
	}
	return true
}
