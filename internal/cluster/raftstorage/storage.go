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

// Prefixes of keys in the durable store.
const (
	prefixLog           = "l/" // log entries; followed by the index, 8 bytes
	prefixStable        = "c/" // Raft's stable values, such as the current term and the vote; followed by Raft's key
	prefixLocal         = "k/" // local values of the node (PutLocal); followed by the node's key
	prefixSnapshotMeta  = "m/" // metadata of snapshots; followed by the snapshot ID
	prefixSnapshotChunk = "s/" // chunks of snapshots; followed by the snapshot ID, "/" and the chunk number, 8 bytes
)

const (
	// maxEntryBytes is the maximum size of a log entry or of a chunk of a snapshot. Current versions
	// write much smaller entries, but logs of earlier versions may contain an entry with all keys of
	// a store.
	maxEntryBytes = 80 << 20
	// appendBatchBytes is the size of encoded log entries at which a batch is appended.
	appendBatchBytes = 4 << 20
	// batchOverheadBytes is the capacity of a batch for other data than its log entries.
	batchOverheadBytes = 1 << 20
	// legacyFile is the log file of earlier versions, which used bbolt.
	legacyFile = "log.db"
)

// ErrLegacyFormat means that the folder was written by an earlier version, which stored its log with
// bbolt.
var ErrLegacyFormat = errors.New("folder contains a log in the legacy bbolt format (" + legacyFile +
	"): stop this node and move the folder away; the node then fetches all data from the other nodes")

// Storage is the storage of one node in a folder.
type Storage struct {
	store       *durable.Store
	log         *stream.Stream
	snapshots   snapshotStore
	configCache configurationCache
}

// Open opens the folder of a node, and creates it if it does not exist. If acknowledged data is missing,
// Open fails with durable.ErrDamaged, because a node that has lost its vote or log entries must not
// continue as the same Raft member.
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

// OpenFS is like Open, for any implementation of a folder. It does not check for ErrLegacyFormat.
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

// Close syncs all data and closes the folder.
func (s *Storage) Close() error { return s.store.Close() }

// ReadOnlyReason returns the error that made the storage read-only, or nil if it is writable.
func (s *Storage) ReadOnlyReason() error { return s.store.ReadOnlyError() }
