package raftstorage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/stream"
	"oxbowbridge/internal/storage/durable/vfs"
)

// The prefixes of keys in the durable store.
const (
	prefixLog           = "l/" // log entries: the index, of 8 bytes
	prefixStable        = "c/" // Raft's stable values, such as its current term and its vote: Raft's key
	prefixLocal         = "k/" // values that the node keeps beside the log (PutLocal): the node's key
	prefixSnapshotMeta  = "m/" // descriptions of snapshots: the snapshot's ID
	prefixSnapshotChunk = "s/" // contents of snapshots: the ID, "/" and the chunk's number, of 8 bytes
)

const (
	// maxEntryBytes bounds one log entry, and one chunk of a snapshot. Entries of today stay far below
	// it; logs of earlier versions may have an entry with all keys of a store.
	maxEntryBytes = 80 << 20
	// appendBatchBytes is after which size of encoded entries a batch is appended.
	appendBatchBytes = 4 << 20
	// batchOverheadBytes is for what a batch holds beside its entries.
	batchOverheadBytes = 1 << 20
	// legacyFile is the log of a version that used bbolt.
	legacyFile = "log.db"
)

// ErrLegacyFormat means that the folder was written by a version that kept its log with bbolt.
var ErrLegacyFormat = errors.New("folder holds a log of the old kind (" + legacyFile +
	"): move the folder away with this node stopped, and the node gets everything from the others")

// Storage is a node's folder.
type Storage struct {
	store       *durable.Store
	log         *stream.Stream
	snapshots   snapshotStore
	configCache configurationCache
}

// Open opens a node's folder, or makes it. A folder that misses what was acknowledged is not opened
// (durable.ErrDamaged): a node that forgot its vote or its log must not go on as if it had not.
func Open(dir string) (*Storage, *durable.Report, error) {
	if _, err := os.Stat(filepath.Join(dir, legacyFile)); err == nil {
		return nil, nil, fmt.Errorf("%s: %w", dir, ErrLegacyFormat)
	}
	fs, err := vfs.OpenDir(dir)
	if err != nil {
		return nil, nil, err
	}
	return OpenFS(fs)
}

// OpenFS is Open on any folder.
func OpenFS(fs vfs.FS) (*Storage, *durable.Report, error) {
	store, report, err := durable.Open(fs, durable.Options{
		MaxValueBytes: maxEntryBytes,
		MaxBatchBytes: maxEntryBytes + appendBatchBytes + batchOverheadBytes,
	})
	if err != nil {
		return nil, report, err
	}
	s := &Storage{store: store, snapshots: snapshotStore{store: store}}
	if s.log, err = stream.Open(store, prefixLog); err == nil {
		err = s.snapshots.removeUnfinished()
	}
	if err != nil {
		store.Close()
		return nil, report, err
	}
	return s, report, nil
}

// Close syncs, and releases the folder.
func (s *Storage) Close() error { return s.store.Close() }

// ReadOnlyReason is why nothing can be written any more, or nil.
func (s *Storage) ReadOnlyReason() error { return s.store.ReadOnlyError() }
