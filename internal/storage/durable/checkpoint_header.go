package durable

import "encoding/binary"

// A checkpoint is a header followed by blocks. A block is the length of its payload, a
// checksum that is seeded with the checksum of the previous block or of the header, and
// the payload, whose first byte is the kind of the block.
const (
	blockHeaderLen   = 8        // bytes: length and checksum
	blockEntries     = 'K'      // kind of a block with entries of the index, in ascending order of keys
	blockEnd         = 'E'      // kind of the last block, which has the number of entries
	blockEndLen      = 1 + 8    // payload of the last block in bytes: kind and number of entries
	targetBlockBytes = 32 << 10 // length at which a block of entries is written
	maxBlockBytes    = 1 << 20  // a longer block is treated as damage
)

// Offsets of a checkpoint header's fields, in bytes.
const (
	checkpointNumberOffset        = 20
	checkpointSeqOffset           = 24
	checkpointSegmentOffset       = 32
	checkpointLogOffset           = 36 // offset of the field with the log offset in that segment
	checkpointChainChecksumOffset = 44
)

// checkpointHeader is the header of a checkpoint.
type checkpointHeader struct {
	storeID     uint64
	number      uint32
	logPosition position // position after the last batch that the checkpoint covers
}

func (h *checkpointHeader) encode() []byte {
	b := checkpointFormat.newHeader(headerLen, h.storeID)
	e := binary.LittleEndian
	e.PutUint32(b[checkpointNumberOffset:], h.number)
	e.PutUint64(b[checkpointSeqOffset:], h.logPosition.seq)
	e.PutUint32(b[checkpointSegmentOffset:], h.logPosition.segment)
	e.PutUint64(b[checkpointLogOffset:], uint64(h.logPosition.offset))
	e.PutUint32(b[checkpointChainChecksumOffset:], h.logPosition.chainChecksum)
	checkpointFormat.setHeaderChecksum(b, h.number)
	return b
}

func parseCheckpointHeader(b []byte, name string) (checkpointHeader, error) {
	if len(b) < headerLen {
		return checkpointHeader{}, newFileFault(name, 0, "header is cut short")
	}
	b = b[:headerLen]
	e := binary.LittleEndian
	number := e.Uint32(b[checkpointNumberOffset:])
	if err := checkpointFormat.checkHeader(b, number, name); err != nil {
		return checkpointHeader{}, err
	}
	return checkpointHeader{
		storeID: e.Uint64(b[headerStoreOffset:]),
		number:  number,
		logPosition: position{
			segment:       e.Uint32(b[checkpointSegmentOffset:]),
			offset:        int64(e.Uint64(b[checkpointLogOffset:])),
			seq:           e.Uint64(b[checkpointSeqOffset:]),
			chainChecksum: e.Uint32(b[checkpointChainChecksumOffset:]),
		},
	}, nil
}
