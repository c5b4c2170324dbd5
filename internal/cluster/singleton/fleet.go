// Package singleton does what one node of the store does for all: it writes the store of
// record, takes backups on schedule, and ends dead sessions. Which node does which is
// settled by leases.
package singleton

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/maintenance/controller"
	"oxbowbridge/internal/storage/atomicfile"
)

// Names of the leases.
const (
	LeaseMirror   = "fleet/mirror"
	LeaseBackup   = "fleet/backup"
	LeaseSessions = "fleet/sessions"
)

const (
	ttl           = 5 * time.Second
	sessionsEvery = 30 * time.Second
	lookEvery     = time.Second
	// KeyBackupNote is where the last scheduled backup is noted.
	KeyBackupNote = kv.StatePrefix + "fleet.backup"
)

// Tasks are those of one node.
type Tasks struct {
	cancel context.CancelFunc
	ended  sync.WaitGroup
	keeper *leaseclient.Manager
}

// Start has a node take part in the tasks that it is set up for.
func Start(s *store.Store, order *controller.Controller, cfg store.Config, log *zap.Logger) (*Tasks, error) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tasks{cancel: cancel, keeper: leaseclient.New([]string{s.AdminAddress()}, s.Name()+":"+leaseclient.NewHolderName())}
	list := []leaseclient.Task{{Name: LeaseSessions, TTL: ttl, Run: func(ctx context.Context, h *leaseclient.Lease) error {
		return endSessions(ctx, s, h)
	}}}
	list = append(list, leaseclient.Task{Name: controller.ControllerLease, TTL: ttl, Run: func(ctx context.Context, h *leaseclient.Lease) error {
		return order.Run(ctx, h.FencingToken())
	}})
	if s.HasSQLRecord() {
		list = append(list, leaseclient.Task{Name: LeaseMirror, TTL: ttl, Run: func(ctx context.Context, h *leaseclient.Lease) error {
			return s.RunMirror(ctx, h.FencingToken())
		}})
	}
	if cfg.Backup.Dir != "" {
		every, err := cfg.Backup.Interval()
		if err != nil {
			cancel()
			t.keeper.Close()
			return nil, err
		}
		b := &backups{store: s, client: storeclient.New([]string{s.AdminAddress()}), dir: cfg.Backup.Dir, every: every, keep: cfg.Backup.Retention(), log: log}
		list = append(list, leaseclient.Task{Name: LeaseBackup, TTL: ttl, Run: b.run})
	}
	for _, x := range list {
		t.ended.Go(func() { t.keeper.RunTask(ctx, x, log) })
	}
	return t, nil
}

// CloseTimeout is how long Close takes at most.
const CloseTimeout = 300 * time.Millisecond

// Close leaves all tasks to others.
func (t *Tasks) Close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.cancel()
		t.ended.Wait()
		t.keeper.Close()
	}()
	select {
	case <-done:
	case <-time.After(CloseTimeout):
	}
}

// endSessions moves the log's time on while nobody writes: idle sessions end by it.
func endSessions(ctx context.Context, s *store.Store, h *leaseclient.Lease) error {
	tick := time.NewTicker(sessionsEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if s.Sessions() == 0 {
			continue
		}
		if err := s.ExecuteAnywhere(ctx, kv.Request{Fences: []lease.FencingToken{h.FencingToken()}}); err != nil {
			return fmt.Errorf("end sessions: %w", err)
		}
	}
}

// backups takes one in each period.
type backups struct {
	store  *store.Store
	client *storeclient.Client
	dir    string
	every  time.Duration
	keep   int
	log    *zap.Logger
}

func (b *backups) run(ctx context.Context, h *leaseclient.Lease) error {
	for {
		wait, err := b.wait(ctx)
		if err != nil {
			return fmt.Errorf("scheduled backup: %w", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(wait, lookEvery)):
		}
		if wait > 0 {
			continue
		}
		if err := b.take(ctx, h); err != nil {
			b.log.Error("scheduled backup failed", zap.Error(err))
			return fmt.Errorf("scheduled backup: %w", err)
		}
	}
}

// wait is how long until the next one, as all nodes know it. The note of the last one must
// be among what is read: this node may have written it just now.
func (b *backups) wait(ctx context.Context) (time.Duration, error) {
	if _, err := b.store.WaitFresh(ctx, store.Freshness{}); err != nil {
		return 0, err
	}
	var last BackupNote
	if e, ok := b.store.Entry(KeyBackupNote); ok {
		json.Unmarshal(e.Value, &last) // one that can't be read is none
	}
	if last.TimeMS == 0 {
		return 0, nil
	}
	return dueIn(time.UnixMilli(last.TimeMS), time.Now(), b.every), nil
}

// take writes one, reads it again, notes it in the store under the lease, and only then
// removes old ones.
func (b *backups) take(ctx context.Context, h *leaseclient.Lease) error {
	head, text, err := b.client.Backup(ctx)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(b.dir, 0o700); err != nil {
		return err
	}
	path := filepath.Join(b.dir, fileName(time.UnixMilli(head.TimeMS), head.Revision))
	if err := atomicfile.WriteNew(path, text); err != nil {
		return err
	}
	onDisk, err := os.ReadFile(path)
	if err == nil {
		_, _, err = backup.Read(bytes.NewReader(onDisk))
	}
	if err != nil {
		return errors.Join(fmt.Errorf("what was written is not what can be read: %w", err), os.Remove(path))
	}
	note, err := json.Marshal(BackupNote{head.TimeMS, b.store.Name(), path, head.Revision, head.SHA256})
	if err != nil {
		return err
	}
	if err := b.store.ExecuteAnywhere(ctx, kv.Request{Fences: []lease.FencingToken{h.FencingToken()}, Then: []kv.Op{{Kind: "put", Key: KeyBackupNote, Value: note}}}); err != nil {
		return errors.Join(err, os.Remove(path)) // another one may be at it
	}
	b.log.Info("scheduled backup", zap.String("file", path), zap.Uint64("revision", head.Revision), zap.Int("keys", head.Keys))
	list, err := os.ReadDir(b.dir)
	if err != nil {
		return err
	}
	var names []string
	for _, f := range list {
		names = append(names, f.Name())
	}
	for _, old := range surplus(names, b.keep) {
		err = errors.Join(err, os.Remove(filepath.Join(b.dir, old)))
	}
	return err
}
