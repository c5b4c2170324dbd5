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
	// snapshotChunkBytes is the size of a snapshot's chunks, but for the last one.
	snapshotChunkBytes = 256 << 10
	// retainedSnapshots is how many stay.
	retainedSnapshots = 2
)

var errSnapshotNotFound = errors.New("no such snapshot")

// snapshotStore are those of one node. A snapshot is a number of chunks, and exists once its meta key
// does.
type snapshotStore struct {
	store        *durable.Store
	mu           sync.Mutex
	createdCount uint64 // in this process; part of the IDs
}

// Create begins a snapshot.
func (s *Storage) Create(version raft.SnapshotVersion, index, term uint64, conf raft.Configuration, confIndex uint64,
	_ raft.Transport) (raft.SnapshotSink, error) {
	if version != raft.SnapshotVersionMax {
		return nil, fmt.Errorf("snapshots of version %d are not written", version)
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

// newID is an ID that sorts by term and index.
func (s *snapshotStore) newID(index, term uint64) string {
	seq, _ := s.store.Seq()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.createdCount++
	return fmt.Sprintf("%020d-%020d-%d-%d", term, index, seq, s.createdCount)
}

// List is the snapshots, the newest first.
func (s *Storage) List() ([]*raft.SnapshotMeta, error) { return s.snapshots.list() }

// Open reads a snapshot.
func (s *Storage) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	meta, err := s.snapshots.readMeta(id)
	if err != nil {
		return nil, nil, fmt.Errorf("snapshot %s: %w", id, err)
	}
	view, err := s.store.Snapshot() // it stays readable while newer snapshots replace this one
	if err != nil {
		return nil, nil, err
	}
	return meta, &snapshotReader{view: view, id: id, unreadBytes: meta.Size}, nil
}

func (s *snapshotStore) readMeta(id string) (*raft.SnapshotMeta, error) {
	text, err := s.store.Get(metaKey(id), 0)
	if errors.Is(err, durable.ErrNotFound) {
		return nil, errSnapshotNotFound
	}
	if err != nil {
		return nil, err
	}
	meta := &raft.SnapshotMeta{}
	return meta, json.Unmarshal(text, meta)
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
		text, err := i.Value()
		if err == nil {
			err = json.Unmarshal(text, meta)
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

// removeUnfinished removes the chunks of snapshots without a meta key.
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

// snapshotIDsWithChunks are the IDs of all snapshots that have a chunk.
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

// prefixEnd is the first key behind those of a prefix, which must not end with 0xff.
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
