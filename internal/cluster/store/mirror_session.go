package store

import (
	"context"
	"database/sql"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
)

// sqlTimeout bounds one synchronization of the mirror.
const sqlTimeout = 5 * time.Second

// SQL statements of the mirror.
const (
	createMirrorTable = `CREATE TABLE IF NOT EXISTS oxbowbridge_store (name TEXT PRIMARY KEY, value TEXT, idx BIGINT NOT NULL)`
	// A delayed write of an earlier lease holder does not replace a newer row.
	upsertRow = `INSERT INTO oxbowbridge_store (name, value, idx) VALUES ($1, $2, $3)
ON CONFLICT (name) DO UPDATE SET value = excluded.value, idx = excluded.idx WHERE oxbowbridge_store.idx <= excluded.idx`
	selectRows       = `SELECT name, value, idx FROM oxbowbridge_store ORDER BY name`
	createFenceTable = `CREATE TABLE IF NOT EXISTS oxbowbridge_lease (name TEXT PRIMARY KEY, token BIGINT NOT NULL)`
	// No row is affected if the table has a higher token.
	advanceFence = `INSERT INTO oxbowbridge_lease (name, token) VALUES ($1, $2)
ON CONFLICT (name) DO UPDATE SET token = excluded.token WHERE oxbowbridge_lease.token <= excluded.token`
	// Resets rows of an earlier cluster, whose log indexes are not comparable with this cluster's.
	resetIndexes = `UPDATE oxbowbridge_store SET idx = 0`
)

// mirrorSession is the period in which this node writes the SQL mirror under one fencing token.
type mirrorSession struct {
	*sqlMirror
	db       *sql.DB
	fence    lease.FencingToken
	imported bool // whether the first synchronization has succeeded
}

// mirrorRow is a row of the SQL mirror.
type mirrorRow struct {
	key   string
	value sql.NullString // NULL for a deleted key
	index uint64
}

// sync writes the entries that the database lacks. The first call imports keys that only the database has,
// which occurs after all nodes have lost their disks. It then writes every entry, because it is unknown
// what the previous lease holder has written.
func (m *mirrorSession) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sqlTimeout)
	defer cancel()
	from, _ := m.progress()
	if !m.imported {
		from = 0
		if err := m.createTables(ctx); err != nil {
			return err
		}
		if err := m.importMissing(ctx); err != nil {
			return err
		}
	}
	if err := m.writeEntries(ctx, from); err != nil {
		return err
	}
	m.imported = true
	return nil
}

func (m *mirrorSession) createTables(ctx context.Context) error {
	for _, create := range []string{createMirrorTable, createFenceTable} {
		if _, err := m.db.ExecContext(ctx, create); err != nil {
			return fmt.Errorf("create table: %w", err)
		}
	}
	return nil
}

// beginFenced starts a transaction, or returns ErrStaleToken if the database has a higher fencing token.
// Until the transaction ends, the database accepts no other token.
func (m *mirrorSession) beginFenced(ctx context.Context) (*sql.Tx, error) {
	tx, err := m.db.BeginTx(ctx, nil)
	if err != nil {
		return nil, fmt.Errorf("begin: %w", err)
	}
	if err := m.advanceFence(ctx, tx); err != nil {
		tx.Rollback()
		return nil, fmt.Errorf("fence: %w", err)
	}
	return tx, nil
}

func (m *mirrorSession) advanceFence(ctx context.Context, tx *sql.Tx) error {
	result, err := tx.ExecContext(ctx, advanceFence, m.fence.Name, int64(m.fence.Token))
	if err != nil {
		return err
	}
	affected, err := result.RowsAffected()
	if err == nil && affected == 0 {
		err = fmt.Errorf("%w than %d", ErrStaleToken, m.fence.Token)
	}
	return err
}

// writeEntries writes the entries after an index in one transaction.
func (m *mirrorSession) writeEntries(ctx context.Context, from uint64) error {
	missing := m.store.state.entriesAfter(from)
	if len(missing) == 0 {
		return nil
	}
	tx, err := m.beginFenced(ctx)
	if err != nil {
		return err
	}
	defer tx.Rollback() // without effect after Commit
	for key, e := range missing {
		value := sql.NullString{String: string(e.Value), Valid: !e.Deleted}
		if _, err := tx.ExecContext(ctx, upsertRow, key, value, int64(e.ModRevision)); err != nil {
			return fmt.Errorf("write %s: %w", key, err)
		}
		from = max(from, e.ModRevision)
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("commit: %w", err)
	}
	m.recordWritten(from)
	return nil
}

// importMissing adds the keys that only the database has to the store.
func (m *mirrorSession) importMissing(ctx context.Context) error {
	if _, err := m.store.WaitFresh(ctx, Freshness{}); err != nil {
		return fmt.Errorf("wait for the log: %w", err)
	}
	storeEntries := m.store.state.entriesAfter(0)
	lastRevision := m.store.AppliedRevision()
	rows, err := m.readRows(ctx)
	if err != nil {
		return err
	}
	var missing []kv.Request
	hasEarlierClusterRows := false
	for _, row := range rows {
		hasEarlierClusterRows = hasEarlierClusterRows || row.index > lastRevision
		if _, ok := storeEntries[row.key]; !ok && row.value.Valid && !strings.HasPrefix(row.key, kv.ReservedPrefix) {
			missing = append(missing, m.importRequest(row))
		}
	}
	if hasEarlierClusterRows {
		if err := m.resetIndexes(ctx); err != nil {
			return err
		}
	}
	if len(missing) == 0 {
		return nil
	}
	m.store.log.Info("keys imported from the sql mirror", zap.Int("keys", len(missing)))
	for _, r := range missing {
		// A failed comparison is not an error: another client has written the key in the meantime.
		if _, err := m.store.ExecuteOrForward(ctx, r); err != nil {
			return fmt.Errorf("import key: %w", err)
		}
	}
	return nil
}

// importRequest returns a request that writes the row's key unless the store already has the key.
func (m *mirrorSession) importRequest(row mirrorRow) kv.Request {
	return kv.Request{
		Fences: []lease.FencingToken{m.fence},
		If:     []kv.Compare{{Key: row.key}},
		Then:   []kv.Op{kv.Put(row.key, json.RawMessage(row.value.String))},
	}
}

func (m *mirrorSession) readRows(ctx context.Context) (list []mirrorRow, err error) {
	rows, err := m.db.QueryContext(ctx, selectRows)
	if err != nil {
		return nil, fmt.Errorf("read rows: %w", err)
	}
	defer rows.Close()
	for rows.Next() {
		var row mirrorRow
		var index int64
		if err := rows.Scan(&row.key, &row.value, &index); err != nil {
			return nil, fmt.Errorf("read row: %w", err)
		}
		row.index = uint64(index)
		list = append(list, row)
	}
	if err := rows.Err(); err != nil {
		return nil, fmt.Errorf("read rows: %w", err)
	}
	return list, nil
}

func (m *mirrorSession) resetIndexes(ctx context.Context) error {
	tx, err := m.beginFenced(ctx)
	if err != nil {
		return err
	}
	defer tx.Rollback() // without effect after Commit
	if _, err := tx.ExecContext(ctx, resetIndexes); err != nil {
		return fmt.Errorf("reset rows: %w", err)
	}
	if err := tx.Commit(); err != nil {
		return fmt.Errorf("reset rows: %w", err)
	}
	return nil
}
