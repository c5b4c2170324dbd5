// Package raftstorage keeps what a Raft node must not forget in one durable store: the
// log (an entry a number, cut at either end), the stable keys (term and vote), and
// the snapshots (chunks, which count once their meta key is there).
package raftstorage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/stream"
	"oxbowbridge/internal/storage/durable/vfs"
)

// The prefixes of keys.
const (
	prefixLog    = "l/"
	prefixStable = "c/"
	prefixKept   = "k/"
)

const (
	entryBytes  = 80 << 20 // of one entry: all keys of a store, taken over at once
	appendBytes = 4 << 20  // of one batch of entries, about
	oldFile     = "log.db" // what a node of the version before kept
)

// ErrLegacyFormat means that the folder was written by a version that kept its log with bbolt.
var ErrLegacyFormat = errors.New("folder holds a log of the old kind (" + oldFile +
	"): move the folder away with this node stopped, and the node gets everything from the others")

// Storage is a node's folder. It is a raft.LogStore, raft.StableStore and
// raft.SnapshotStore.
type Storage struct {
	store *durable.Store
	log   *stream.Stream
	snaps snapshots
	conf  confCache
}

// Open opens a node's folder, or makes it. One that misses what was acknowledged
// isn't opened (durable.ErrDamaged): a node that forgot its vote or its log must
// not go on as if it had not.
func Open(dir string) (*Storage, *durable.Report, error) {
	if _, err := os.Stat(filepath.Join(dir, oldFile)); err == nil {
		return nil, nil, fmt.Errorf("%s: %w", dir, ErrLegacyFormat)
	}
	fs, err := vfs.NewDir(dir)
	if err != nil {
		return nil, nil, err
	}
	return OpenFS(fs)
}

// OpenFS is Open on any folder.
func OpenFS(fs vfs.FS) (*Storage, *durable.Report, error) {
	store, report, err := durable.Open(fs, durable.Options{ValueBytes: entryBytes, BatchBytes: entryBytes + appendBytes + 1<<20})
	if err != nil {
		return nil, report, err
	}
	d := &Storage{store: store, snaps: snapshots{store: store}}
	if d.log, err = stream.Open(store, prefixLog); err == nil {
		err = d.snaps.clean()
	}
	if err != nil {
		store.Close()
		return nil, report, err
	}
	return d, report, nil
}

// Close syncs and lets go of the folder.
func (d *Storage) Close() error { return d.store.Close() }

// Stat are the store's figures.
func (d *Storage) Stat() durable.Stat { return d.store.Stat() }

// IsMonotonic has Raft leave no gap in the log.
func (d *Storage) IsMonotonic() bool { return true }

// FirstIndex is 0 if there is no entry.
func (d *Storage) FirstIndex() (uint64, error) {
	first, _ := d.log.Bounds()
	return first, nil
}

// LastIndex is 0 if there is no entry.
func (d *Storage) LastIndex() (uint64, error) {
	_, last := d.log.Bounds()
	return last, nil
}

// GetLog reads one entry.
func (d *Storage) GetLog(index uint64, to *raft.Log) error {
	b, err := d.log.Get(index)
	if errors.Is(err, stream.ErrNotThere) {
		return raft.ErrLogNotFound
	}
	if err != nil {
		return fmt.Errorf("log entry %d: %w", index, err)
	}
	if err := decodeEntry(b, to); err != nil {
		return fmt.Errorf("log entry %d: %w", index, err)
	}
	to.Index = index
	return nil
}

// StoreLog appends one entry, synced.
func (d *Storage) StoreLog(l *raft.Log) error { return d.StoreLogs([]*raft.Log{l}) }

// StoreLogs appends entries, synced. A crash may keep the first of them only.
func (d *Storage) StoreLogs(logs []*raft.Log) error {
	for len(logs) > 0 {
		var entries [][]byte
		for size := 0; len(entries) < len(logs) && size < appendBytes; {
			l := logs[len(entries)]
			if l.Index != logs[0].Index+uint64(len(entries)) {
				return fmt.Errorf("log entry %d: %w", l.Index, stream.ErrGap)
			}
			e := encodeEntry(l)
			entries, size = append(entries, e), size+len(e)
		}
		if err := d.log.Append(logs[0].Index, entries, durable.Synced); err != nil {
			return err
		}
		d.conf.stored(logs[:len(entries)])
		logs = logs[len(entries):]
	}
	return nil
}

// DeleteRange cuts entries off at the front or at the back, up to and with the last.
func (d *Storage) DeleteRange(from, to uint64) error {
	first, last := d.log.Bounds()
	defer d.conf.drop()
	switch {
	case first == 0 || to < first || from > last:
		return nil
	case from <= first:
		return d.log.CutFront(to+1, durable.Synced)
	case to >= last:
		return d.log.CutBack(from, durable.Synced)
	}
	return fmt.Errorf("entries %d to %d lie inside of %d to %d", from, to, first, last)
}

// PutLocal writes a value of this node's own, synced. Raft knows nothing of it.
func (d *Storage) PutLocal(key string, value []byte) error {
	return d.store.Put([]byte(prefixKept+key), value)
}

// GetLocal reads a value of this node's own; nil if it was never written.
func (d *Storage) GetLocal(key string) ([]byte, error) {
	v, err := d.store.Get([]byte(prefixKept+key), 0)
	if errors.Is(err, durable.ErrNotFound) {
		return nil, nil
	}
	return v, err
}

const entryForm = 1

var errEntry = errors.New("can't be read")

// encodeEntry is a byte for the form, the type, the term, the time and the length of the
// extensions as varints, the extensions and the data.
func encodeEntry(l *raft.Log) []byte {
	b := make([]byte, 0, 32+len(l.Extensions)+len(l.Data))
	b = append(b, entryForm, byte(l.Type))
	b = binary.AppendUvarint(b, l.Term)
	at := int64(0)
	if !l.AppendedAt.IsZero() {
		at = l.AppendedAt.UnixNano()
	}
	b = binary.AppendVarint(b, at)
	b = binary.AppendUvarint(b, uint64(len(l.Extensions)))
	return append(append(b, l.Extensions...), l.Data...)
}

func decodeEntry(b []byte, to *raft.Log) error {
	if len(b) < 2 || b[0] != entryForm {
		return errEntry
	}
	l := raft.Log{Type: raft.LogType(b[1])}
	b = b[2:]
	term, n := binary.Uvarint(b)
	if n <= 0 {
		return errEntry
	}
	b = b[n:]
	at, n := binary.Varint(b)
	if n <= 0 {
		return errEntry
	}
	b = b[n:]
	ext, n := binary.Uvarint(b)
	if n <= 0 || ext > uint64(len(b)-n) {
		return errEntry
	}
	b = b[n:]
	l.Term = term
	if at != 0 {
		l.AppendedAt = time.Unix(0, at)
	}
	if ext > 0 {
		l.Extensions = b[:ext:ext]
	}
	if len(b) > int(ext) {
		l.Data = b[ext:]
	}
	*to = l
	return nil
}

var errNoKey = errors.New("not found") // the words that Raft knows it by

// Set writes a stable key, synced.
func (d *Storage) Set(key, value []byte) error {
	return d.store.Put(append([]byte(prefixStable), key...), value)
}

// Get reads a stable key.
func (d *Storage) Get(key []byte) ([]byte, error) {
	v, err := d.store.Get(append([]byte(prefixStable), key...), 0)
	if errors.Is(err, durable.ErrNotFound) {
		return nil, errNoKey
	}
	return v, err
}

// SetUint64 writes a number under a stable key, synced.
func (d *Storage) SetUint64(key []byte, n uint64) error {
	return d.Set(key, binary.BigEndian.AppendUint64(nil, n))
}

// GetUint64 reads a number; 0 if it was never set.
func (d *Storage) GetUint64(key []byte) (uint64, error) {
	v, err := d.Get(key)
	if errors.Is(err, errNoKey) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if len(v) != 8 {
		return 0, fmt.Errorf("stable key %q: %d bytes, want 8", key, len(v))
	}
	return binary.BigEndian.Uint64(v), nil
}
