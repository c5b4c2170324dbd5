package durable

import (
	"encoding/binary"
	"errors"
	"io"
	"math"

	"github.com/tidwall/btree"

	"oxbowbridge/internal/storage/durable/vfs"
)

const (
	ckpMagic   = "oxbwCKP\n"
	blockBytes = 32 << 10 // at which a block of entries is closed
	blockMost  = 1 << 20  // beyond which none is believed
	blockHead  = 8
	blockKeys  = 'K'
	blockEnd   = 'E'
	hasExpiry  = 0x80
)

// ckpHeader is at the start of a checkpoint.
type ckpHeader struct {
	store  uint64
	number uint32
	at     position // where the log goes on
}

func (h *ckpHeader) encode() []byte {
	b := newHead(headerLen, ckpMagic, h.store)
	e := binary.LittleEndian
	e.PutUint32(b[20:], h.number)
	e.PutUint64(b[24:], h.at.seq)
	e.PutUint32(b[32:], h.at.segment)
	e.PutUint64(b[36:], uint64(h.at.offset))
	e.PutUint32(b[44:], h.at.chain)
	sealHead(b, 'c', h.number)
	return b
}

func parseCkpHeader(b []byte, name string) (ckpHeader, error) {
	if len(b) < headerLen {
		return ckpHeader{}, faulty(name, 0, "header is cut short")
	}
	b = b[:headerLen]
	e := binary.LittleEndian
	if err := checkHead(b, ckpMagic, 'c', e.Uint32(b[20:]), name, "a checkpoint"); err != nil {
		return ckpHeader{}, err
	}
	return ckpHeader{e.Uint64(b[12:]), e.Uint32(b[20:]), position{e.Uint32(b[32:]), int64(e.Uint64(b[36:])), e.Uint64(b[24:]), e.Uint32(b[44:])}}, nil
}

// ckpWriter writes a checkpoint in steps.
type ckpWriter struct {
	head  ckpHeader
	file  vfs.File
	iter  btree.IterG[entry]
	more  bool
	size  int64
	dirty int64 // bytes since the last sync
	chain uint32
	count uint64
	last  string // key before, in this block
	block []byte
}

const ckpSyncBytes = 1 << 20 // between syncs, so that none has much to write

// begin makes the file of a checkpoint whose header and iterator are set. Nothing
// may change the tree any more.
func (w *ckpWriter) begin(fs vfs.FS) error {
	f, err := fs.Create(ckpName(w.head.number))
	if err != nil {
		return err
	}
	w.file, w.more = f, w.iter.First()
	b := w.head.encode()
	w.chain = binary.LittleEndian.Uint32(b[headerLen-sumLen:])
	return w.write(b)
}

func (w *ckpWriter) write(b []byte) error {
	if _, err := w.file.WriteAt(b, w.size); err != nil {
		return err
	}
	w.size += int64(len(b))
	w.dirty += int64(len(b))
	if w.dirty >= ckpSyncBytes {
		return w.sync()
	}
	return nil
}

func (w *ckpWriter) sync() error {
	w.dirty = 0
	if err := w.file.Sync(); err != nil {
		return syncError{err}
	}
	return nil
}

func (w *ckpWriter) flush() error {
	payload := w.block[blockHead:]
	binary.LittleEndian.PutUint32(w.block, uint32(len(payload)))
	w.chain = sum(w.chain, payload)
	binary.LittleEndian.PutUint32(w.block[4:], w.chain)
	err := w.write(w.block)
	w.block, w.last = w.block[:0], ""
	return err
}

// step writes about so many bytes, and tells whether all is written and synced.
func (w *ckpWriter) step(budget int64) (done bool, err error) {
	for from := w.size; w.more; w.more = w.iter.Next() {
		if w.size-from >= budget {
			return false, nil
		}
		e := w.iter.Item()
		if len(w.block) == 0 {
			w.block = append(w.block, 0, 0, 0, 0, 0, 0, 0, 0, blockKeys)
		}
		w.block = appendEntry(w.block, &e, w.last, w.head.at.seq)
		w.last = e.key()
		w.count++
		if len(w.block) >= blockBytes {
			if err := w.flush(); err != nil {
				return false, err
			}
		}
	}
	w.iter.Release()
	if len(w.block) > 0 {
		if err := w.flush(); err != nil {
			return false, err
		}
	}
	w.block = binary.LittleEndian.AppendUint64(append(w.block, 0, 0, 0, 0, 0, 0, 0, 0, blockEnd), w.count)
	if err := w.flush(); err != nil {
		return false, err
	}
	return true, w.sync()
}

func appendEntry(b []byte, e *entry, last string, seq uint64) []byte {
	key := e.key()
	shared := 0
	for shared < len(last) && shared < len(key) && last[shared] == key[shared] {
		shared++
	}
	b = binary.AppendUvarint(b, uint64(shared))
	b = binary.AppendUvarint(b, uint64(len(key)-shared))
	b = append(b, key[shared:]...)
	flags := byte(e.place)
	if e.expiry != 0 {
		flags |= hasExpiry
	}
	b = binary.AppendUvarint(append(b, flags), seq-e.version)
	if e.expiry != 0 {
		b = binary.AppendVarint(b, e.expiry)
	}
	switch e.place {
	case inline:
		b = append(binary.AppendUvarint(b, uint64(len(e.value()))), e.value()...)
	case onDisk:
		b = binary.AppendUvarint(b, uint64(e.segment))
		b = binary.AppendUvarint(b, uint64(e.offset))
		b = binary.AppendUvarint(b, uint64(e.size))
	}
	return b
}

var errEntry = errors.New("entry can't be read")

// parseEntry reads one entry; key holds the one before it in the block, and is
// changed to this one's.
func parseEntry(b []byte, key []byte, seq uint64) (e entry, newKey, rest []byte, err error) {
	bad := false
	next := func() uint64 {
		v, n := uvarint(b)
		if n <= 0 {
			bad = true
			return 0
		}
		b = b[n:]
		return v
	}
	take := func(n uint64) []byte {
		if bad || n > uint64(len(b)) {
			bad = true
			return nil
		}
		p := b[:n]
		b = b[n:]
		return p
	}
	shared, fresh := next(), next()
	if bad || shared > uint64(len(key)) {
		return e, key, b, errEntry
	}
	key = append(key[:shared], take(fresh)...)
	flags := take(1)
	if bad || len(key) == 0 || len(key) > math.MaxUint16 || flags[0]&^hasExpiry > byte(lost) {
		return e, key, b, errEntry
	}
	e.place, e.klen = place(flags[0]&^hasExpiry), uint16(len(key))
	age := next()
	e.version = seq - age
	if flags[0]&hasExpiry != 0 {
		u := next()
		e.expiry = int64(u>>1) ^ -int64(u&1)
	}
	value := []byte(nil)
	switch e.place {
	case inline:
		value = take(next())
	case onDisk:
		s, o, n := next(), next(), next()
		if s > math.MaxUint32 || o > math.MaxUint32 || n > math.MaxUint32 {
			bad = true
		}
		e.segment, e.offset, e.size = uint32(s), uint32(o), uint32(n)
	}
	if bad || age >= seq && seq > 0 || seq == 0 {
		return e, key, b, errEntry
	}
	data := make([]byte, 0, len(key)+len(value))
	e.data = string(append(append(data, key...), value...))
	return e, key, b, nil
}

// readCheckpoint reads a whole checkpoint, entry by entry in the order of keys. It
// ends with an error that matches ErrDamaged on anything that a ckpWriter did not
// write, possibly after some entries were given.
func readCheckpoint(fs vfs.FS, ref ckpRef, store uint64, each func(entry)) (h ckpHeader, err error) {
	name := ckpName(ref.number)
	f, err := fs.Open(name)
	if err != nil {
		return h, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return h, err
	}
	if size != ref.size {
		return h, faulty(name, 0, "%d bytes long, want %d", size, ref.size)
	}
	b := make([]byte, headerLen)
	if err := readFull(f, b, 0); err != nil {
		return h, eof(err, name, 0)
	}
	if h, err = parseCkpHeader(b, name); err != nil {
		return h, err
	}
	if h.store != store || h.number != ref.number || h.at.seq != ref.seq || h.at.segment != ref.segment {
		return h, faulty(name, 12, "belongs to another store or another time")
	}
	chain := binary.LittleEndian.Uint32(b[headerLen-sumLen:])
	var block, key []byte
	count, last := uint64(0), ""
	for at := int64(headerLen); ; {
		var head [blockHead]byte
		if err := readFull(f, head[:], at); err != nil {
			return h, eof(err, name, at)
		}
		n := int64(binary.LittleEndian.Uint32(head[:]))
		if n < 1 || n > blockMost || n > size-at-blockHead {
			return h, faulty(name, at, "block's length is wrong")
		}
		if int64(cap(block)) < n {
			block = make([]byte, n)
		}
		block = block[:n]
		if err := readFull(f, block, at+blockHead); err != nil {
			return h, eof(err, name, at)
		}
		if chain = sum(chain, block); chain != binary.LittleEndian.Uint32(head[4:]) {
			return h, faulty(name, at, "block's checksum is wrong")
		}
		at += blockHead + n
		if block[0] == blockEnd {
			if n != 9 || binary.LittleEndian.Uint64(block[1:]) != count || at != size {
				return h, faulty(name, at, "ends too early or too late")
			}
			return h, nil
		}
		if block[0] != blockKeys {
			return h, faulty(name, at, "unknown block")
		}
		key = key[:0]
		for b := block[1:]; len(b) > 0; {
			var e entry
			if e, key, b, err = parseEntry(b, key, h.at.seq); err != nil || e.key() <= last {
				return h, faulty(name, at, "entry %d can't be read", count)
			}
			last = e.key()
			count++
			each(e)
		}
	}
}

// eof makes an early end a fault, and leaves errors of the device as they are.
func eof(err error, name string, at int64) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return faulty(name, at, "is cut short")
	}
	return err
}
