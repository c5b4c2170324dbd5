package durable

import "encoding/binary"

const (
	formatVersion = 1
	// headerLen is the length of the header of a segment or checkpoint in bytes.
	headerLen = 64

	headerVersionOffset = 8
	headerStoreOffset   = 12
)

// fileFormat is what tells files of one kind from those of another.
type fileFormat struct {
	magic       string // the first bytes of the file
	kind        fileKind
	description string // in errors
}

var (
	segmentFormat    = fileFormat{magic: "oxbwLOG\n", kind: 'l', description: "a segment of a log"}
	checkpointFormat = fileFormat{magic: "oxbwCKP\n", kind: 'c', description: "a checkpoint"}
	manifestFormat   = fileFormat{magic: "oxbwMAN\n", kind: 'm', description: "a manifest"}
)

// newHeader begins the header of a file, of a length in bytes: magic, format version
// and store are at the same places in all files.
func (f *fileFormat) newHeader(length int, storeID uint64) []byte {
	b := make([]byte, length)
	copy(b, f.magic)
	binary.LittleEndian.PutUint32(b[headerVersionOffset:], formatVersion)
	binary.LittleEndian.PutUint64(b[headerStoreOffset:], storeID)
	return b
}

// headerChecksum is the checksum that the header of the file with a number must end
// with.
func (f *fileFormat) headerChecksum(b []byte, number uint32) uint32 {
	storeID := binary.LittleEndian.Uint64(b[headerStoreOffset:])
	return checksum(saltOf(storeID, f.kind, number), b[:len(b)-checksumLen])
}

// sealHeader ends a header with its checksum, and returns that.
func (f *fileFormat) sealHeader(b []byte, number uint32) uint32 {
	c := f.headerChecksum(b, number)
	binary.LittleEndian.PutUint32(b[len(b)-checksumLen:], c)
	return c
}

// checkHeader fails, with an error that matches ErrDamaged, on a header that
// sealHeader did not write for this file, or that has another format version.
func (f *fileFormat) checkHeader(b []byte, number uint32, name string) error {
	if string(b[:len(f.magic)]) != f.magic {
		return newFault(name, 0, "not %s", f.description)
	}
	if binary.LittleEndian.Uint32(b[len(b)-checksumLen:]) != f.headerChecksum(b, number) {
		return newFault(name, 0, "header's checksum is wrong")
	}
	if v := binary.LittleEndian.Uint32(b[headerVersionOffset:]); v != formatVersion {
		return newFault(name, headerVersionOffset, "format %d, want %d", v, formatVersion)
	}
	return nil
}
