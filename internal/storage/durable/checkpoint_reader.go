package durable

import (
	"encoding/binary"
	"errors"
	"io"

	"oxbowbridge/internal/storage/durable/vfs"
)

// checkpointReader reads a checkpoint block by block.
type checkpointReader struct {
	name          string
	file          vfs.File
	size          int64  // length of the file in bytes
	offset        int64  // offset of the next block in the file
	chainChecksum uint32 // checksum of the last block, or of the header
	block         []byte // payload of the last block
	header        checkpointHeader
	entryCount    uint64
	lastKey       string
}

// readCheckpoint reads a complete checkpoint and visits its entries in ascending order
// of keys. If the file is damaged, it returns an error that matches ErrDamaged, possibly
// after it visited some entries.
func readCheckpoint(fs vfs.FS, ref checkpointRef, storeID uint64, visit func(indexEntry)) (checkpointHeader, error) {
	name := checkpointName(ref.number)
	f, err := fs.Open(name)
	if err != nil {
		return checkpointHeader{}, err
	}
	defer f.Close()
	r := &checkpointReader{name: name, file: f}
	if err := r.readHeader(ref, storeID); err != nil {
		return r.header, err
	}
	for done := false; !done; {
		if err := r.readBlock(); err != nil {
			return r.header, err
		}
		if done, err = r.visitBlock(visit); err != nil {
			return r.header, err
		}
	}
	return r.header, nil
}

// readHeader checks the file against the manifest's reference.
func (r *checkpointReader) readHeader(ref checkpointRef, storeID uint64) (err error) {
	if r.size, err = r.file.Size(); err != nil {
		return err
	}
	if r.size != ref.size {
		return newFileFault(r.name, 0, "%d bytes long, want %d", r.size, ref.size)
	}
	b := make([]byte, headerLen)
	if err := readFull(r.file, b, 0); err != nil {
		return r.endFault(err)
	}
	if r.header, err = parseCheckpointHeader(b, r.name); err != nil {
		return err
	}
	h := &r.header
	if h.storeID != storeID || h.number != ref.number || h.logPosition.seq != ref.seq || h.logPosition.segment != ref.segment {
		return newFileFault(r.name, headerStoreOffset, "belongs to another store or another time")
	}
	r.chainChecksum = binary.LittleEndian.Uint32(b[headerLen-checksumLen:])
	r.offset = headerLen
	return nil
}

// readBlock reads the next block and checks its checksum.
func (r *checkpointReader) readBlock() error {
	var header [blockHeaderLen]byte
	if err := readFull(r.file, header[:], r.offset); err != nil {
		return r.endFault(err)
	}
	n := int64(binary.LittleEndian.Uint32(header[:]))
	if n < 1 || n > maxBlockBytes || n > r.size-r.offset-blockHeaderLen {
		return newFileFault(r.name, r.offset, "block's length is wrong")
	}
	if int64(cap(r.block)) < n {
		r.block = make([]byte, n)
	}
	r.block = r.block[:n]
	if err := readFull(r.file, r.block, r.offset+blockHeaderLen); err != nil {
		return r.endFault(err)
	}
	r.chainChecksum = checksum(r.chainChecksum, r.block)
	if r.chainChecksum != binary.LittleEndian.Uint32(header[4:]) {
		return newFileFault(r.name, r.offset, "block's checksum is wrong")
	}
	r.offset += blockHeaderLen + n
	return nil
}

// visitBlock visits the entries of a block, or checks the end block.
func (r *checkpointReader) visitBlock(visit func(indexEntry)) (done bool, err error) {
	switch r.block[0] {
	case blockEnd:
		if len(r.block) != blockEndLen || binary.LittleEndian.Uint64(r.block[1:]) != r.entryCount || r.offset != r.size {
			return false, newFileFault(r.name, r.offset, "ends too early or too late")
		}
		return true, nil
	case blockEntries:
		return false, r.visitEntries(visit)
	}
	return false, newFileFault(r.name, r.offset, "unknown block")
}

func (r *checkpointReader) visitEntries(visit func(indexEntry)) error {
	var key []byte
	for rest := r.block[1:]; len(rest) > 0; {
		var e indexEntry
		var err error
		e, key, rest, err = parseEntry(rest, key, r.header.logPosition.seq)
		if err != nil || e.key() <= r.lastKey {
			return newFileFault(r.name, r.offset, "entry %d can't be read", r.entryCount)
		}
		r.lastKey = e.key()
		r.entryCount++
		visit(e)
	}
	return nil
}

// endFault converts an unexpected end of the file to a fault, and returns other errors
// unchanged.
func (r *checkpointReader) endFault(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return newFileFault(r.name, r.offset, "is cut short")
	}
	return err
}
