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
	// LastBackupKey is the key under which the last scheduled backup is recorded as a LastBackup.
	LastBackupKey = kv.ServiceStatePrefix + "fleet.backup"

	// maxScheduleWait bounds the wait between two reads of LastBackupKey.
	maxScheduleWait = time.Second
)

// LastBackup is the record of the last scheduled backup, stored under LastBackupKey.
type LastBackup struct {
	TimeMS   int64  `json:"time_ms"` // time of the backup, Unix milliseconds, from the clock of Node
	Node     string `json:"node"`
	File     string `json:"file"` // path of the backup file on Node
	Revision uint64 `json:"revision"`
	SHA256   string `json:"sha256"`
}

// backupSchedule takes one backup per interval.
type backupSchedule struct {
	store    *store.Store
	client   *storeclient.Client
	dir      string
	interval time.Duration
	maxFiles int // backups to keep
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
		maxFiles: cfg.Retention(),
		log:      log,
	}
	run := func(ctx context.Context, l *leaseclient.Lease) error { return schedule.run(ctx, l.FencingToken()) }
	return leaseclient.Task{Name: BackupLease, TTL: taskLeaseTTL, Run: run}, nil
}

func (b *backupSchedule) run(ctx context.Context, fence lease.FencingToken) error {
	for {
		delay, err := b.readTimeToNextBackup(ctx)
		if err != nil {
			return fmt.Errorf("scheduled backup: %w", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(delay, maxScheduleWait)):
		}
		if delay > 0 {
			continue
		}
		if err := b.writeBackup(ctx, fence); err != nil {
			b.log.Error("scheduled backup failed", zap.Error(err))
			return fmt.Errorf("scheduled backup: %w", err)
		}
	}
}

// readTimeToNextBackup returns the time until the next backup is due, or 0 if it is due now. It reads
// LastBackupKey linearizably, because the previous lease holder may have recorded a backup just before
// this node was granted the lease.
func (b *backupSchedule) readTimeToNextBackup(ctx context.Context) (time.Duration, error) {
	if _, err := b.store.WaitFresh(ctx, store.Freshness{}); err != nil {
		return 0, err
	}
	var last LastBackup
	if e, ok := b.store.Entry(LastBackupKey); ok {
		json.Unmarshal(e.Value, &last) // a malformed record counts as missing
	}
	if last.TimeMS == 0 {
		return 0, nil
	}
	return timeToNextBackup(time.UnixMilli(last.TimeMS), time.Now(), b.interval), nil
}

// writeBackup writes a backup file, records it in the store, fenced by the lease, and only then deletes
// expired files.
func (b *backupSchedule) writeBackup(ctx context.Context, fence lease.FencingToken) error {
	header, data, err := b.client.Backup(ctx)
	if err != nil {
		return err
	}
	path, err := b.writeFile(header, data)
	if err != nil {
		return err
	}
	if err := b.putLastBackup(ctx, fence, header, path); err != nil {
		return err
	}
	b.log.Info("scheduled backup written", zap.String("file", path), zap.Uint64("revision", header.Revision), zap.Int("keys", header.Keys))
	return b.removeExpired()
}

// writeFile writes a backup to a new file, and verifies the file by reading it.
func (b *backupSchedule) writeFile(header backup.Header, data []byte) (path string, err error) {
	if err := os.MkdirAll(b.dir, 0o700); err != nil {
		return "", err
	}
	path = filepath.Join(b.dir, backupFileName(time.UnixMilli(header.TimeMS), header.Revision))
	if err := atomicfile.WriteNew(path, data); err != nil {
		return "", err
	}
	onDisk, err := os.ReadFile(path)
	if err == nil {
		_, _, err = backup.Read(bytes.NewReader(onDisk))
	}
	if err != nil {
		return "", errors.Join(fmt.Errorf("verify written backup: %w", err), os.Remove(path))
	}
	return path, nil
}

// putLastBackup records the backup in the store, fenced by the lease. If that fails, another node may
// hold the lease, so the file is deleted.
func (b *backupSchedule) putLastBackup(ctx context.Context, fence lease.FencingToken, header backup.Header, path string) error {
	encoded, err := json.Marshal(LastBackup{
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
		Then:   []kv.Op{kv.Put(LastBackupKey, encoded)},
	})
	if err != nil {
		return errors.Join(err, os.Remove(path))
	}
	return nil
}

func (b *backupSchedule) removeExpired() error {
	files, err := os.ReadDir(b.dir)
	if err != nil {
		return err
	}
	var names []string
	for _, file := range files {
		names = append(names, file.Name())
	}
	for _, name := range filesToRemove(names, b.maxFiles) {
		err = errors.Join(err, os.Remove(filepath.Join(b.dir, name)))
	}
	return err
}
