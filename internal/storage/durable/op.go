package durable

import (
	"encoding/binary"
	"errors"
	"math"
)

// maxOpOverhead is the maximum number of bytes of an operation besides key and value:
// the kind, four varints and a checksum.
const maxOpOverhead = 1 + 4*binary.MaxVarintLen64 + checksumLen

type opKind byte

const (
	opPut         opKind = iota + 1
	opDelete             // removes a key
	opDeleteRange        // removes the keys in [key, value)
	opMove               // rewrites a live value, if the key still has the operation's version
	opExpire             // removes a key, if it still has the operation's version
)

// String returns the name of the kind in reports.
func (k opKind) String() string {
	if k < opPut || k > opExpire {
		return "unknown"
	}
	return [...]string{
		opPut:         "put",
		opDelete:      "delete",
		opDeleteRange: "delete range",
		opMove:        "move",
		opExpire:      "expire",
	}[k]
}

// hasVersion reports whether the operation has a version: moves and expires apply to
// one version of a key only.
func (k opKind) hasVersion() bool { return k == opMove || k == opExpire }

// hasValue reports whether the operation has a value. The value of a delete range is
// the end of the range.
func (k opKind) hasValue() bool { return k.storesValue() || k == opDeleteRange }

// storesValue reports whether readers may read the operation's value from the log.
// Such an operation also has an expiry and a checksum.
func (k opKind) storesValue() bool { return k == opPut || k == opMove }

// op is one operation of a batch. Its slices point into the batch.
type op struct {
	kind    opKind
	version uint64 // only moves and expires
	expiry  int64  // only puts and moves; 0 is never
	key     []byte
	value   []byte
	offset  int // bytes, in the payload
	size    int // encoded length in bytes
}

// appendOp encodes an operation. It leaves the checksum of a put or move zero, because
// the checksum depends on the file; setOpChecksums sets it.
func appendOp(b []byte, o op) []byte {
	b = append(b, byte(o.kind))
	if o.kind.hasVersion() {
		b = binary.AppendUvarint(b, o.version)
	}
	b = binary.AppendUvarint(b, uint64(len(o.key)))
	if o.kind.hasValue() {
		b = binary.AppendUvarint(b, uint64(len(o.value)))
	}
	if o.kind.storesValue() {
		b = binary.AppendVarint(b, o.expiry)
	}
	b = append(b, o.key...)
	if o.kind.hasValue() {
		b = append(b, o.value...)
	}
	if o.kind.storesValue() {
		b = append(b, make([]byte, checksumLen)...)
	}
	return b
}

var errMalformedOp = errors.New("operation is malformed")

// uvarint decodes a varint. It rejects all but the shortest encoding, so that each
// value has exactly one.
func uvarint(b []byte) (uint64, int) {
	v, n := binary.Uvarint(b)
	if n > 1 && b[n-1] == 0 {
		return 0, 0
	}
	return v, n
}

// zigzag decodes the signed number from an unsigned varint.
func zigzag(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }

// byteReader reads fields from the front of a buffer. If a field is longer than the
// rest of the buffer, failed is set and that field and all later ones are zero.
type byteReader struct {
	rest   []byte
	failed bool
}

func (r *byteReader) uvarint() uint64 {
	if r.failed {
		return 0
	}
	v, n := uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *byteReader) bytes(n uint64) []byte {
	if r.failed || n > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

// parseOp reads the operation at offset. It allocates nothing.
func parseOp(payload []byte, offset int) (op, error) {
	if offset >= len(payload) {
		return op{}, errMalformedOp
	}
	o := op{kind: opKind(payload[offset]), offset: offset}
	if o.kind < opPut || o.kind > opExpire {
		return op{}, errMalformedOp
	}
	in := byteReader{rest: payload[offset+1:]}
	if o.kind.hasVersion() {
		o.version = in.uvarint()
	}
	keyLen := in.uvarint()
	valueLen := uint64(0)
	if o.kind.hasValue() {
		valueLen = in.uvarint()
	}
	if o.kind.storesValue() {
		o.expiry = zigzag(in.uvarint())
	}
	o.key = in.bytes(keyLen)
	o.value = in.bytes(valueLen)
	if o.kind.storesValue() {
		in.bytes(checksumLen)
	}
	if in.failed {
		return op{}, errMalformedOp
	}
	o.size = len(payload) - offset - len(in.rest)
	return o, nil
}

// forEachOp visits count operations, which must fill the payload exactly.
func forEachOp(payload []byte, count uint32, visit func(op) error) error {
	offset := 0
	for range count {
		o, err := parseOp(payload, offset)
		if err != nil {
			return err
		}
		if err := visit(o); err != nil {
			return err
		}
		offset += o.size
	}
	if offset != len(payload) {
		return errMalformedOp
	}
	return nil
}

// validateOp rejects operations that no valid Batch contains.
func validateOp(o op) error {
	if len(o.key) > math.MaxUint16 {
		return errMalformedOp
	}
	if len(o.key) == 0 && o.kind != opDeleteRange {
		return errMalformedOp
	}
	return nil
}

// Constants of the CRC mask for operation checksums; LevelDB uses the same mask.
const (
	maskRotation = 15
	maskDelta    = 0xa282ead8
)

// opChecksum returns the checksum at the end of a put or move. It covers the file's
// salt, the sequence number of the batch and the operation, so that an older value is
// not accepted in its place. It is masked, because the CRC over bytes that end with
// their own plain CRC depends only on their length: the checksum of the batch, which
// covers the operation and its checksum, would not detect a replaced operation.
func opChecksum(salt uint32, seq uint64, encoded []byte) uint32 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], seq)
	c := checksum(checksum(salt, number[:]), encoded[:len(encoded)-checksumLen])
	return (c>>maskRotation | c<<(32-maskRotation)) + maskDelta
}

// setOpChecksums sets the checksums of all puts and moves in a payload.
func setOpChecksums(payload []byte, salt uint32, batchSeq uint64) {
	for offset := 0; offset < len(payload); {
		o, err := parseOp(payload, offset)
		if err != nil {
			panic("durable: newly encoded batch is malformed")
		}
		if o.kind.storesValue() {
			encoded := payload[offset : offset+o.size]
			seq := batchSeq
			if o.kind == opMove {
				seq = 0 // the checksum of a move covers its version in place of a sequence number
			}
			binary.LittleEndian.PutUint32(encoded[len(encoded)-checksumLen:], opChecksum(salt, seq, encoded))
		}
		offset += o.size
	}
}
