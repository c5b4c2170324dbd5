package durable

import (
	"encoding/binary"
	"fmt"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Offsets of a segment header's fields, in bytes.
const (
	segmentNumberOffset           = 20
	segmentPreviousSizeOffset     = 24
	segmentPreviousSeqOffset      = 32
	segmentPreviousChecksumOffset = 40
)

// segment is one file of the log. Store.mu guards the mutable fields.
type segment struct {
	number     uint32
	file       vfs.File
	size       int64 // bytes, up to the end of the last valid batch
	salt       uint32
	liveBytes  int64  // length of the operations that the index refers to
	liveValues int64  // number of values that the index refers to
	emptiedSeq uint64 // sequence number of the batch after which no value was live
	sealed     bool   // no batch is appended any more
	unreadable bool   // compaction found damage in the segment
}

// position is a position in the log, between two batches.
type position struct {
	segment       uint32
	offset        int64  // bytes
	seq           uint64 // sequence number of the previous batch
	chainChecksum uint32 // checksum of the header of the previous batch, or of the segment if it has none
}

// segmentHeader is the header of a segment. It identifies the end of the previous
// segment, so that recovery detects a segment out of sequence.
type segmentHeader struct {
	storeID          uint64
	number           uint32
	previousSize     int64  // length of the previous segment in bytes
	previousSeq      uint64 // sequence number of the last batch of the previous segment
	previousChecksum uint32 // checksum of that batch's header
	checksum         uint32 // checksum of this header; the first batch has it as previousChecksum
}

func (h *segmentHeader) encode() []byte {
	b := segmentFormat.newHeader(headerLen, h.storeID)
	e := binary.LittleEndian
	e.PutUint32(b[segmentNumberOffset:], h.number)
	e.PutUint64(b[segmentPreviousSizeOffset:], uint64(h.previousSize))
	e.PutUint64(b[segmentPreviousSeqOffset:], h.previousSeq)
	e.PutUint32(b[segmentPreviousChecksumOffset:], h.previousChecksum)
	h.checksum = segmentFormat.setHeaderChecksum(b, h.number)
	return b
}

func parseSegmentHeader(b []byte, name string) (segmentHeader, error) {
	if len(b) < headerLen {
		return segmentHeader{}, newFileFault(name, 0, "header is cut short")
	}
	b = b[:headerLen]
	e := binary.LittleEndian
	number := e.Uint32(b[segmentNumberOffset:])
	if err := segmentFormat.checkHeader(b, number, name); err != nil {
		return segmentHeader{}, err
	}
	return segmentHeader{
		storeID:          e.Uint64(b[headerStoreOffset:]),
		number:           number,
		previousSize:     int64(e.Uint64(b[segmentPreviousSizeOffset:])),
		previousSeq:      e.Uint64(b[segmentPreviousSeqOffset:]),
		previousChecksum: e.Uint32(b[segmentPreviousChecksumOffset:]),
		checksum:         e.Uint32(b[headerLen-checksumLen:]),
	}, nil
}

// readHeader reads the segment's header. A damaged header matches ErrDamaged.
func (s *segment) readHeader() (segmentHeader, error) {
	b := make([]byte, min(s.size, headerLen))
	if err := readFull(s.file, b, 0); err != nil {
		return segmentHeader{}, err
	}
	return parseSegmentHeader(b, segmentName(s.number))
}

// readValue reads an entry's value from the file and verifies that it is the value that
// the entry refers to.
func (s *segment) readValue(e *indexEntry) ([]byte, error) {
	b := make([]byte, e.size)
	if err := readFull(s.file, b, int64(e.offset)); err != nil {
		return nil, fmt.Errorf("%w: value of %q: %s: %w", ErrDamaged, e.key(), segmentName(s.number), err)
	}
	o, err := parseOp(b, 0)
	if err != nil || o.size != len(b) || string(o.key) != e.key() || !o.kind.storesValue() {
		return nil, fmt.Errorf("%w: value of %q is not where it was put", ErrDamaged, e.key())
	}
	seq := e.version
	if o.kind == opMove {
		if o.version != e.version {
			return nil, fmt.Errorf("%w: value of %q is an older one", ErrDamaged, e.key())
		}
		seq = 0 // the checksum of a move covers its version in place of a sequence number
	}
	stored := binary.LittleEndian.Uint32(b[len(b)-checksumLen:])
	if opChecksum(s.salt, seq, b) != stored {
		return nil, fmt.Errorf("%w: value of %q has a wrong checksum", ErrDamaged, e.key())
	}
	return o.value, nil
}
