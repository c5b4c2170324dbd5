package store

import (
	"context"
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	_ "github.com/jackc/pgx/v5/stdlib" // driver "pgx"
	"go.uber.org/zap"
	_ "modernc.org/sqlite" // driver "sqlite"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
)

const (
	sqlTimeout   = 5 * time.Second
	mirrorEvery  = time.Second      // also without a change
	mirrorMost   = 5 * time.Second  // between two attempts while the database is away
	mirrorGiveUp = 30 * time.Second // after which another node may try
)

// drivers are the names of database/sql.
var drivers = map[string]string{"sqlite": "sqlite", "postgres": "pgx"}

const (
	createRecordTable = `CREATE TABLE IF NOT EXISTS oxbowbridge_store (name TEXT PRIMARY KEY, value TEXT, idx BIGINT NOT NULL)`
	// A row that an older leader writes late doesn't go back in time.
	upsertRecord = `INSERT INTO oxbowbridge_store (name, value, idx) VALUES ($1, $2, $3)
ON CONFLICT (name) DO UPDATE SET value = excluded.value, idx = excluded.idx WHERE oxbowbridge_store.idx <= excluded.idx`
	selectRecords    = `SELECT name, value, idx FROM oxbowbridge_store ORDER BY name`
	createFenceTable = `CREATE TABLE IF NOT EXISTS oxbowbridge_lease (name TEXT PRIMARY KEY, token BIGINT NOT NULL)`
	// No row is affected if a higher token was here.
	advanceFence = `INSERT INTO oxbowbridge_lease (name, token) VALUES ($1, $2)
ON CONFLICT (name) DO UPDATE SET token = excluded.token WHERE oxbowbridge_lease.token <= excluded.token`
	// Rows of an earlier life of the store, whose log counted on from elsewhere.
	resetIndexes = `UPDATE oxbowbridge_store SET idx = 0`
)

// ErrStaleToken means that the store of record has seen a higher token of the lease under
// which it is written: another one writes it now.
var ErrStaleToken = errors.New("the store of record knows a higher token")

// sqlMirror keeps the store of record: whoever has its lease writes to it whatever it has not
// got. While the database is away the store goes on, and catches up after.
type sqlMirror struct {
	store *Store

	mu           sync.Mutex
	writtenIndex uint64 // all up to it is written
	lastError    error
}

func (m *sqlMirror) progress() (uint64, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastError != nil {
		return m.writtenIndex, m.lastError.Error()
	}
	return m.writtenIndex, ""
}

// HasSQLRecord tells whether the node is set up to write to a store of record.
func (s *Store) HasSQLRecord() bool { return s.mirror != nil }

// RunMirror writes to the store of record under a lease until ctx ends, or it fails.
func (s *Store) RunMirror(ctx context.Context, held lease.FencingToken) error {
	m := s.mirror
	db, err := sql.Open(drivers[s.cfg.SQL.Driver], s.cfg.SQL.DSN)
	if err != nil {
		return fmt.Errorf("open store of record: %w", err)
	}
	defer db.Close()
	db.SetMaxOpenConns(1)
	run := &mirrorSession{sqlMirror: m, db: db, fence: held}
	wait, since := mirrorEvery, time.Time{} // since when it fails
	for first := true; ; {
		err := run.sync(ctx, first)
		m.mu.Lock()
		fails := err != nil && m.lastError == nil
		back := err == nil && m.lastError != nil
		m.lastError = err
		m.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case fails:
			s.log.Warn("store of record away", zap.Error(err))
		case back:
			s.log.Info("store of record back")
		}
		if err == nil {
			first, wait, since = false, mirrorEvery, time.Time{}
		} else if since.IsZero() {
			since = time.Now()
		} else if wait = min(2*wait, mirrorMost); errors.Is(err, ErrStaleToken) || time.Since(since) > mirrorGiveUp {
			return err // another node may fare better
		}
		changed := s.state.dirty
		if err != nil {
			changed = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// mirrorSession is the time for which this node writes under one token.
type mirrorSession struct {
	*sqlMirror
	db    *sql.DB
	fence lease.FencingToken
}

// beginFenced starts a transaction, unless the database knows a higher token. Until it ends, no
// other token gets in.
func (m *mirrorSession) beginFenced(ctx context.Context) (*sql.Tx, error) {
	tx, err := m.db.BeginTx(ctx, nil)
	if err != nil {
		return nil, fmt.Errorf("begin: %w", err)
	}
	res, err := tx.ExecContext(ctx, advanceFence, m.fence.Name, int64(m.fence.Token))
	if err == nil {
		var n int64
		if n, err = res.RowsAffected(); err == nil && n == 0 {
			err = fmt.Errorf("%w than %d", ErrStaleToken, m.fence.Token)
		}
	}
	if err != nil {
		tx.Rollback()
		return nil, fmt.Errorf("fence: %w", err)
	}
	return tx, nil
}

// sync writes what is missing. One that is new to it first takes over what only the
// database has, as when all nodes lost their disks, and then writes everything:
// it can't know what the one before it wrote.
func (m *mirrorSession) sync(ctx context.Context, takeOver bool) error {
	ctx, cancel := context.WithTimeout(ctx, sqlTimeout)
	defer cancel()
	from, _ := m.progress()
	if takeOver {
		from = 0
		for _, create := range []string{createRecordTable, createFenceTable} {
			if _, err := m.db.ExecContext(ctx, create); err != nil {
				return fmt.Errorf("create table: %w", err)
			}
		}
		if err := m.importMissing(ctx); err != nil {
			return err
		}
	}
	missing := m.store.state.entriesAfter(from)
	if len(missing) == 0 {
		return nil
	}
	tx, err := m.beginFenced(ctx)
	if err != nil {
		return err
	}
	defer tx.Rollback()
	for key, e := range missing {
		value := sql.NullString{String: string(e.Value), Valid: !e.Deleted}
		if _, err := tx.ExecContext(ctx, upsertRecord, key, value, int64(e.ModRevision)); err != nil {
			return fmt.Errorf("write %s: %w", key, err)
		}
		from = max(from, e.ModRevision)
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	m.mu.Lock()
	m.writtenIndex = from
	m.mu.Unlock()
	return nil
}

// importMissing takes keys from the database that the store has never heard of.
func (m *mirrorSession) importMissing(ctx context.Context) error {
	if _, err := m.store.WaitFresh(ctx, Freshness{}); err != nil {
		return fmt.Errorf("wait for the log: %w", err)
	}
	known, last := m.store.state.entriesAfter(0), m.store.AppliedRevision()
	rows, err := m.db.QueryContext(ctx, selectRecords)
	if err != nil {
		return fmt.Errorf("read rows: %w", err)
	}
	defer rows.Close()
	var missing []kv.Request
	earlier := false
	for rows.Next() {
		var key string
		var value sql.NullString
		var index int64
		if err := rows.Scan(&key, &value, &index); err != nil {
			return fmt.Errorf("read row: %w", err)
		}
		earlier = earlier || uint64(index) > last
		if _, ok := known[key]; !ok && value.Valid && !strings.HasPrefix(key, kv.ReservedPrefix) {
			missing = append(missing, kv.Request{Fences: []lease.FencingToken{m.fence}, If: []kv.Compare{{Key: key}},
				Then: []kv.Op{{Kind: "put", Key: key, Value: json.RawMessage(value.String)}}})
		}
	}
	if err := rows.Err(); err != nil {
		return fmt.Errorf("read rows: %w", err)
	}
	rows.Close()
	if earlier {
		tx, err := m.beginFenced(ctx)
		if err != nil {
			return err
		}
		defer tx.Rollback()
		if _, err := tx.ExecContext(ctx, resetIndexes); err != nil {
			return fmt.Errorf("reset rows: %w", err)
		}
		if err := tx.Commit(); err != nil {
			return fmt.Errorf("reset rows: %w", err)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	m.store.log.Info("keys taken over from the store of record", zap.Int("keys", len(missing)))
	for _, r := range missing { // a key that somebody wrote meanwhile stays as it is
		if err := m.store.ExecuteAnywhere(ctx, r); err != nil {
			return fmt.Errorf("take over: %w", err)
		}
	}
	return nil
}
