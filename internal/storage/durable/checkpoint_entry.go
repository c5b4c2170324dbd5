package durable

import (
	"encoding/binary"
	"errors"
	"math"
)

// entryHasExpiry is the bit of an entry's flags that is set if an expiry follows. The
// other bits are the value's place.
const entryHasExpiry = 0x80

// appendEntry encodes one entry of a block. The prefix that its key shares with the
// previous key of the block is not repeated. The version
// is encoded as its difference from seq, the last sequence number that the checkpoint covers.
func appendEntry(b []byte, e *indexEntry, previousKey string, seq uint64) []byte {
	key := e.key()
	shared := 0
	for shared < len(previousKey) && shared < len(key) && previousKey[shared] == key[shared] {
		shared++
	}
	b = binary.AppendUvarint(b, uint64(shared))
	b = binary.AppendUvarint(b, uint64(len(key)-shared))
	b = append(b, key[shared:]...)
	flags := byte(e.place)
	if e.expiry != 0 {
		flags |= entryHasExpiry
	}
	b = append(b, flags)
	b = binary.AppendUvarint(b, seq-e.version)
	if e.expiry != 0 {
		b = binary.AppendVarint(b, e.expiry)
	}
	switch e.place {
	case valueInline:
		b = binary.AppendUvarint(b, uint64(len(e.value())))
		b = append(b, e.value()...)
	case valueOnDisk:
		b = binary.AppendUvarint(b, uint64(e.segment))
		b = binary.AppendUvarint(b, uint64(e.offset))
		b = binary.AppendUvarint(b, uint64(e.size))
	}
	return b
}

var errMalformedEntry = errors.New("checkpoint entry is malformed")

// parseEntry reads one entry. The argument key is the previous key of the block; its
// buffer is reused for newKey.
func parseEntry(b []byte, key []byte, seq uint64) (e indexEntry, newKey, rest []byte, err error) {
	in := byteReader{rest: b}
	shared := in.uvarint()
	unshared := in.uvarint()
	if in.failed || shared > uint64(len(key)) {
		return e, key, in.rest, errMalformedEntry
	}
	key = append(key[:shared], in.bytes(unshared)...)
	flags := in.bytes(1)
	if in.failed || len(key) == 0 || len(key) > math.MaxUint16 {
		return e, key, in.rest, errMalformedEntry
	}
	place := flags[0] &^ entryHasExpiry
	if place > byte(valueLost) {
		return e, key, in.rest, errMalformedEntry
	}
	e.place = valuePlace(place)
	e.keyLen = uint16(len(key))
	age := in.uvarint()
	e.version = seq - age
	if flags[0]&entryHasExpiry != 0 {
		e.expiry = zigzag(in.uvarint())
	}
	value := parseEntryValue(&in, &e)
	if in.failed || seq == 0 || age >= seq {
		return e, key, in.rest, errMalformedEntry
	}
	data := make([]byte, 0, len(key)+len(value))
	data = append(data, key...)
	data = append(data, value...)
	e.data = string(data)
	return e, key, in.rest, nil
}

// parseEntryValue reads an inline value, or the location of a value on disk.
func parseEntryValue(in *byteReader, e *indexEntry) (value []byte) {
	switch e.place {
	case valueInline:
		return in.bytes(in.uvarint())
	case valueOnDisk:
		segment := in.uvarint()
		offset := in.uvarint()
		size := in.uvarint()
		if segment > math.MaxUint32 || offset > math.MaxUint32 || size > math.MaxUint32 {
			in.failed = true
		}
		e.segment = uint32(segment)
		e.offset = uint32(offset)
		e.size = uint32(size)
	}
	return nil
}
