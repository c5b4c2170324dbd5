package durable

import "encoding/binary"

// A checkpoint is a header and blocks: the length of the block's payload, the
// checksum that continues the one before, and the payload, whose first byte is the
// kind of the block.
const (
	blockHeaderLen   = 8        // bytes: length and checksum
	blockEntries     = 'K'      // entries of the index, in the order of keys
	blockEnd         = 'E'      // the number of entries
	blockEndLen      = 1 + 8    // bytes
	targetBlockBytes = 32 << 10 // at which a block of entries is closed
	maxBlockBytes    = 1 << 20  // longer blocks count as damage
)

// Offsets of a checkpoint header's fields, in bytes.
const (
	checkpointNumberOffset  = 20
	checkpointSeqOffset     = 24
	checkpointSegmentOffset = 32
	checkpointLogOffset     = 36 // the offset in that segment
	checkpointChainOffset   = 44
)

// checkpointHeader is at the start of a checkpoint.
type checkpointHeader struct {
	storeID     uint64
	number      uint32
	logPosition position // behind the last batch that the checkpoint covers
}

func (h *checkpointHeader) encode() []byte {
	b := checkpointFormat.newHeader(headerLen, h.storeID)
	e := binary.LittleEndian
	e.PutUint32(b[checkpointNumberOffset:], h.number)
	e.PutUint64(b[checkpointSeqOffset:], h.logPosition.seq)
	e.PutUint32(b[checkpointSegmentOffset:], h.logPosition.segment)
	e.PutUint64(b[checkpointLogOffset:], uint64(h.logPosition.offset))
	e.PutUint32(b[checkpointChainOffset:], h.logPosition.chain)
	checkpointFormat.sealHeader(b, h.number)
	return b
}

func parseCheckpointHeader(b []byte, name string) (checkpointHeader, error) {
	if len(b) < headerLen {
		return checkpointHeader{}, newFault(name, 0, "header is cut short")
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
			segment: e.Uint32(b[checkpointSegmentOffset:]),
			offset:  int64(e.Uint64(b[checkpointLogOffset:])),
			seq:     e.Uint64(b[checkpointSeqOffset:]),
			chain:   e.Uint32(b[checkpointChainOffset:]),
		},
	}, nil
}
