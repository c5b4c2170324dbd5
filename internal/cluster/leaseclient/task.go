package leaseclient

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	minTaskBackoff = time.Second // before a task is started again; doubles after each run
	maxTaskBackoff = 10 * time.Second
)

// Task is work that one process of many does at a time.
type Task struct {
	Name string // of its lease
	TTL  time.Duration
	// Run works until ctx ends, which it does when the lease can't be kept, or returns earlier. The
	// lease is then released, and another process may run the task.
	Run func(ctx context.Context, l *Lease) error
}

// RunTask runs a task whenever this process has its lease, until ctx ends.
func (m *Manager) RunTask(ctx context.Context, task Task, log *zap.Logger) {
	log = log.With(zap.String("lease", task.Name))
	backoff := minTaskBackoff
	for ctx.Err() == nil {
		l, err := m.Acquire(ctx, AcquireOptions{Name: task.Name, TTL: task.TTL, Wait: true})
		switch {
		case err == nil:
			if m.runOnce(ctx, task, l, log) > maxTaskBackoff {
				backoff = minTaskBackoff
			}
		case ctx.Err() == nil:
			log.Warn("lease not acquired", zap.Int64("retry_in_ms", backoff.Milliseconds()), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxTaskBackoff)
	}
}

// runOnce runs a task under its lease, and returns how long that took.
func (m *Manager) runOnce(ctx context.Context, task Task, l *Lease, log *zap.Logger) time.Duration {
	log.Info("lease acquired", zap.Uint64("token", l.Token))
	started := time.Now()
	err := m.runUnderLease(ctx, task, l)
	log.Info("lease released", zap.Uint64("token", l.Token), zap.NamedError("reason", err))
	return time.Since(started)
}

// runUnderLease runs a task until it returns, ctx ends or the lease is lost, and releases the
// lease.
func (m *Manager) runUnderLease(ctx context.Context, task Task, l *Lease) error {
	taskCtx, cancel := context.WithCancelCause(l.Context())
	stopPropagation := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	err := task.Run(taskCtx, l)
	stopPropagation()
	if taskCtx.Err() != nil {
		err = context.Cause(taskCtx)
	}
	cancel(nil)
	releaseCtx, done := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer done()
	l.Release(releaseCtx) // if this fails, others wait until it expires
	return err
}
