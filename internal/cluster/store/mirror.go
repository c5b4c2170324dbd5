package store

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"sync"
	"time"

	_ "github.com/jackc/pgx/v5/stdlib" // driver "pgx"
	"go.uber.org/zap"
	_ "modernc.org/sqlite" // driver "sqlite"

	"oxbowbridge/internal/cluster/lease"
)

const (
	mirrorInterval   = time.Second     // time between two synchronizations if no entry is applied meanwhile
	maxMirrorBackoff = 5 * time.Second // maximum pause between two attempts while the database fails
	// mirrorAbandonAfter is how long writes may fail before the node releases the mirror's lease. The
	// database may be unreachable for this node only, so that another node may succeed.
	mirrorAbandonAfter = 30 * time.Second
)

// sqlDrivers maps the driver names of the configuration to those of database/sql.
var sqlDrivers = map[string]string{"sqlite": "sqlite", "postgres": "pgx"}

// sqlMirror is the copy of the keys in a SQL database, which operators also call the store of record. The
// holder of the mirror's lease writes the entries that the database lacks. While the database fails, the
// store continues to work, and the mirror catches up later.
type sqlMirror struct {
	store *Store

	mu           sync.Mutex
	writtenIndex uint64 // the database has all entries up to this log index
	lastError    error  // error of the last attempt; nil if it succeeded
}

// progress returns the index up to which all entries are written, and the last error's text or "".
func (m *sqlMirror) progress() (uint64, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastError != nil {
		return m.writtenIndex, m.lastError.Error()
	}
	return m.writtenIndex, ""
}

func (m *sqlMirror) recordWritten(index uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writtenIndex = index
}

// recordResult stores the result of an attempt, and returns the previous one.
func (m *sqlMirror) recordResult(err error) (previous error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous = m.lastError
	m.lastError = err
	return previous
}

// HasSQLMirror reports whether the node is configured to write the SQL mirror.
func (s *Store) HasSQLMirror() bool { return s.mirror != nil }

// RunMirror writes the SQL mirror under a lease until ctx ends, another node has taken over, or the
// database has failed for mirrorAbandonAfter.
func (s *Store) RunMirror(ctx context.Context, fence lease.FencingToken) error {
	db, err := sql.Open(sqlDrivers[s.cfg.SQL.Driver], s.cfg.SQL.DSN)
	if err != nil {
		return fmt.Errorf("open sql mirror: %w", err)
	}
	defer db.Close()
	db.SetMaxOpenConns(1)
	session := &mirrorSession{sqlMirror: s.mirror, db: db, fence: fence}
	backoff := mirrorBackoff{wait: mirrorInterval}
	for {
		err := session.sync(ctx)
		s.logMirrorResult(ctx, s.mirror.recordResult(err), err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if backoff.next(err) {
			return err
		}
		mirrorWake := s.state.mirrorWake
		if err != nil {
			mirrorWake = nil // a change of the state must not shorten the backoff
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-mirrorWake:
		case <-time.After(backoff.wait):
		}
	}
}

// logMirrorResult logs when the database becomes unavailable, and when it is available again.
func (s *Store) logMirrorResult(ctx context.Context, previous, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && previous == nil:
		s.log.Warn("sql mirror unavailable", zap.Error(err))
	case err == nil && previous != nil:
		s.log.Info("sql mirror available again")
	}
}

// mirrorBackoff is the wait before the next attempt.
type mirrorBackoff struct {
	wait         time.Duration
	failingSince time.Time // zero if the last attempt succeeded
}

// next computes the wait after an attempt, and reports whether this node should release the mirror's
// lease.
func (b *mirrorBackoff) next(err error) (abandon bool) {
	switch {
	case err == nil:
		b.wait = mirrorInterval
		b.failingSince = time.Time{}
		return false
	case b.failingSince.IsZero():
		b.failingSince = time.Now()
		return false
	}
	b.wait = min(2*b.wait, maxMirrorBackoff)
	return errors.Is(err, ErrStaleToken) || time.Since(b.failingSince) > mirrorAbandonAfter
}
