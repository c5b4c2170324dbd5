// Package singleton runs the tasks that must run on only one node of the store at a time: writing the
// SQL mirror, taking scheduled backups, controlling maintenance orders, and expiring idle sessions.
// For each task there is a lease, and the node that holds the lease runs the task. All writes of the
// task are fenced by the lease's token.
//
// Each task has one goroutine, which waits for its lease and runs the task while it holds the lease. If
// a task returns an error, the lease is released, so that another node can run the task.
package singleton

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/maintenance/controller"
)

// Names of the leases. The lease of the maintenance controller is controller.ControllerLease.
const (
	MirrorLease        = "fleet/mirror"
	BackupLease        = "fleet/backup"
	SessionExpiryLease = "fleet/sessions"
)

const (
	// CloseTimeout bounds the duration of Close. It can be short, because a lease that is not released by
	// then expires after taskLeaseTTL and another node gets it.
	CloseTimeout = 300 * time.Millisecond

	// taskLeaseTTL is the time after which another node takes over the tasks of a node that no longer
	// renews its leases.
	taskLeaseTTL = 5 * time.Second
)

// Tasks are the singleton tasks for which one node competes.
type Tasks struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	leases  *leaseclient.Manager
}

// Start starts competing for the leases of all tasks for which the node is configured, until Close.
func Start(s *store.Store, maintenance *controller.Controller, cfg store.Config, log *zap.Logger) (*Tasks, error) {
	tasks := []leaseclient.Task{
		sessionTask(s),
		maintenanceTask(maintenance),
	}
	if s.HasSQLMirror() {
		tasks = append(tasks, mirrorTask(s))
	}
	if cfg.Backup.Dir != "" {
		task, err := backupTask(s, cfg.Backup, log)
		if err != nil {
			return nil, err
		}
		tasks = append(tasks, task)
	}
	ctx, cancel := context.WithCancel(context.Background())
	holder := s.Name() + ":" + leaseclient.NewHolderName()
	t := &Tasks{cancel: cancel, leases: leaseclient.New([]string{s.AdminAddress()}, holder)}
	for _, task := range tasks {
		t.running.Go(func() { t.leases.RunTask(ctx, task, log) })
	}
	return t, nil
}

// Close stops all tasks and releases their leases. It returns after at most CloseTimeout.
func (t *Tasks) Close() {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		t.cancel()
		t.running.Wait()
		t.leases.Close()
	}()
	select {
	case <-closed:
	case <-time.After(CloseTimeout):
	}
}

func maintenanceTask(maintenance *controller.Controller) leaseclient.Task {
	return leaseclient.Task{
		Name: controller.ControllerLease,
		TTL:  taskLeaseTTL,
		Run: func(ctx context.Context, l *leaseclient.Lease) error {
			return maintenance.Run(ctx, l.FencingToken())
		},
	}
}

func mirrorTask(s *store.Store) leaseclient.Task {
	return leaseclient.Task{
		Name: MirrorLease,
		TTL:  taskLeaseTTL,
		Run: func(ctx context.Context, l *leaseclient.Lease) error {
			return s.RunMirror(ctx, l.FencingToken())
		},
	}
}
