package durable

import (
	"encoding/binary"

	"github.com/tidwall/btree"

	"oxbowbridge/internal/storage/durable/vfs"
)

// checkpointSyncBytes is the number of bytes written between two syncs, so that each
// sync is short.
const checkpointSyncBytes = 1 << 20

// checkpointWriter writes a checkpoint in steps.
type checkpointWriter struct {
	header        checkpointHeader
	file          vfs.File
	iterator      btree.IterG[indexEntry]
	hasMore       bool  // the iterator points to an entry
	size          int64 // bytes written
	unsyncedBytes int64
	chainChecksum uint32 // checksum of the last block, or of the header
	entryCount    uint64
	previousKey   string // in the current block
	block         []byte // header and payload of the current block
}

// start creates the file and writes the header. The fields header and iterator must be
// set, and the tree that the iterator reads must not change any more.
func (w *checkpointWriter) start(fs vfs.FS) error {
	f, err := fs.Create(checkpointName(w.header.number))
	if err != nil {
		return err
	}
	w.file = f
	w.hasMore = w.iterator.First()
	b := w.header.encode()
	w.chainChecksum = binary.LittleEndian.Uint32(b[headerLen-checksumLen:])
	return w.write(b)
}

func (w *checkpointWriter) write(b []byte) error {
	if _, err := w.file.WriteAt(b, w.size); err != nil {
		return err
	}
	w.size += int64(len(b))
	w.unsyncedBytes += int64(len(b))
	if w.unsyncedBytes >= checkpointSyncBytes {
		return w.sync()
	}
	return nil
}

func (w *checkpointWriter) sync() error {
	w.unsyncedBytes = 0
	if err := w.file.Sync(); err != nil {
		return syncError{err}
	}
	return nil
}

// startBlock starts a block: it reserves space for the header and sets the kind.
func (w *checkpointWriter) startBlock(kind byte) {
	w.block = append(w.block[:0], make([]byte, blockHeaderLen)...)
	w.block = append(w.block, kind)
	w.previousKey = ""
}

// flushBlock sets the header of the current block and writes the block.
func (w *checkpointWriter) flushBlock() error {
	payload := w.block[blockHeaderLen:]
	w.chainChecksum = checksum(w.chainChecksum, payload)
	binary.LittleEndian.PutUint32(w.block, uint32(len(payload)))
	binary.LittleEndian.PutUint32(w.block[4:], w.chainChecksum)
	err := w.write(w.block)
	w.block = w.block[:0]
	return err
}

// writeNext writes about budget bytes, and reports whether the checkpoint is
// complete and synced.
func (w *checkpointWriter) writeNext(budget int64) (done bool, err error) {
	startSize := w.size
	for ; w.hasMore; w.hasMore = w.iterator.Next() {
		if w.size-startSize >= budget {
			return false, nil
		}
		if err := w.add(w.iterator.Item()); err != nil {
			return false, err
		}
	}
	w.iterator.Release()
	return true, w.finish()
}

func (w *checkpointWriter) add(e indexEntry) error {
	if len(w.block) == 0 {
		w.startBlock(blockEntries)
	}
	w.block = appendEntry(w.block, &e, w.previousKey, w.header.logPosition.seq)
	w.previousKey = e.key()
	w.entryCount++
	if len(w.block) >= targetBlockBytes {
		return w.flushBlock()
	}
	return nil
}

// finish writes the last block of entries and the end block, and syncs.
func (w *checkpointWriter) finish() error {
	if len(w.block) > 0 {
		if err := w.flushBlock(); err != nil {
			return err
		}
	}
	w.startBlock(blockEnd)
	w.block = binary.LittleEndian.AppendUint64(w.block, w.entryCount)
	if err := w.flushBlock(); err != nil {
		return err
	}
	return w.sync()
}

// ref returns the manifest's reference to the complete checkpoint.
func (w *checkpointWriter) ref() checkpointRef {
	return checkpointRef{
		number:  w.header.number,
		seq:     w.header.logPosition.seq,
		size:    w.size,
		segment: w.header.logPosition.segment,
	}
}
