package durable

import "encoding/binary"

// All integers are little endian. docs/design/durable-store.md specifies the layouts.
const (
	batchMagic = 0x78b0f4a3
	// batchHeaderLen is the length of a batch's header in bytes.
	batchHeaderLen = 40
	// checksummedHeaderLen is the length of the part of the header that its checksum
	// covers, in bytes.
	checksummedHeaderLen = batchHeaderLen - checksumLen
)

// Offsets of a batch header's fields, in bytes.
const (
	batchPayloadLenOffset       = 4
	batchSeqOffset              = 8
	batchSyncedSeqOffset        = 16
	batchOpCountOffset          = 24
	batchPreviousChecksumOffset = 28
	batchPayloadChecksumOffset  = 32
)

// batchHeader is the header of one batch in the log.
type batchHeader struct {
	payloadLen       uint32 // bytes
	seq              uint64
	syncedSeq        uint64 // all batches up to this one were on disk when this one was written
	opCount          uint32
	previousChecksum uint32 // checksum of the previous batch's header
	payloadChecksum  uint32
	checksum         uint32 // checksum of this header
}

// encode sets the payload length and the checksums, writes the header to b and returns
// the header's checksum.
func (h *batchHeader) encode(b, payload []byte, salt uint32) uint32 {
	h.payloadLen = uint32(len(payload))
	h.payloadChecksum = checksum(salt, payload)
	e := binary.LittleEndian
	e.PutUint32(b, batchMagic)
	e.PutUint32(b[batchPayloadLenOffset:], h.payloadLen)
	e.PutUint64(b[batchSeqOffset:], h.seq)
	e.PutUint64(b[batchSyncedSeqOffset:], h.syncedSeq)
	e.PutUint32(b[batchOpCountOffset:], h.opCount)
	e.PutUint32(b[batchPreviousChecksumOffset:], h.previousChecksum)
	e.PutUint32(b[batchPayloadChecksumOffset:], h.payloadChecksum)
	h.checksum = checksum(salt, b[:checksummedHeaderLen])
	e.PutUint32(b[checksummedHeaderLen:], h.checksum)
	return h.checksum
}

// parseBatchHeader reads a header. It returns ok false if the magic or the checksum is
// wrong.
func parseBatchHeader(b []byte, salt uint32) (h batchHeader, ok bool) {
	if len(b) < batchHeaderLen {
		return h, false
	}
	e := binary.LittleEndian
	if e.Uint32(b) != batchMagic {
		return h, false
	}
	if e.Uint32(b[checksummedHeaderLen:]) != checksum(salt, b[:checksummedHeaderLen]) {
		return h, false
	}
	return batchHeader{
		payloadLen:       e.Uint32(b[batchPayloadLenOffset:]),
		seq:              e.Uint64(b[batchSeqOffset:]),
		syncedSeq:        e.Uint64(b[batchSyncedSeqOffset:]),
		opCount:          e.Uint32(b[batchOpCountOffset:]),
		previousChecksum: e.Uint32(b[batchPreviousChecksumOffset:]),
		payloadChecksum:  e.Uint32(b[batchPayloadChecksumOffset:]),
		checksum:         e.Uint32(b[checksummedHeaderLen:]),
	}, true
}

// matches reports whether a payload has the header's checksum and valid operations.
func (h *batchHeader) matches(payload []byte, salt uint32) bool {
	return checksum(salt, payload) == h.payloadChecksum && forEachOp(payload, h.opCount, validateOp) == nil
}
