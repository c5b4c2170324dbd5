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
	prefixMeta  = "m/" // and the snapshot's id
	prefixChunk = "s/" // and its id, "/" and the chunk's number
	chunkBytes  = 256 << 10
	kept        = 2
)

// snapshots are those of one node. A snapshot is there once its meta key is, which
// is written last and in one batch with the removal of older ones.
type snapshots struct {
	store *durable.Store
	mu    sync.Mutex
	made  uint64
}

var errNoSnapshot = errors.New("no such snapshot")

// Create begins a snapshot.
func (d *Storage) Create(version raft.SnapshotVersion, index, term uint64, conf raft.Configuration, confIndex uint64,
	_ raft.Transport) (raft.SnapshotSink, error) {
	if version != raft.SnapshotVersionMax {
		return nil, fmt.Errorf("snapshots of version %d are not written", version)
	}
	seq, _ := d.store.Seq()
	d.snaps.mu.Lock()
	d.snaps.made++
	id := fmt.Sprintf("%020d-%020d-%d-%d", term, index, seq, d.snaps.made)
	d.snaps.mu.Unlock()
	return &sink{s: &d.snaps, done: d.conf.drop, meta: raft.SnapshotMeta{Version: version, ID: id, Index: index, Term: term, Configuration: conf,
		ConfigurationIndex: confIndex}}, nil
}

// List gives the snapshots, the newest first.
func (d *Storage) List() ([]*raft.SnapshotMeta, error) { return d.snaps.list() }

// Open reads a snapshot.
func (d *Storage) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	text, err := d.store.Get([]byte(prefixMeta+id), 0)
	if errors.Is(err, durable.ErrNotFound) {
		err = errNoSnapshot
	}
	if err != nil {
		return nil, nil, fmt.Errorf("snapshot %s: %w", id, err)
	}
	m := &raft.SnapshotMeta{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, nil, fmt.Errorf("snapshot %s: %w", id, err)
	}
	view, err := d.store.Snapshot() // it stays readable while newer ones replace it
	if err != nil {
		return nil, nil, err
	}
	return m, &reader{view: view, id: id, left: m.Size}, nil
}

func (s *snapshots) list() ([]*raft.SnapshotMeta, error) {
	view, err := s.store.Snapshot()
	if err != nil {
		return nil, err
	}
	defer view.Close()
	var metas []*raft.SnapshotMeta
	var bad error
	err = view.Scan([]byte(prefixMeta), end(prefixMeta), 0, func(i durable.Item) bool {
		m := &raft.SnapshotMeta{}
		text, err := i.Value()
		if err == nil {
			err = json.Unmarshal(text, m)
		}
		if err != nil {
			bad = fmt.Errorf("snapshot %s: %w", i.Key, err)
			return false
		}
		metas = append(metas, m)
		return true
	})
	slices.Reverse(metas) // ids sort by term and index
	return metas, errors.Join(err, bad)
}

// clean removes chunks of snapshots that were never finished.
func (s *snapshots) clean() error {
	metas, err := s.list()
	if err != nil {
		return err
	}
	var gone []string
	view, err := s.store.Snapshot()
	if err != nil {
		return err
	}
	defer view.Close()
	err = view.Scan([]byte(prefixChunk), end(prefixChunk), 0, func(i durable.Item) bool {
		id, _, _ := strings.Cut(strings.TrimPrefix(i.Key, prefixChunk), "/")
		if !slices.ContainsFunc(metas, func(m *raft.SnapshotMeta) bool { return m.ID == id }) && !slices.Contains(gone, id) {
			gone = append(gone, id)
		}
		return true
	})
	for _, id := range gone {
		var b durable.Batch
		dropChunks(&b, id)
		if _, aerr := s.store.Apply(&b, durable.Buffered); aerr != nil {
			return aerr
		}
	}
	return err
}

func dropChunks(b *durable.Batch, id string) {
	from := prefixChunk + id + "/"
	b.DeleteRange([]byte(from), end(from))
}

// end is the first key behind a prefix, which doesn't end with 0xff.
func end(prefix string) []byte {
	e := []byte(prefix)
	e[len(e)-1]++
	return e
}

func chunkKey(id string, n uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(prefixChunk+id+"/"), n)
}

// sink takes a snapshot's bytes.
type sink struct {
	s      *snapshots
	meta   raft.SnapshotMeta
	buf    []byte
	chunks uint64
	ended  bool
	done   func()
}

func (k *sink) ID() string { return k.meta.ID }

func (k *sink) Write(p []byte) (int, error) {
	k.buf = append(k.buf, p...)
	k.meta.Size += int64(len(p))
	for len(k.buf) >= chunkBytes {
		if err := k.flush(chunkBytes); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

func (k *sink) flush(n int) error {
	var b durable.Batch
	b.Put(chunkKey(k.meta.ID, k.chunks), k.buf[:n], 0)
	if _, err := k.s.store.Apply(&b, durable.Buffered); err != nil {
		return err
	}
	k.chunks++
	k.buf = append(k.buf[:0], k.buf[n:]...)
	return nil
}

// Close makes the snapshot count, and drops those that it takes the place of.
func (k *sink) Close() error {
	if k.ended {
		return nil
	}
	k.ended = true
	if len(k.buf) > 0 {
		if err := k.flush(len(k.buf)); err != nil {
			return err
		}
	}
	text, err := json.Marshal(k.meta)
	if err != nil {
		return err
	}
	k.s.mu.Lock()
	defer k.s.mu.Unlock()
	metas, err := k.s.list()
	if err != nil {
		return err
	}
	var b durable.Batch
	b.Put([]byte(prefixMeta+k.meta.ID), text, 0)
	for i, m := range metas {
		if i >= kept-1 {
			b.Delete([]byte(prefixMeta + m.ID))
			dropChunks(&b, m.ID)
		}
	}
	_, err = k.s.store.Apply(&b, durable.Synced) // what was buffered before it is on disk with it
	k.done()
	return err
}

// Cancel drops what was written.
func (k *sink) Cancel() error {
	if k.ended {
		return nil
	}
	k.ended = true
	var b durable.Batch
	dropChunks(&b, k.meta.ID)
	_, err := k.s.store.Apply(&b, durable.Buffered)
	return err
}

// reader gives a snapshot's bytes, and an error if they are not all there.
type reader struct {
	view *durable.Snapshot
	id   string
	next uint64
	left int64
	buf  []byte
}

func (r *reader) Read(p []byte) (int, error) {
	if len(r.buf) == 0 {
		if r.left == 0 {
			return 0, io.EOF
		}
		b, err := r.view.Get(chunkKey(r.id, r.next), 0)
		if err != nil {
			return 0, fmt.Errorf("snapshot %s, chunk %d: %w", r.id, r.next, err)
		}
		if len(b) == 0 || int64(len(b)) > r.left {
			return 0, fmt.Errorf("snapshot %s, chunk %d: %d bytes, %d are left", r.id, r.next, len(b), r.left)
		}
		r.next++
		r.left -= int64(len(b))
		r.buf = b
	}
	n := copy(p, r.buf)
	r.buf = r.buf[n:]
	return n, nil
}

func (r *reader) Close() error {
	r.view.Close()
	return nil
}
