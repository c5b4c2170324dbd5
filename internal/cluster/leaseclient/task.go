package leaseclient

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	againLeast = time.Second // before a task that failed is tried again
	againMost  = 10 * time.Second
)

// Task is one that a single process of many does.
type Task struct {
	Name string // of its lease
	TTL  time.Duration
	// Do goes on until ctx ends, which it does when the lease can't be kept, or returns
	// earlier: the lease is given back then, and after a failure another one may have it.
	Run func(ctx context.Context, h *Lease) error
}

// RunTask does a task whenever this process has its lease, until ctx ends.
func (k *Manager) RunTask(ctx context.Context, t Task, log *zap.Logger) {
	log = log.With(zap.String("lease", t.Name))
	pause := againLeast
	for ctx.Err() == nil {
		h, err := k.Acquire(ctx, AcquireOptions{Name: t.Name, TTL: t.TTL, Wait: true})
		if err == nil {
			log.Info("lease taken", zap.Uint64("token", h.Token))
			began := time.Now()
			err = k.do(ctx, t, h)
			log.Info("lease left", zap.Uint64("token", h.Token), zap.NamedError("why", err))
			if time.Since(began) > againMost {
				pause = againLeast
			}
		} else if ctx.Err() == nil {
			log.Warn("lease can't be had", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, againMost)
	}
}

func (k *Manager) do(ctx context.Context, t Task, h *Lease) error {
	both, cancel := context.WithCancelCause(h.Context())
	stop := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	err := t.Run(both, h)
	stop()
	if both.Err() != nil {
		err = context.Cause(both)
	}
	cancel(nil)
	give, done := context.WithTimeout(context.WithoutCancel(ctx), pauseMost)
	defer done()
	h.Release(give, "") // else its time has to pass
	return err
}
