package durable

import (
	"encoding/binary"
	"errors"
	"math"
)

// maxOpOverhead is the most bytes that an operation has besides key and value:
// the kind, four varints and a checksum.
const maxOpOverhead = 1 + 4*binary.MaxVarintLen64 + checksumLen

type opKind byte

const (
	opPut         opKind = iota + 1
	opDelete             // removes a key
	opDeleteRange        // removes the keys from key up to, but not including, value
	opMove               // a put of what is live already, if the key still has the version
	opExpire             // a delete, if the key still has the version
)

// String is the kind as reports name it.
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

// hasVersion reports whether the operation carries a version: moves and expires
// apply to one version of a key only.
func (k opKind) hasVersion() bool { return k == opMove || k == opExpire }

// hasValue reports whether the operation carries a value. A delete range carries
// the end of the range as its value.
func (k opKind) hasValue() bool { return k.storesValue() || k == opDeleteRange }

// storesValue reports whether readers may read the operation's value from the log.
// Such an operation also carries an expiry and a checksum.
func (k opKind) storesValue() bool { return k == opPut || k == opMove }

// op is one operation of a batch. Its slices point into the batch.
type op struct {
	kind    opKind
	version uint64 // of moves and expires
	expiry  int64  // of puts and moves; 0 is never
	key     []byte
	value   []byte
	offset  int // in the payload
	size    int // encoded length in bytes
}

// appendOp encodes an operation. The checksum of a put or move is left zero, as it
// depends on the file; sealOps sets it.
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

var errMalformedOp = errors.New("operation can't be read")

// uvarint accepts the shortest form only, so that no two encodings mean the same.
func uvarint(b []byte) (uint64, int) {
	v, n := binary.Uvarint(b)
	if n > 1 && b[n-1] == 0 {
		return 0, 0
	}
	return v, n
}

// zigzag turns an unsigned varint into the signed number that it encodes.
func zigzag(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }

// byteReader reads fields from the front of a buffer. After the first field that
// does not fit, failed is set and all further fields are zero.
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

// forEachOp reads count operations, which must fill the payload.
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

// checkOp finds operations that no Batch can hold.
func checkOp(o op) error {
	if len(o.key) > math.MaxUint16 {
		return errMalformedOp
	}
	if len(o.key) == 0 && o.kind != opDeleteRange {
		return errMalformedOp
	}
	return nil
}

// The mask of operation checksums, the one that LevelDB uses.
const (
	maskRotation = 15
	maskDelta    = 0xa282ead8
)

// opChecksum is the checksum at the end of a put or move: over the file's salt, the
// batch's number and the operation, so that an older value can't pass for it. It is
// masked: a CRC over bytes that end with their own plain CRC is the same for all
// such bytes of one length, and the batch's checksum would then bind nothing.
func opChecksum(salt uint32, seq uint64, encoded []byte) uint32 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], seq)
	c := checksum(checksum(salt, number[:]), encoded[:len(encoded)-checksumLen])
	return (c>>maskRotation | c<<(32-maskRotation)) + maskDelta
}

// sealOps sets the checksums of all operations in a payload.
func sealOps(payload []byte, salt uint32, batchSeq uint64) {
	for offset := 0; offset < len(payload); {
		o, err := parseOp(payload, offset)
		if err != nil {
			panic("durable: a batch that was just encoded can't be read")
		}
		if o.kind.storesValue() {
			encoded := payload[offset : offset+o.size]
			seq := batchSeq
			if o.kind == opMove {
				seq = 0 // the version that a move carries binds it
			}
			binary.LittleEndian.PutUint32(encoded[len(encoded)-checksumLen:], opChecksum(salt, seq, encoded))
		}
		offset += o.size
	}
}
