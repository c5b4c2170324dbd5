package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The types of a record, as the specification numbers them.
const (
	typeBeginRequest    = 1
	typeAbortRequest    = 2
	typeEndRequest      = 3
	typeParams          = 4
	typeStdin           = 5
	typeStdout          = 6
	typeData            = 8
	typeGetValues       = 9
	typeGetValuesResult = 10
	typeUnknownType     = 11
)

// The values in records.
const (
	version               = 1
	headerBytes           = 8
	beginRequestBytes     = 8 // content of a BEGIN_REQUEST record
	managementID          = 0 // request id of records that belong to no request
	roleResponder         = 1
	flagKeepConnection    = 1
	statusRequestComplete = 0
	statusOverloaded      = 2
	statusUnknownRole     = 3
)

const (
	maxContentBytes       = 65535    // of a record that is written, by its 16-bit length
	maxParsedContentBytes = 16 << 10 // of a record that is read: more than any request needs, as each connection may hold one
)

var (
	errVersion = errors.New("not FastCGI 1.0")
	errPairs   = errors.New("malformed name-value pairs")
)

// record is one record of the stream. Its content is valid until the parser is fed again.
type record struct {
	kind    byte
	id      uint16
	content []byte
}

// parser cuts a stream into records, which may arrive in pieces or several at once.
type parser struct{ buf []byte }

// feed calls handle for each record that b completes, until one fails.
func (p *parser) feed(b []byte, handle func(record) error) error {
	p.buf = append(p.buf, b...)
	rest := p.buf
	defer func() { p.buf = append(p.buf[:0], rest...) }()
	for len(rest) >= headerBytes {
		if rest[0] != version {
			return fmt.Errorf("%w: version %d", errVersion, rest[0])
		}
		contentBytes := int(binary.BigEndian.Uint16(rest[4:]))
		paddingBytes := int(rest[6])
		if contentBytes > maxParsedContentBytes {
			return fmt.Errorf("record of %d bytes, %d at most", contentBytes, maxParsedContentBytes)
		}
		recordBytes := headerBytes + contentBytes + paddingBytes
		if len(rest) < recordBytes {
			return nil
		}
		r := record{kind: rest[1], id: binary.BigEndian.Uint16(rest[2:]), content: rest[headerBytes : headerBytes+contentBytes]}
		rest = rest[recordBytes:]
		if err := handle(r); err != nil {
			return err
		}
	}
	return nil
}

// appendHeader appends the header of a record without padding.
func appendHeader(b []byte, kind byte, id uint16, contentBytes int) []byte {
	b = append(b, version, kind)
	b = binary.BigEndian.AppendUint16(b, id)
	b = binary.BigEndian.AppendUint16(b, uint16(contentBytes))
	return append(b, 0, 0)
}

// appendStream appends a complete stream: its records and the empty one that ends it.
func appendStream(b []byte, kind byte, id uint16, content []byte) []byte {
	for len(content) > 0 {
		n := min(len(content), maxContentBytes)
		b = appendHeader(b, kind, id, n)
		b = append(b, content[:n]...)
		content = content[n:]
	}
	return appendHeader(b, kind, id, 0)
}

// appendEndRequest appends the record that ends a request with a protocol status.
func appendEndRequest(b []byte, id uint16, status byte) []byte {
	const appStatus = 0
	b = appendHeader(b, typeEndRequest, id, 8)
	return append(b, 0, 0, 0, appStatus, status, 0, 0, 0)
}

// appendUnknownType appends the answer to a management record of an unknown type.
func appendUnknownType(b []byte, kind byte) []byte {
	b = appendHeader(b, typeUnknownType, managementID, 8)
	return append(b, kind, 0, 0, 0, 0, 0, 0, 0)
}
