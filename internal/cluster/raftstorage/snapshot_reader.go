package raftstorage

import (
	"fmt"
	"io"

	"oxbowbridge/internal/storage/durable"
)

// snapshotReader reads the content of a snapshot, chunk by chunk. A chunk that is missing, empty or too
// long is an error.
type snapshotReader struct {
	view        *durable.Snapshot
	id          string
	nextChunk   uint64
	unreadBytes int64  // size of the chunks that have not been read
	buffer      []byte // unread rest of the last chunk
}

func (r *snapshotReader) Read(p []byte) (int, error) {
	if len(r.buffer) == 0 {
		if r.unreadBytes == 0 {
			return 0, io.EOF
		}
		if err := r.readChunk(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.buffer)
	r.buffer = r.buffer[n:]
	return n, nil
}

func (r *snapshotReader) readChunk() error {
	chunk, err := r.view.Get(chunkKey(r.id, r.nextChunk), 0)
	if err != nil {
		return fmt.Errorf("snapshot %s, chunk %d: %w", r.id, r.nextChunk, err)
	}
	if len(chunk) == 0 || int64(len(chunk)) > r.unreadBytes {
		return fmt.Errorf("snapshot %s, chunk %d: found %d bytes, want 1 to %d", r.id, r.nextChunk, len(chunk), r.unreadBytes)
	}
	r.nextChunk++
	r.unreadBytes -= int64(len(chunk))
	r.buffer = chunk
	return nil
}

// Close releases the snapshot of the durable store.
func (r *snapshotReader) Close() error {
	r.view.Close()
	return nil
}
