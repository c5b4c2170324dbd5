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

// engine is a key-value store to measure. Each put returns after its sync.
type engine interface {
	put(key, value []byte) error
	// load puts many keys with few syncs.
	load(count int, key, value func(i int) []byte) error
	close() error
}

// engineKind is a kind of engine with the function that opens it. The first kind is
// compared with the others.
type engineKind struct {
	name string
	open func(path string) (engine, error)
}

var engines = []engineKind{
	{"durable", openDurable},
	{"bbolt Update", openBolt(false)},
	{boltBatchName, openBolt(true)},
	{"SQLite", openSQLite},
}

const boltBatchName = "bbolt Batch"

// loadBatchKeys is the number of keys that load puts in one transaction.
const loadBatchKeys = 10_000

type durableEngine struct{ *durable.Store }

func openDurable(path string) (engine, error) {
	store, err := openStore(path, durable.Options{})
	return durableEngine{store}, err
}

// openStore opens a durable store in a folder on disk.
func openStore(path string, options durable.Options) (*durable.Store, error) {
	fs, err := vfs.OpenDir(path)
	if err != nil {
		return nil, err
	}
	store, _, err := durable.Open(fs, options)
	return store, err
}

// putBuffered puts one key without a sync.
func putBuffered(store *durable.Store, key, value []byte) error {
	var b durable.Batch
	b.Put(key, value, 0)
	_, err := store.Apply(&b, durable.Buffered)
	return err
}

func (e durableEngine) put(key, value []byte) error { return e.Put(key, value) }
func (e durableEngine) close() error                { return e.Close() }

func (e durableEngine) load(count int, key, value func(int) []byte) error {
	for start := 0; start < count; start += loadBatchKeys {
		var b durable.Batch
		for i := start; i < min(count, start+loadBatchKeys); i++ {
			b.Put(key(i), value(i), 0)
		}
		if _, err := e.Apply(&b, durable.Synced); err != nil {
			return err
		}
	}
	return nil
}

type boltEngine struct {
	db    *bbolt.DB
	batch bool // use DB.Batch, in which puts of several writers share a transaction
}

var boltBucket = []byte("b")

func openBolt(batch bool) func(string) (engine, error) {
	return func(path string) (engine, error) {
		db, err := bbolt.Open(path, 0o600, nil)
		if err != nil {
			return nil, err
		}
		return boltEngine{db, batch}, db.Update(func(tx *bbolt.Tx) error {
			_, err := tx.CreateBucketIfNotExists(boltBucket)
			return err
		})
	}
}

func (e boltEngine) put(key, value []byte) error {
	update := func(tx *bbolt.Tx) error { return tx.Bucket(boltBucket).Put(key, value) }
	if e.batch {
		return e.db.Batch(update)
	}
	return e.db.Update(update)
}

func (e boltEngine) close() error { return e.db.Close() }

func (e boltEngine) load(count int, key, value func(int) []byte) error {
	for start := 0; start < count; start += loadBatchKeys {
		err := e.db.Update(func(tx *bbolt.Tx) error {
			for i := start; i < min(count, start+loadBatchKeys); i++ {
				if err := tx.Bucket(boltBucket).Put(key(i), value(i)); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

type sqliteEngine struct {
	db     *sql.DB
	upsert *sql.Stmt
}

func openSQLite(path string) (engine, error) {
	const pragmas = "?_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)&_pragma=busy_timeout(10000)"
	db, err := sql.Open("sqlite", "file:"+filepath.ToSlash(path)+pragmas)
	if err != nil {
		return nil, err
	}
	db.SetMaxOpenConns(1) // SQLite allows one writer at a time
	if _, err := db.Exec("CREATE TABLE IF NOT EXISTS t (k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID"); err != nil {
		return nil, err
	}
	upsert, err := db.Prepare("INSERT INTO t VALUES (?, ?) ON CONFLICT(k) DO UPDATE SET v = excluded.v")
	return sqliteEngine{db, upsert}, err
}

func (e sqliteEngine) put(key, value []byte) error {
	_, err := e.upsert.Exec(key, value)
	return err
}

func (e sqliteEngine) close() error { return e.db.Close() }

func (e sqliteEngine) load(count int, key, value func(int) []byte) error {
	for start := 0; start < count; start += loadBatchKeys {
		if err := e.loadBatch(start, min(count, start+loadBatchKeys), key, value); err != nil {
			return err
		}
	}
	return nil
}

func (e sqliteEngine) loadBatch(start, end int, key, value func(int) []byte) error {
	tx, err := e.db.BeginTx(context.Background(), nil)
	if err != nil {
		return err
	}
	put := tx.Stmt(e.upsert)
	for i := start; i < end; i++ {
		if _, err := put.Exec(key(i), value(i)); err != nil {
			return err
		}
	}
	return tx.Commit()
}
