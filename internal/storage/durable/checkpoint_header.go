package durable

import "encoding/binary"

const checkpointMagic = "oxbwCKP\n"

// A checkpoint is a header and blocks: the length of the block's payload, the
// checksum that continues the one before, and the payload, whose first byte is the
// kind of the block.
const (
	blockHeaderLen   = 8        // bytes: length and checksum
	blockEntries     = 'K'      // entries of the index, in the order of keys
	blockEnd         = 'E'      // the number of entries
	blockEndLen      = 1 + 8    // bytes
	targetBlockBytes = 32 << 10 // at which a block of entries is closed
	maxBlockBytes    = 1 << 20  // readers take longer blocks for damage
)

// checkpointHeader is at the start of a checkpoint.
type checkpointHeader struct {
	storeID     uint64
	number      uint32
	logPosition position // where the log goes on
}

func (h *checkpointHeader) encode() []byte {
	b := newFileHeader(headerLen, checkpointMagic, h.storeID)
	e := binary.LittleEndian
	e.PutUint32(b[20:], h.number)
	e.PutUint64(b[24:], h.logPosition.seq)
	e.PutUint32(b[32:], h.logPosition.segment)
	e.PutUint64(b[36:], uint64(h.logPosition.offset))
	e.PutUint32(b[44:], h.logPosition.chain)
	sealFileHeader(b, checkpointKind, h.number)
	return b
}

func parseCheckpointHeader(b []byte, name string) (checkpointHeader, error) {
	if len(b) < headerLen {
		return checkpointHeader{}, newFault(name, 0, "header is cut short")
	}
	b = b[:headerLen]
	e := binary.LittleEndian
	number := e.Uint32(b[20:])
	if err := checkFileHeader(b, checkpointMagic, checkpointKind, number, name, "a checkpoint"); err != nil {
		return checkpointHeader{}, err
	}
	return checkpointHeader{
		storeID: e.Uint64(b[headerStoreOffset:]),
		number:  number,
		logPosition: position{
			segment: e.Uint32(b[32:]),
			offset:  int64(e.Uint64(b[36:])),
			seq:     e.Uint64(b[24:]),
			chain:   e.Uint32(b[44:]),
		},
	}, nil
}
