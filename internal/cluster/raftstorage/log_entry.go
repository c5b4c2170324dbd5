package raftstorage

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// entryFormatVersion is the first byte of an encoded log entry.
	entryFormatVersion = 1
	// entryHeaderBytes is the buffer capacity reserved for all fields before the extensions.
	entryHeaderBytes = 32
)

var errMalformedEntry = errors.New("malformed encoding")

// encodeEntry encodes a log entry: one byte for the format version, one byte for the type, then as
// varints the term, the append time in Unix nanoseconds (0 if there is none) and the length of the
// extensions, then the extensions and the data. The index is not encoded, as it is part of the key.
func encodeEntry(l *raft.Log) []byte {
	b := make([]byte, 0, entryHeaderBytes+len(l.Extensions)+len(l.Data))
	b = append(b, entryFormatVersion, byte(l.Type))
	b = binary.AppendUvarint(b, l.Term)
	appendedAt := int64(0)
	if !l.AppendedAt.IsZero() {
		appendedAt = l.AppendedAt.UnixNano()
	}
	b = binary.AppendVarint(b, appendedAt)
	b = binary.AppendUvarint(b, uint64(len(l.Extensions)))
	b = append(b, l.Extensions...)
	return append(b, l.Data...)
}

// decodeEntry decodes the result of encodeEntry into to, which then shares memory with b. On an error,
// to is unchanged.
func decodeEntry(b []byte, to *raft.Log) error {
	if len(b) < 2 || b[0] != entryFormatVersion {
		return errMalformedEntry
	}
	l := raft.Log{Type: raft.LogType(b[1])}
	b = b[2:]
	var n int
	if l.Term, n = binary.Uvarint(b); n <= 0 {
		return errMalformedEntry
	}
	b = b[n:]
	appendedAt, n := binary.Varint(b)
	if n <= 0 {
		return errMalformedEntry
	}
	b = b[n:]
	extensionBytes, n := binary.Uvarint(b)
	if n <= 0 || extensionBytes > uint64(len(b)-n) {
		return errMalformedEntry
	}
	b = b[n:]
	if appendedAt != 0 {
		l.AppendedAt = time.Unix(0, appendedAt)
	}
	if extensionBytes > 0 {
		l.Extensions = b[:extensionBytes:extensionBytes]
	}
	if len(b) > int(extensionBytes) {
		l.Data = b[extensionBytes:]
	}
	*to = l
	return nil
}
