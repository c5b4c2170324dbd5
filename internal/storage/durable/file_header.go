package durable

import "encoding/binary"

const (
	formatVersion = 1
	// headerLen is the length of the header of a segment or checkpoint in bytes.
	headerLen = 64

	headerVersionOffset = 8
	headerStoreOffset   = 12
)

// newFileHeader begins the header of a file: magic, format and store are at the
// same places in all of them.
func newFileHeader(length int, magic string, storeID uint64) []byte {
	b := make([]byte, length)
	copy(b, magic)
	binary.LittleEndian.PutUint32(b[headerVersionOffset:], formatVersion)
	binary.LittleEndian.PutUint64(b[headerStoreOffset:], storeID)
	return b
}

// headerChecksum is the checksum that a header should end with.
func headerChecksum(b []byte, kind fileKind, number uint32) uint32 {
	storeID := binary.LittleEndian.Uint64(b[headerStoreOffset:])
	return checksum(saltOf(storeID, kind, number), b[:len(b)-checksumLen])
}

// sealFileHeader ends a header with its checksum, and returns that.
func sealFileHeader(b []byte, kind fileKind, number uint32) uint32 {
	c := headerChecksum(b, kind, number)
	binary.LittleEndian.PutUint32(b[len(b)-checksumLen:], c)
	return c
}

// checkFileHeader finds headers that sealFileHeader did not write, or another
// format version did. The description names the kind of file in the error.
func checkFileHeader(b []byte, magic string, kind fileKind, number uint32, name, description string) error {
	if string(b[:len(magic)]) != magic {
		return newFault(name, 0, "not %s", description)
	}
	if binary.LittleEndian.Uint32(b[len(b)-checksumLen:]) != headerChecksum(b, kind, number) {
		return newFault(name, 0, "header's checksum is wrong")
	}
	if v := binary.LittleEndian.Uint32(b[headerVersionOffset:]); v != formatVersion {
		return newFault(name, headerVersionOffset, "format %d, want %d", v, formatVersion)
	}
	return nil
}
