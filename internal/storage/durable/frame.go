package durable

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// All integers are little endian. docs/design/durable-store.md has the layouts.
const (
	formatVersion = 1
	frameMagic    = 0x78b0f4a3
	frameLen      = 40 // of a frame's header
	sumLen        = 4
	opOverhead    = 1 + 10 + 10 + 10 + 10 + sumLen // an operation's bytes besides key and value, at most
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func sum(seed uint32, b []byte) uint32 { return crc32.Update(seed, castagnoli, b) }

// saltOf begins the checksums of one file, so that bytes of another file, store or
// life of the same block don't pass.
func saltOf(store uint64, kind byte, number uint32) uint32 {
	b := binary.LittleEndian.AppendUint64([]byte{kind}, store)
	return sum(0, binary.LittleEndian.AppendUint32(b, number))
}

// frame is the header of one batch in the log.
type frame struct {
	length uint32 // of the payload
	seq    uint64
	synced uint64 // all batches up to this one were on disk when this one was written
	ops    uint32
	prev   uint32 // checksum of the header before, which chains them
	body   uint32 // checksum of the payload
	sum    uint32 // checksum of this header
}

// put writes the header of a payload and returns its checksum.
func (f *frame) put(b, payload []byte, salt uint32) uint32 {
	f.length, f.body = uint32(len(payload)), sum(salt, payload)
	e := binary.LittleEndian
	e.PutUint32(b, frameMagic)
	e.PutUint32(b[4:], f.length)
	e.PutUint64(b[8:], f.seq)
	e.PutUint64(b[16:], f.synced)
	e.PutUint32(b[24:], f.ops)
	e.PutUint32(b[28:], f.prev)
	e.PutUint32(b[32:], f.body)
	f.sum = sum(salt, b[:36])
	e.PutUint32(b[36:], f.sum)
	return f.sum
}

// parseFrame reads a header; it fails on anything that put did not write.
func parseFrame(b []byte, salt uint32) (f frame, ok bool) {
	if len(b) < frameLen {
		return f, false
	}
	e := binary.LittleEndian
	if e.Uint32(b) != frameMagic || e.Uint32(b[36:]) != sum(salt, b[:36]) {
		return f, false
	}
	return frame{e.Uint32(b[4:]), e.Uint64(b[8:]), e.Uint64(b[16:]), e.Uint32(b[24:]), e.Uint32(b[28:]),
		e.Uint32(b[32:]), e.Uint32(b[36:])}, true
}

type opKind byte

const (
	opPut opKind = iota + 1
	opDelete
	opDeleteRange // from key up to, but without, the value
	opMove        // a put of what is live already, if it still has the version
	opExpire      // a delete, if the key still has the version
)

func (k opKind) String() string {
	if k < opPut || k > opExpire {
		return "unknown"
	}
	return [...]string{"put", "delete", "delete range", "move", "expire"}[k-1]
}

// op is one operation of a batch. Its slices point into the batch.
type op struct {
	kind       opKind
	version    uint64 // of moves and expires
	expiry     int64  // of puts and moves; 0 is never
	key, value []byte
	off, size  int // in the payload
}

// appendOp encodes an operation. The checksum of a put or move is left open, as it
// depends on the file; seal sets it.
func appendOp(b []byte, o op) []byte {
	b = append(b, byte(o.kind))
	if o.kind == opMove || o.kind == opExpire {
		b = binary.AppendUvarint(b, o.version)
	}
	b = binary.AppendUvarint(b, uint64(len(o.key)))
	if o.kind == opPut || o.kind == opMove || o.kind == opDeleteRange {
		b = binary.AppendUvarint(b, uint64(len(o.value)))
	}
	if o.kind == opPut || o.kind == opMove {
		b = binary.AppendVarint(b, o.expiry)
	}
	b = append(b, o.key...)
	if o.kind == opPut || o.kind == opMove || o.kind == opDeleteRange {
		b = append(b, o.value...)
	}
	if o.kind == opPut || o.kind == opMove {
		b = append(b, 0, 0, 0, 0)
	}
	return b
}

var errOp = errors.New("operation can't be read")

// uvarint takes the shortest form only, so that no two encodings mean the same.
func uvarint(b []byte) (uint64, int) {
	v, n := binary.Uvarint(b)
	if n > 1 && b[n-1] == 0 {
		return 0, 0
	}
	return v, n
}

// parseOp reads the operation at off. It allocates nothing.
func parseOp(payload []byte, off int) (op, error) {
	if off >= len(payload) {
		return op{}, errOp
	}
	o := op{kind: opKind(payload[off]), off: off}
	b := payload[off+1:]
	short := false
	next := func() uint64 {
		v, n := uvarint(b)
		if n <= 0 {
			short = true
			return 0
		}
		b = b[n:]
		return v
	}
	if o.kind < opPut || o.kind > opExpire {
		return op{}, errOp
	}
	if o.kind == opMove || o.kind == opExpire {
		o.version = next()
	}
	klen, vlen := next(), uint64(0)
	if o.kind == opPut || o.kind == opMove || o.kind == opDeleteRange {
		vlen = next()
	}
	if o.kind == opPut || o.kind == opMove {
		u := next()
		o.expiry = int64(u>>1) ^ -int64(u&1)
	}
	if short || klen > uint64(len(b)) || vlen > uint64(len(b))-klen {
		return op{}, errOp
	}
	o.key, o.value, b = b[:klen:klen], b[klen:klen+vlen:klen+vlen], b[klen+vlen:]
	if o.kind == opPut || o.kind == opMove {
		if len(b) < sumLen {
			return op{}, errOp
		}
		b = b[sumLen:]
	}
	o.size = len(payload) - off - len(b)
	return o, nil
}

// eachOp reads count operations, which must fill the payload.
func eachOp(payload []byte, count uint32, do func(op) error) error {
	off := 0
	for range count {
		o, err := parseOp(payload, off)
		if err != nil {
			return err
		}
		if err := do(o); err != nil {
			return err
		}
		off += o.size
	}
	if off != len(payload) {
		return errOp
	}
	return nil
}

// opSum is the checksum at the end of a put or move: over the file's salt, the
// batch's number and the operation, so that an older value can't pass for it. It is
// masked: a checksum over bytes that end with their own plain CRC is the same for all
// such bytes of one length, and the batch's checksum, with the chain, would bind nothing.
func opSum(salt uint32, seq uint64, o []byte) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seq)
	c := sum(sum(salt, b[:]), o[:len(o)-sumLen])
	return (c>>15 | c<<17) + 0xa282ead8
}

// sealOps sets the checksums of all operations in a payload.
func sealOps(payload []byte, salt uint32, batch uint64) {
	for off := 0; off < len(payload); {
		seq := batch
		o, err := parseOp(payload, off)
		if err != nil {
			panic("durable: a batch that was just encoded can't be read")
		}
		if o.kind == opPut || o.kind == opMove {
			b := payload[off : off+o.size]
			if o.kind == opMove {
				seq = 0 // its own version stands for it
			}
			binary.LittleEndian.PutUint32(b[len(b)-sumLen:], opSum(salt, seq, b))
		}
		off += o.size
	}
}
