package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"oxbowbridge/internal/storage/durable/vfs"
)

// LockName is the file whose lock is that of the folder.
const LockName = "LOCK"

// The names of a store's other files.
const (
	manifestName = "MANIFEST"
	manifestTemp = "MANIFEST.tmp"
	reserveName  = "RESERVE"
	logSuffix    = ".log"
	ckpSuffix    = ".ckp"
	setAside     = "damaged-" // prefix of what repair took out of use
)

func logName(n uint32) string { return fmt.Sprintf("%08d%s", n, logSuffix) }
func ckpName(n uint32) string { return fmt.Sprintf("%08d%s", n, ckpSuffix) }

// numbered reads a name of the store's own form.
func numbered(name, suffix string) (uint32, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || n == 0 || ckpName(uint32(n)) != digits+ckpSuffix {
		return 0, false
	}
	return uint32(n), true
}

const (
	segMagic  = "oxbwLOG\n"
	headerLen = 64
)

// newHead begins the header of a file: magic, format and store are the same in all.
func newHead(length int, magic string, store uint64) []byte {
	b := make([]byte, length)
	copy(b, magic)
	binary.LittleEndian.PutUint32(b[8:], formatVersion)
	binary.LittleEndian.PutUint64(b[12:], store)
	return b
}

// sealHead ends a header with its checksum, and gives that.
func sealHead(b []byte, kind byte, number uint32) uint32 {
	at := len(b) - sumLen
	c := sum(saltOf(binary.LittleEndian.Uint64(b[12:]), kind, number), b[:at])
	binary.LittleEndian.PutUint32(b[at:], c)
	return c
}

// checkHead finds what sealHead did not write, or another version did; what names the
// file's kind.
func checkHead(b []byte, magic string, kind byte, number uint32, name, what string) error {
	e, at := binary.LittleEndian, len(b)-sumLen
	if string(b[:8]) != magic {
		return faulty(name, 0, "not %s", what)
	}
	if e.Uint32(b[at:]) != sum(saltOf(e.Uint64(b[12:]), kind, number), b[:at]) {
		return faulty(name, 0, "header's checksum is wrong")
	}
	if v := e.Uint32(b[8:]); v != formatVersion {
		return faulty(name, 8, "format %d, want %d", v, formatVersion)
	}
	return nil
}

// segHeader is at the start of a segment of the log.
type segHeader struct {
	store     uint64
	number    uint32
	prevSize  int64  // of the segment before
	prevSeq   uint64 // last batch before this segment
	prevChain uint32 // checksum of that batch's header
	sum       uint32 // of this header: the first batch's chain
}

func (h *segHeader) encode() []byte {
	b := newHead(headerLen, segMagic, h.store)
	e := binary.LittleEndian
	e.PutUint32(b[20:], h.number)
	e.PutUint64(b[24:], uint64(h.prevSize))
	e.PutUint64(b[32:], h.prevSeq)
	e.PutUint32(b[40:], h.prevChain)
	h.sum = sealHead(b, 'l', h.number)
	return b
}

func parseSegHeader(b []byte, name string) (segHeader, error) {
	if len(b) < headerLen {
		return segHeader{}, faulty(name, 0, "header is cut short")
	}
	b = b[:headerLen]
	e := binary.LittleEndian
	if err := checkHead(b, segMagic, 'l', e.Uint32(b[20:]), name, "a segment of a log"); err != nil {
		return segHeader{}, err
	}
	return segHeader{store: e.Uint64(b[12:]), number: e.Uint32(b[20:]), prevSize: int64(e.Uint64(b[24:])),
		prevSeq: e.Uint64(b[32:]), prevChain: e.Uint32(b[40:]), sum: e.Uint32(b[headerLen-sumLen:])}, nil
}

const (
	manifestMagic = "oxbwMAN\n"
	manifestLen   = 128
	keptCkps      = 2
)

// position is a place in the log, between two batches.
type position struct {
	segment uint32
	offset  int64
	seq     uint64 // of the batch before
	chain   uint32
}

// ckpRef is what the manifest knows of a checkpoint; number 0 is none.
type ckpRef struct {
	number  uint32
	seq     uint64
	size    int64
	segment uint32 // where the log behind it begins
}

// manifest says which files count. It is replaced whole.
type manifest struct {
	store      uint64
	generation uint64
	active     uint32 // the segment that is written to, or its successor
	floor      uint64 // all batches up to this one were on disk
	first      uint32 // the segment that replay without a checkpoint begins at; 0 if that can't be
	ckps       [keptCkps]ckpRef
}

func (m *manifest) encode() []byte {
	b := newHead(manifestLen, manifestMagic, m.store)
	e := binary.LittleEndian
	e.PutUint64(b[20:], m.generation)
	e.PutUint32(b[28:], m.active)
	e.PutUint64(b[32:], m.floor)
	e.PutUint32(b[40:], m.first)
	for i, c := range m.ckps {
		at := b[44+24*i:]
		e.PutUint32(at, c.number)
		e.PutUint64(at[4:], c.seq)
		e.PutUint64(at[12:], uint64(c.size))
		e.PutUint32(at[20:], c.segment)
	}
	sealHead(b, 'm', 0)
	return b
}

func parseManifest(b []byte) (*manifest, error) {
	e := binary.LittleEndian
	if len(b) != manifestLen {
		return nil, faulty(manifestName, 0, "%d bytes long, want %d", len(b), manifestLen)
	}
	if err := checkHead(b, manifestMagic, 'm', 0, manifestName, "a manifest"); err != nil {
		return nil, err
	}
	m := &manifest{store: e.Uint64(b[12:]), generation: e.Uint64(b[20:]), active: e.Uint32(b[28:]), floor: e.Uint64(b[32:]),
		first: e.Uint32(b[40:])}
	for i := range m.ckps {
		at := b[44+24*i:]
		m.ckps[i] = ckpRef{e.Uint32(at), e.Uint64(at[4:]), int64(e.Uint64(at[12:])), e.Uint32(at[20:])}
	}
	return m, nil
}

// write replaces the manifest: a new file, synced, renamed, and the folder synced.
func (m *manifest) write(fs vfs.FS) error {
	m.generation++
	if err := writeFile(fs, manifestTemp, m.encode()); err != nil {
		return err
	}
	if err := fs.Rename(manifestTemp, manifestName); err != nil {
		return fmt.Errorf("manifest: %w", err)
	}
	if err := fs.SyncDir(); err != nil {
		return fmt.Errorf("manifest: folder: %w", err)
	}
	return nil
}

// writeFile makes a small file and syncs it, but not its name.
func writeFile(fs vfs.FS, name string, data []byte) error {
	f, err := fs.Create(name)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, err = f.WriteAt(data, 0)
	if err == nil {
		if err = f.Sync(); err != nil {
			err = syncError{err}
		}
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// syncError marks a sync that failed: what was written before it is in doubt.
type syncError struct{ err error }

func (e syncError) Error() string { return "sync: " + e.err.Error() }
func (e syncError) Unwrap() error { return e.err }

// readFile reads a file of at most so many bytes.
func readFile(fs vfs.FS, name string, most int64) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, min(size, most))
	return b, readFull(f, b, 0)
}

// readFull reads exactly len(b) bytes.
func readFull(f io.ReaderAt, b []byte, off int64) error {
	n, err := f.ReadAt(b, off)
	if n == len(b) {
		return nil
	}
	if err == nil || errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return err
}
