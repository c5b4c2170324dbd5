package leaseclient

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	minTaskBackoff = time.Second // backoff before a task is run again; doubles after each run
	maxTaskBackoff = 10 * time.Second
)

// Task is work that at most one process does at a time, under a lease.
type Task struct {
	Name string // name of the lease
	TTL  time.Duration
	// Run does the work until ctx ends, or returns earlier. ctx ends if the lease is lost or expires, or with the
	// context of RunTask. After Run returns, the lease is released, and another process may run the task.
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

// runOnce runs a task under its lease and returns the run's duration.
func (m *Manager) runOnce(ctx context.Context, task Task, l *Lease, log *zap.Logger) time.Duration {
	log.Info("lease acquired", zap.Uint64("token", l.Token))
	started := time.Now()
	err := m.runUnderLease(ctx, task, l)
	log.Info("lease released", zap.Uint64("token", l.Token), zap.NamedError("reason", err))
	return time.Since(started)
}

// runUnderLease runs a task until the task returns, ctx ends or the lease is lost, and then releases the
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
	l.Release(releaseCtx) // if the release fails, the lease expires after its TTL
	return err
}
