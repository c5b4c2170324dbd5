package singleton

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/cluster/store"
	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/storage/atomicfile"
)

const (
	// KeyLastBackup is the key of the last scheduled backup, a LastBackup.
	KeyLastBackup = kv.StatePrefix + "fleet.backup"

	// maxScheduleWait bounds the wait between two reads of KeyLastBackup.
	maxScheduleWait = time.Second
)

// LastBackup is the record of the last scheduled backup under KeyLastBackup.
type LastBackup struct {
	TimeMS   int64  `json:"time_ms"` // Unix milliseconds, by the clock of the node that wrote it
	Node     string `json:"node"`
	File     string `json:"file"` // path on that node
	Revision uint64 `json:"revision"`
	SHA256   string `json:"sha256"`
}

// backupSchedule takes one backup in each interval.
type backupSchedule struct {
	store    *store.Store
	client   *storeclient.Client
	dir      string
	interval time.Duration
	keep     int // files that stay
	log      *zap.Logger
}

func backupTask(s *store.Store, cfg store.BackupConfig, log *zap.Logger) (leaseclient.Task, error) {
	interval, err := cfg.Interval()
	if err != nil {
		return leaseclient.Task{}, err
	}
	schedule := &backupSchedule{
		store:    s,
		client:   storeclient.New([]string{s.AdminAddress()}),
		dir:      cfg.Dir,
		interval: interval,
		keep:     cfg.Retention(),
		log:      log,
	}
	run := func(ctx context.Context, l *leaseclient.Lease) error { return schedule.run(ctx, l.FencingToken()) }
	return leaseclient.Task{Name: LeaseBackup, TTL: leaseTTL, Run: run}, nil
}

func (b *backupSchedule) run(ctx context.Context, fence lease.FencingToken) error {
	for {
		due, err := b.untilNextBackup(ctx)
		if err != nil {
			return fmt.Errorf("scheduled backup: %w", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(due, maxScheduleWait)):
		}
		if due > 0 {
			continue
		}
		if err := b.writeBackup(ctx, fence); err != nil {
			b.log.Error("scheduled backup failed", zap.Error(err))
			return fmt.Errorf("scheduled backup: %w", err)
		}
	}
}

// untilNextBackup is how long until the next backup; 0 is now. The read is linearizable: the previous
// lease holder may have recorded a backup just before this one was granted the lease.
func (b *backupSchedule) untilNextBackup(ctx context.Context) (time.Duration, error) {
	if _, err := b.store.WaitFresh(ctx, store.Freshness{}); err != nil {
		return 0, err
	}
	var last LastBackup
	if e, ok := b.store.Entry(KeyLastBackup); ok {
		json.Unmarshal(e.Value, &last) // a record that can't be read counts as none
	}
	if last.TimeMS == 0 {
		return 0, nil
	}
	return untilNextBackup(time.UnixMilli(last.TimeMS), time.Now(), b.interval), nil
}

// takeBackup writes a backup, records it in the store under the lease, and only then removes expired ones.
func (b *backupSchedule) writeBackup(ctx context.Context, fence lease.FencingToken) error {
	header, text, err := b.client.Backup(ctx)
	if err != nil {
		return err
	}
	path, err := b.writeFile(header, text)
	if err != nil {
		return err
	}
	if err := b.putLastBackup(ctx, fence, header, path); err != nil {
		return err
	}
	b.log.Info("scheduled backup", zap.String("file", path), zap.Uint64("revision", header.Revision), zap.Int("keys", header.Keys))
	return b.removeExpired()
}

// writeFile writes a backup, and checks that it can be read again.
func (b *backupSchedule) writeFile(header backup.Header, text []byte) (path string, err error) {
	if err := os.MkdirAll(b.dir, 0o700); err != nil {
		return "", err
	}
	path = filepath.Join(b.dir, fileName(time.UnixMilli(header.TimeMS), header.Revision))
	if err := atomicfile.WriteNew(path, text); err != nil {
		return "", err
	}
	onDisk, err := os.ReadFile(path)
	if err == nil {
		_, _, err = backup.Read(bytes.NewReader(onDisk))
	}
	if err != nil {
		return "", errors.Join(fmt.Errorf("what was written is not what can be read: %w", err), os.Remove(path))
	}
	return path, nil
}

// putLastBackup records the backup under the lease. If that fails, another node may hold the lease, and
// the file is removed.
func (b *backupSchedule) putLastBackup(ctx context.Context, fence lease.FencingToken, header backup.Header, path string) error {
	text, err := json.Marshal(LastBackup{
		TimeMS:   header.TimeMS,
		Node:     b.store.Name(),
		File:     path,
		Revision: header.Revision,
		SHA256:   header.SHA256,
	})
	if err != nil {
		return err
	}
	_, err = b.store.ExecuteOrForward(ctx, kv.Request{
		Fences: []lease.FencingToken{fence},
		Then:   []kv.Op{kv.Put(KeyLastBackup, text)},
	})
	if err != nil {
		return errors.Join(err, os.Remove(path))
	}
	return nil
}

func (b *backupSchedule) removeExpired() error {
	list, err := os.ReadDir(b.dir)
	if err != nil {
		return err
	}
	var names []string
	for _, file := range list {
		names = append(names, file.Name())
	}
	for _, name := range expiredBackups(names, b.keep) {
		err = errors.Join(err, os.Remove(filepath.Join(b.dir, name)))
	}
	return err
}
