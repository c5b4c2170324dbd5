package raftstorage

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/storage/durable"
)

const (
	// snapshotChunkBytes is the size of each chunk of a snapshot except the last one.
	snapshotChunkBytes = 256 << 10
	// retainedSnapshots is the number of snapshots that are kept.
	retainedSnapshots = 2
)

var errSnapshotNotFound = errors.New("snapshot not found")

// snapshotStore contains the snapshots of one node. A snapshot consists of chunks and a meta key, and
// exists only once its meta key is written.
type snapshotStore struct {
	store        *durable.Store
	mu           sync.Mutex
	createdCount uint64 // snapshots that this process has created; part of their IDs
}

// Create returns a sink that writes a new snapshot.
func (s *Storage) Create(version raft.SnapshotVersion, index, term uint64, conf raft.Configuration, confIndex uint64,
	_ raft.Transport) (raft.SnapshotSink, error) {
	if version != raft.SnapshotVersionMax {
		return nil, fmt.Errorf("unsupported snapshot version %d", version)
	}
	meta := raft.SnapshotMeta{
		Version:            version,
		ID:                 s.snapshots.newID(index, term),
		Index:              index,
		Term:               term,
		Configuration:      conf,
		ConfigurationIndex: confIndex,
	}
	return &snapshotSink{snapshots: &s.snapshots, onClosed: s.configCache.invalidate, meta: meta}, nil
}

// newID returns a new snapshot ID. IDs sort by term and index.
func (s *snapshotStore) newID(index, term uint64) string {
	seq, _ := s.store.Seq()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.createdCount++
	return fmt.Sprintf("%020d-%020d-%d-%d", term, index, seq, s.createdCount)
}

// List returns the metadata of all snapshots, the newest first.
func (s *Storage) List() ([]*raft.SnapshotMeta, error) { return s.snapshots.list() }

// Open returns the metadata of a snapshot and a reader of its content.
func (s *Storage) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	meta, err := s.snapshots.readMeta(id)
	if err != nil {
		return nil, nil, fmt.Errorf("snapshot %s: %w", id, err)
	}
	view, err := s.store.Snapshot() // keeps the chunks readable even if newer snapshots replace this one
	if err != nil {
		return nil, nil, err
	}
	return meta, &snapshotReader{view: view, id: id, unreadBytes: meta.Size}, nil
}

func (s *snapshotStore) readMeta(id string) (*raft.SnapshotMeta, error) {
	encoded, err := s.store.Get(metaKey(id), 0)
	if errors.Is(err, durable.ErrNotFound) {
		return nil, errSnapshotNotFound
	}
	if err != nil {
		return nil, err
	}
	meta := &raft.SnapshotMeta{}
	return meta, json.Unmarshal(encoded, meta)
}

func (s *snapshotStore) list() ([]*raft.SnapshotMeta, error) {
	view, err := s.store.Snapshot()
	if err != nil {
		return nil, err
	}
	defer view.Close()
	var metas []*raft.SnapshotMeta
	var malformed error
	err = view.Scan([]byte(prefixSnapshotMeta), prefixEnd(prefixSnapshotMeta), 0, func(i durable.Item) bool {
		meta := &raft.SnapshotMeta{}
		encoded, err := i.Value()
		if err == nil {
			err = json.Unmarshal(encoded, meta)
		}
		if err != nil {
			malformed = fmt.Errorf("snapshot %s: %w", i.Key, err)
			return false
		}
		metas = append(metas, meta)
		return true
	})
	slices.Reverse(metas)
	return metas, errors.Join(err, malformed)
}

// removeUnfinished deletes the chunks of snapshots that have no meta key.
func (s *snapshotStore) removeUnfinished() error {
	metas, err := s.list()
	if err != nil {
		return err
	}
	ids, err := s.snapshotIDsWithChunks()
	for _, id := range ids {
		if slices.ContainsFunc(metas, func(m *raft.SnapshotMeta) bool { return m.ID == id }) {
			continue
		}
		var b durable.Batch
		deleteChunks(&b, id)
		if _, err := s.store.Apply(&b, durable.Buffered); err != nil {
			return err
		}
	}
	return err
}

// snapshotIDsWithChunks returns the IDs of all snapshots that have chunks, with or without a meta key.
func (s *snapshotStore) snapshotIDsWithChunks() (ids []string, err error) {
	view, err := s.store.Snapshot()
	if err != nil {
		return nil, err
	}
	defer view.Close()
	err = view.Scan([]byte(prefixSnapshotChunk), prefixEnd(prefixSnapshotChunk), 0, func(i durable.Item) bool {
		id, _, _ := strings.Cut(strings.TrimPrefix(i.Key, prefixSnapshotChunk), "/")
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
		return true
	})
	return ids, err
}

func deleteChunks(b *durable.Batch, id string) {
	prefix := chunkPrefix(id)
	b.DeleteRange([]byte(prefix), prefixEnd(prefix))
}

// prefixEnd returns the first key after all keys with the given prefix. The prefix must not end with
// 0xff.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}

func metaKey(id string) []byte { return []byte(prefixSnapshotMeta + id) }

func chunkPrefix(id string) string { return prefixSnapshotChunk + id + "/" }

func chunkKey(id string, n uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(chunkPrefix(id)), n)
}
