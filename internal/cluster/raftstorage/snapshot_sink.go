package raftstorage

import (
	"encoding/json"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/storage/durable"
)

// snapshotSink writes the content of a snapshot, chunk by chunk.
type snapshotSink struct {
	snapshots     *snapshotStore
	meta          raft.SnapshotMeta
	buffer        []byte // bytes that are not written yet
	chunksWritten uint64
	finished      bool // closed or cancelled
	onClosed      func()
}

// ID returns the ID of the snapshot.
func (w *snapshotSink) ID() string { return w.meta.ID }

func (w *snapshotSink) Write(p []byte) (int, error) {
	w.buffer = append(w.buffer, p...)
	w.meta.Size += int64(len(p))
	for len(w.buffer) >= snapshotChunkBytes {
		if err := w.writeChunk(snapshotChunkBytes); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// writeChunk writes the first n buffered bytes as the next chunk.
func (w *snapshotSink) writeChunk(n int) error {
	var b durable.Batch
	b.Put(chunkKey(w.meta.ID, w.chunksWritten), w.buffer[:n], 0)
	if _, err := w.snapshots.store.Apply(&b, durable.Buffered); err != nil {
		return err
	}
	w.chunksWritten++
	w.buffer = append(w.buffer[:0], w.buffer[n:]...)
	return nil
}

// Close writes the meta key, which makes the snapshot visible, and deletes the oldest
// snapshots beyond retainedSnapshots.
func (w *snapshotSink) Close() error {
	if w.finished {
		return nil
	}
	w.finished = true
	if len(w.buffer) > 0 {
		if err := w.writeChunk(len(w.buffer)); err != nil {
			return err
		}
	}
	encodedMeta, err := json.Marshal(w.meta)
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
	b.Put(metaKey(w.meta.ID), encodedMeta, 0)
	for _, older := range metas[min(len(metas), retainedSnapshots-1):] {
		b.Delete(metaKey(older.ID))
		deleteChunks(&b, older.ID)
	}
	_, err = w.snapshots.store.Apply(&b, durable.Synced) // also syncs the chunks, which were written unsynced
	w.onClosed()
	return err
}

// Cancel deletes the written chunks. After Close it does nothing.
func (w *snapshotSink) Cancel() error {
	if w.finished {
		return nil
	}
	w.finished = true
	var b durable.Batch
	deleteChunks(&b, w.meta.ID)
	_, err := w.snapshots.store.Apply(&b, durable.Buffered)
	return err
}
