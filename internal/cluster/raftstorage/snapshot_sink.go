package raftstorage

import (
	"encoding/json"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/storage/durable"
)

// snapshotSink writes a snapshot, chunk by chunk.
type snapshotSink struct {
	snapshots *snapshots
	meta      raft.SnapshotMeta
	buffer    []byte // not written yet
	chunks    uint64 // written
	ended     bool   // closed or cancelled
	onClosed  func()
}

// ID is the snapshot's ID.
func (w *snapshotSink) ID() string { return w.meta.ID }

func (w *snapshotSink) Write(p []byte) (int, error) {
	w.buffer = append(w.buffer, p...)
	w.meta.Size += int64(len(p))
	for len(w.buffer) >= snapshotChunkBytes {
		if err := w.flush(snapshotChunkBytes); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// flush writes a chunk of n bytes.
func (w *snapshotSink) flush(n int) error {
	var b durable.Batch
	b.Put(chunkKey(w.meta.ID, w.chunks), w.buffer[:n], 0)
	if _, err := w.snapshots.store.Apply(&b, durable.Buffered); err != nil {
		return err
	}
	w.chunks++
	w.buffer = append(w.buffer[:0], w.buffer[n:]...)
	return nil
}

// Close makes the snapshot exist, and removes the older ones beyond retainedSnapshots.
func (w *snapshotSink) Close() error {
	if w.ended {
		return nil
	}
	w.ended = true
	if len(w.buffer) > 0 {
		if err := w.flush(len(w.buffer)); err != nil {
			return err
		}
	}
	text, err := json.Marshal(w.meta)
	if err != nil {
		return err
	}
	w.snapshots.mu.Lock()
	defer w.snapshots.mu.Unlock()
	metas, err := w.snapshots.list()
	if err != nil {
		return err
	}
	var b durable.Batch
	b.Put(metaKey(w.meta.ID), text, 0)
	for _, older := range metas[min(len(metas), retainedSnapshots-1):] {
		b.Delete(metaKey(older.ID))
		deleteChunks(&b, older.ID)
	}
	_, err = w.snapshots.store.Apply(&b, durable.Synced) // the buffered chunks are synced with it
	w.onClosed()
	return err
}

// Cancel removes what was written. After Close it does nothing.
func (w *snapshotSink) Cancel() error {
	if w.ended {
		return nil
	}
	w.ended = true
	var b durable.Batch
	deleteChunks(&b, w.meta.ID)
	_, err := w.snapshots.store.Apply(&b, durable.Buffered)
	return err
}
