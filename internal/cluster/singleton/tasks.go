// Package singleton runs the tasks that one node of the store does for the whole cluster: it writes
// the SQL mirror, takes scheduled backups, decides on orders of maintenance, and ends idle sessions.
// For each task a lease settles which node does it; whatever the task writes is fenced by the lease's
// token.
//
// Each task has one goroutine, which waits for its lease, and runs the task while it has it. A task
// that returns an error gives its lease up, so that another node may do better.
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

// Names of the leases. That of the maintenance controller is controller.ControllerLease.
const (
	MirrorLease        = "fleet/mirror"
	BackupLease        = "fleet/backup"
	SessionExpiryLease = "fleet/sessions"
)

const (
	// CloseTimeout is how long Close takes at most. It is short: a lease that is not released by then
	// goes to another node leaseTTL later.
	CloseTimeout = 300 * time.Millisecond

	// taskLeaseTTL is after which silence of a node another one takes its tasks over.
	taskLeaseTTL = 5 * time.Second
)

// Tasks are those of one node.
type Tasks struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	leases  *leaseclient.Manager
}

// Start has a node compete for the tasks that it is set up for, until Close.
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

// Close ends all tasks, and releases their leases to other nodes.
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
