package durable

import (
	"encoding/binary"
	"hash/crc32"
)

// checksumLen is the length of a checksum in bytes.
const checksumLen = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum continues a CRC-32C over b from a seed.
func checksum(seed uint32, b []byte) uint32 { return crc32.Update(seed, castagnoli, b) }

// fileKind distinguishes the kinds of files in the salt of their checksums, see
// fileFormat.
type fileKind = byte

// fileSalt returns the seed for the checksums of one file. It differs between files and
// stores, so that bytes of another file, of another store or from an earlier use of the
// same disk block are not accepted.
func fileSalt(storeID uint64, kind fileKind, number uint32) uint32 {
	b := binary.LittleEndian.AppendUint64([]byte{kind}, storeID)
	return checksum(0, binary.LittleEndian.AppendUint32(b, number))
}
