package durable

import (
	"encoding/binary"
	"fmt"

	"oxbowbridge/internal/storage/durable/vfs"
)

const (
	manifestMagic = "oxbwMAN\n"
	// manifestLen is the length of the manifest in bytes.
	manifestLen = 128
	// retainedCheckpoints is how many checkpoints are kept, oldest first in the
	// manifest: if the newest can't be read, the log behind the other one still can.
	retainedCheckpoints = 2
	newestCheckpoint    = retainedCheckpoints - 1

	manifestCheckpointsOffset = 44
	checkpointRefLen          = 24 // bytes
)

// checkpointRef is what the manifest knows of a checkpoint; number 0 is none.
type checkpointRef struct {
	number  uint32
	seq     uint64 // the last batch that it holds
	size    int64  // bytes
	segment uint32 // where the log behind it begins
}

// manifest names the files that belong to the store. It is replaced as a unit.
type manifest struct {
	storeID       uint64
	generation    uint64 // number of times that the manifest was written
	activeSegment uint32 // the segment that is written to; during a rotation the next one
	syncedSeq     uint64 // all batches up to this one were on disk
	firstSegment  uint32 // where replay without a checkpoint begins; 0 if the log's beginning may be missing
	checkpoints   [retainedCheckpoints]checkpointRef
}

func (m *manifest) encode() []byte {
	b := newFileHeader(manifestLen, manifestMagic, m.storeID)
	e := binary.LittleEndian
	e.PutUint64(b[20:], m.generation)
	e.PutUint32(b[28:], m.activeSegment)
	e.PutUint64(b[32:], m.syncedSeq)
	e.PutUint32(b[40:], m.firstSegment)
	for i, ref := range m.checkpoints {
		field := b[manifestCheckpointsOffset+checkpointRefLen*i:]
		e.PutUint32(field, ref.number)
		e.PutUint64(field[4:], ref.seq)
		e.PutUint64(field[12:], uint64(ref.size))
		e.PutUint32(field[20:], ref.segment)
	}
	sealFileHeader(b, manifestKind, 0)
	return b
}

func parseManifest(b []byte) (*manifest, error) {
	if len(b) != manifestLen {
		return nil, newFault(manifestName, 0, "%d bytes long, want %d", len(b), manifestLen)
	}
	if err := checkFileHeader(b, manifestMagic, manifestKind, 0, manifestName, "a manifest"); err != nil {
		return nil, err
	}
	e := binary.LittleEndian
	m := &manifest{
		storeID:       e.Uint64(b[headerStoreOffset:]),
		generation:    e.Uint64(b[20:]),
		activeSegment: e.Uint32(b[28:]),
		syncedSeq:     e.Uint64(b[32:]),
		firstSegment:  e.Uint32(b[40:]),
	}
	for i := range m.checkpoints {
		field := b[manifestCheckpointsOffset+checkpointRefLen*i:]
		m.checkpoints[i] = checkpointRef{
			number:  e.Uint32(field),
			seq:     e.Uint64(field[4:]),
			size:    int64(e.Uint64(field[12:])),
			segment: e.Uint32(field[20:]),
		}
	}
	return m, nil
}

// write replaces the manifest: a new file, synced and renamed, and the folder synced.
func (m *manifest) write(fs vfs.FS) error {
	m.generation++
	if err := writeFile(fs, manifestTempName, m.encode()); err != nil {
		return err
	}
	if err := fs.Rename(manifestTempName, manifestName); err != nil {
		return fmt.Errorf("manifest: %w", err)
	}
	if err := fs.SyncDir(); err != nil {
		return fmt.Errorf("manifest: folder: %w", err)
	}
	return nil
}
