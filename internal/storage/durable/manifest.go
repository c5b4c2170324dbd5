package durable

import (
	"encoding/binary"
	"fmt"

	"oxbowbridge/internal/storage/durable/vfs"
)

const (
	// manifestLen is the length of the manifest in bytes.
	manifestLen = 128
	// retainedCheckpoints is the number of checkpoints in the manifest, oldest first. If
	// the newest can't be read, recovery loads the other one and replays more of the log.
	retainedCheckpoints = 2
	// newestCheckpoint is the index of the newest checkpoint in manifest.checkpoints.
	newestCheckpoint = retainedCheckpoints - 1
	// manifestNumber is the manifest's file number in the salt of its checksum; segments
	// and checkpoints are numbered from 1.
	manifestNumber = 0
)

// Offsets of the manifest's fields, in bytes.
const (
	manifestGenerationOffset    = 20
	manifestActiveSegmentOffset = 28
	manifestSyncedSeqOffset     = 32
	manifestFirstSegmentOffset  = 40
	manifestCheckpointsOffset   = 44
)

// Offsets of a checkpointRef's fields in the manifest, and its length, in bytes.
const (
	refNumberOffset  = 0
	refSeqOffset     = 4
	refSizeOffset    = 12
	refSegmentOffset = 20
	checkpointRefLen = 24
)

// checkpointRef is the manifest's reference to a checkpoint; number 0 means none.
type checkpointRef struct {
	number  uint32
	seq     uint64 // sequence number of the last batch that the checkpoint covers
	size    int64  // bytes
	segment uint32 // segment in which the replay after the checkpoint starts
}

// manifest names the files that belong to the store. Its file is replaced atomically.
type manifest struct {
	storeID       uint64
	generation    uint64 // number of times that the manifest was written
	activeSegment uint32 // the segment to which batches are appended, or during a rotation the next one
	syncedSeq     uint64 // all batches up to this one were on disk when the manifest was written
	firstSegment  uint32 // segment in which a replay without a checkpoint starts; 0 if segments may have been dropped
	checkpoints   [retainedCheckpoints]checkpointRef
}

func (m *manifest) encode() []byte {
	b := manifestFormat.newHeader(manifestLen, m.storeID)
	e := binary.LittleEndian
	e.PutUint64(b[manifestGenerationOffset:], m.generation)
	e.PutUint32(b[manifestActiveSegmentOffset:], m.activeSegment)
	e.PutUint64(b[manifestSyncedSeqOffset:], m.syncedSeq)
	e.PutUint32(b[manifestFirstSegmentOffset:], m.firstSegment)
	for i, ref := range m.checkpoints {
		field := b[manifestCheckpointsOffset+checkpointRefLen*i:]
		e.PutUint32(field[refNumberOffset:], ref.number)
		e.PutUint64(field[refSeqOffset:], ref.seq)
		e.PutUint64(field[refSizeOffset:], uint64(ref.size))
		e.PutUint32(field[refSegmentOffset:], ref.segment)
	}
	manifestFormat.setHeaderChecksum(b, manifestNumber)
	return b
}

func parseManifest(b []byte) (*manifest, error) {
	if len(b) != manifestLen {
		return nil, newFileFault(manifestName, 0, "%d bytes long, want %d", len(b), manifestLen)
	}
	if err := manifestFormat.checkHeader(b, manifestNumber, manifestName); err != nil {
		return nil, err
	}
	e := binary.LittleEndian
	m := &manifest{
		storeID:       e.Uint64(b[headerStoreOffset:]),
		generation:    e.Uint64(b[manifestGenerationOffset:]),
		activeSegment: e.Uint32(b[manifestActiveSegmentOffset:]),
		syncedSeq:     e.Uint64(b[manifestSyncedSeqOffset:]),
		firstSegment:  e.Uint32(b[manifestFirstSegmentOffset:]),
	}
	for i := range m.checkpoints {
		field := b[manifestCheckpointsOffset+checkpointRefLen*i:]
		m.checkpoints[i] = checkpointRef{
			number:  e.Uint32(field[refNumberOffset:]),
			seq:     e.Uint64(field[refSeqOffset:]),
			size:    int64(e.Uint64(field[refSizeOffset:])),
			segment: e.Uint32(field[refSegmentOffset:]),
		}
	}
	return m, nil
}

// write replaces the manifest: it writes and syncs a new file, renames it and syncs the
// folder.
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
