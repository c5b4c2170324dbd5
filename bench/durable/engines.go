package main

import (
	"context"
	"database/sql"
	"path/filepath"

	"go.etcd.io/bbolt"
	_ "modernc.org/sqlite"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/vfs"
)

// engine is a store that is measured: each put returns once it is on disk.
type engine interface {
	put(key, value []byte) error
	load(n int, key, value func(i int) []byte) error // many, in few syncs
	close() error
}

var engines = []struct {
	name string
	open func(path string) (engine, error)
}{{"durable", openDurable}, {"bbolt Update", openBolt(false)}, {"bbolt Batch", openBolt(true)}, {"SQLite", openSQLite}}

const loadBatch = 10_000

type durableEngine struct{ *durable.Store }

func openDurable(path string) (engine, error) {
	fs, err := vfs.OpenDir(path)
	if err != nil {
		return nil, err
	}
	s, _, err := durable.Open(fs, durable.Options{})
	return durableEngine{s}, err
}

func (e durableEngine) put(key, value []byte) error { return e.Put(key, value) }
func (e durableEngine) close() error                { return e.Close() }

func (e durableEngine) load(n int, key, value func(int) []byte) error {
	for i := 0; i < n; i += loadBatch {
		var b durable.Batch
		for j := i; j < min(n, i+loadBatch); j++ {
			b.Put(key(j), value(j), 0)
		}
		if _, err := e.Apply(&b, durable.Synced); err != nil {
			return err
		}
	}
	return nil
}

type boltEngine struct {
	db    *bbolt.DB
	batch bool
}

var bucket = []byte("b")

func openBolt(batch bool) func(string) (engine, error) {
	return func(path string) (engine, error) {
		db, err := bbolt.Open(path, 0o600, nil)
		if err != nil {
			return nil, err
		}
		return boltEngine{db, batch}, db.Update(func(tx *bbolt.Tx) error {
			_, err := tx.CreateBucketIfNotExists(bucket)
			return err
		})
	}
}

func (e boltEngine) put(key, value []byte) error {
	do := func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, value) }
	if e.batch {
		return e.db.Batch(do)
	}
	return e.db.Update(do)
}

func (e boltEngine) close() error { return e.db.Close() }

func (e boltEngine) load(n int, key, value func(int) []byte) error {
	for i := 0; i < n; i += loadBatch {
		if err := e.db.Update(func(tx *bbolt.Tx) error {
			for j := i; j < min(n, i+loadBatch); j++ {
				if err := tx.Bucket(bucket).Put(key(j), value(j)); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

type sqlEngine struct {
	db     *sql.DB
	insert *sql.Stmt
}

func openSQLite(path string) (engine, error) {
	db, err := sql.Open("sqlite", "file:"+filepath.ToSlash(path)+"?_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)&_pragma=busy_timeout(10000)")
	if err != nil {
		return nil, err
	}
	db.SetMaxOpenConns(1) // one writer at a time is what SQLite has
	if _, err := db.Exec("CREATE TABLE IF NOT EXISTS t (k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID"); err != nil {
		return nil, err
	}
	s, err := db.Prepare("INSERT INTO t VALUES (?, ?) ON CONFLICT(k) DO UPDATE SET v = excluded.v")
	return sqlEngine{db, s}, err
}

func (e sqlEngine) put(key, value []byte) error {
	_, err := e.insert.Exec(key, value)
	return err
}

func (e sqlEngine) close() error { return e.db.Close() }

func (e sqlEngine) load(n int, key, value func(int) []byte) error {
	for i := 0; i < n; i += loadBatch {
		tx, err := e.db.BeginTx(context.Background(), nil)
		if err != nil {
			return err
		}
		put := tx.Stmt(e.insert)
		for j := i; j < min(n, i+loadBatch); j++ {
			if _, err := put.Exec(key(j), value(j)); err != nil {
				return err
			}
		}
		if err := tx.Commit(); err != nil {
			return err
		}
	}
	return nil
}
