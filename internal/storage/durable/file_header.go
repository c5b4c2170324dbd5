package durable

import "encoding/binary"

const (
	formatVersion = 1
	// headerLen is the length of the header of a segment or checkpoint in bytes.
	headerLen = 64

	headerVersionOffset = 8
	headerStoreOffset   = 12
)

// fileFormat identifies the files of one kind.
type fileFormat struct {
	magic       string // the first bytes of the file
	kind        fileKind
	description string // for error messages
}

var (
	segmentFormat    = fileFormat{magic: "oxbwLOG\n", kind: 'l', description: "a segment of a log"}
	checkpointFormat = fileFormat{magic: "oxbwCKP\n", kind: 'c', description: "a checkpoint"}
	manifestFormat   = fileFormat{magic: "oxbwMAN\n", kind: 'm', description: "a manifest"}
)

// newHeader returns a header of a length in bytes, with the fields that have the same
// offsets in all files: magic, format version and store ID.
func (f *fileFormat) newHeader(length int, storeID uint64) []byte {
	b := make([]byte, length)
	copy(b, f.magic)
	binary.LittleEndian.PutUint32(b[headerVersionOffset:], formatVersion)
	binary.LittleEndian.PutUint64(b[headerStoreOffset:], storeID)
	return b
}

// headerChecksum returns the checksum that must be at the end of the header of the file
// with that number.
func (f *fileFormat) headerChecksum(b []byte, number uint32) uint32 {
	storeID := binary.LittleEndian.Uint64(b[headerStoreOffset:])
	return checksum(fileSalt(storeID, f.kind, number), b[:len(b)-checksumLen])
}

// setHeaderChecksum writes the checksum at the end of a header, and returns it.
func (f *fileFormat) setHeaderChecksum(b []byte, number uint32) uint32 {
	c := f.headerChecksum(b, number)
	binary.LittleEndian.PutUint32(b[len(b)-checksumLen:], c)
	return c
}

// checkHeader fails with an error that matches ErrDamaged if the header was not written
// for this file, or has another format version.
func (f *fileFormat) checkHeader(b []byte, number uint32, name string) error {
	if string(b[:len(f.magic)]) != f.magic {
		return newFileFault(name, 0, "not %s", f.description)
	}
	if binary.LittleEndian.Uint32(b[len(b)-checksumLen:]) != f.headerChecksum(b, number) {
		return newFileFault(name, 0, "header's checksum is wrong")
	}
	if v := binary.LittleEndian.Uint32(b[headerVersionOffset:]); v != formatVersion {
		return newFileFault(name, headerVersionOffset, "format %d, want %d", v, formatVersion)
	}
	return nil
}
