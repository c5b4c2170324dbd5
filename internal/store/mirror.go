package store

import (
	"context"
	"database/sql"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	_ "github.com/jackc/pgx/v5/stdlib" // driver "pgx"
	"go.uber.org/zap"
	_ "modernc.org/sqlite" // driver "sqlite"

	"oxbowbridge/internal/kv"
)

const (
	sqlTimeout  = 5 * time.Second
	mirrorEvery = time.Second // also without a change: leaders come and go
	retryMost   = 30 * time.Second
)

// drivers are the names of database/sql.
var drivers = map[string]string{"sqlite": "sqlite", "postgres": "pgx"}

const (
	createTable = `CREATE TABLE IF NOT EXISTS oxbowbridge_store (name TEXT PRIMARY KEY, value TEXT, idx BIGINT NOT NULL)`
	// A row that an older leader writes late doesn't go back in time.
	upsertRow = `INSERT INTO oxbowbridge_store (name, value, idx) VALUES ($1, $2, $3)
ON CONFLICT (name) DO UPDATE SET value = excluded.value, idx = excluded.idx WHERE oxbowbridge_store.idx <= excluded.idx`
	selectRows = `SELECT name, value, idx FROM oxbowbridge_store ORDER BY name`
	// Rows of an earlier life of the store, whose log counted on from elsewhere.
	resetRows = `UPDATE oxbowbridge_store SET idx = 0`
)

// mirror keeps the store of record: the leader writes to it whatever it has not
// got. While the database is away the store goes on, and catches up after.
type mirror struct {
	store  *Store
	db     *sql.DB
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	index  uint64 // all up to it is written
	failed error
}

func startMirror(s *Store) *mirror {
	ctx, cancel := context.WithCancel(context.Background())
	m := &mirror{store: s, cancel: cancel, done: make(chan struct{})}
	go m.run(ctx)
	return m
}

func (m *mirror) close() {
	m.cancel()
	<-m.done
}

func (m *mirror) progress() (uint64, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failed != nil {
		return m.index, m.failed.Error()
	}
	return m.index, ""
}

func (m *mirror) run(ctx context.Context) {
	defer close(m.done)
	defer func() {
		if m.db != nil {
			m.db.Close()
		}
	}()
	wait, led := mirrorEvery, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.store.state.changed:
		case <-time.After(wait):
		}
		if !m.store.Leads() {
			led = false
			continue
		}
		err := m.step(ctx, !led)
		m.mu.Lock()
		first := err != nil && m.failed == nil
		back := err == nil && m.failed != nil
		m.failed = err
		m.mu.Unlock()
		switch {
		case first:
			m.store.log.Warn("store of record away", zap.Error(err))
		case back:
			m.store.log.Info("store of record back")
		}
		if err != nil {
			wait = min(2*wait, retryMost)
		} else {
			wait, led = mirrorEvery, true
		}
	}
}

// step writes what is missing. A new leader first takes over what only the
// database has, as when all nodes lost their disks, and then writes everything:
// it can't know what the one before it wrote.
func (m *mirror) step(ctx context.Context, takeOver bool) error {
	ctx, cancel := context.WithTimeout(ctx, sqlTimeout)
	defer cancel()
	if m.db == nil {
		db, err := sql.Open(drivers[m.store.cfg.SQL.Driver], m.store.cfg.SQL.DSN)
		if err != nil {
			return fmt.Errorf("open store of record: %w", err)
		}
		db.SetMaxOpenConns(1)
		m.db = db
	}
	from, _ := m.progress()
	if takeOver {
		from = 0
		if _, err := m.db.ExecContext(ctx, createTable); err != nil {
			return fmt.Errorf("create table: %w", err)
		}
		if err := m.takeOver(ctx); err != nil {
			return err
		}
	}
	missing := m.store.state.since(from)
	if len(missing) == 0 {
		return nil
	}
	tx, err := m.db.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("begin: %w", err)
	}
	defer tx.Rollback()
	for key, e := range missing {
		value := sql.NullString{String: string(e.Value), Valid: !e.Gone}
		if _, err := tx.ExecContext(ctx, upsertRow, key, value, int64(e.Index)); err != nil {
			return fmt.Errorf("write %s: %w", key, err)
		}
		from = max(from, e.Index)
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	m.mu.Lock()
	m.index = from
	m.mu.Unlock()
	return nil
}

// takeOver takes keys from the database that the store has never heard of.
func (m *mirror) takeOver(ctx context.Context) error {
	l, err := m.store.alive()
	if err != nil {
		return err
	}
	if err := done(ctx, l.raft.Barrier(sqlTimeout)); err != nil {
		return fmt.Errorf("wait for the log: %w", err)
	}
	rows, err := m.db.QueryContext(ctx, selectRows)
	if err != nil {
		return fmt.Errorf("read rows: %w", err)
	}
	defer rows.Close()
	known, last := m.store.state.since(0), l.raft.LastIndex()
	var missing []command
	earlier := false
	for rows.Next() {
		var key string
		var value sql.NullString
		var index int64
		if err := rows.Scan(&key, &value, &index); err != nil {
			return fmt.Errorf("read row: %w", err)
		}
		earlier = earlier || uint64(index) > last
		if _, ok := known[key]; !ok && value.Valid && !strings.HasPrefix(key, kv.Reserved) {
			missing = append(missing, command{Key: key, Value: json.RawMessage(value.String)})
		}
	}
	if err := rows.Err(); err != nil {
		return fmt.Errorf("read rows: %w", err)
	}
	rows.Close()
	if earlier {
		if _, err := m.db.ExecContext(ctx, resetRows); err != nil {
			return fmt.Errorf("reset rows: %w", err)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	m.store.log.Info("keys taken over from the store of record", zap.Int("keys", len(missing)))
	return m.store.apply(ctx, missing...)
}
