package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"

	"oxbowbridge/internal/transport/framing"
)

// Record types of the FastCGI specification.
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

// Sizes and values of record fields.
const (
	version               = 1
	headerBytes           = 8
	beginRequestBytes     = 8 // content length of a BEGIN_REQUEST record
	managementID          = 0 // request id of records that do not belong to a request
	roleResponder         = 1
	flagKeepConnection    = 1
	statusRequestComplete = 0
	statusOverloaded      = 2
	statusUnknownRole     = 3
)

const (
	maxContentBytes       = 65535    // for records that are written; the length field has 16 bits
	maxParsedContentBytes = 16 << 10 // for records that are read; more than any request needs, and a limit on the memory, as each connection may buffer one
)

var (
	errWrongVersion   = errors.New("not FastCGI 1.0")
	errMalformedPairs = errors.New("malformed name-value pairs")
)

// record is one record of the stream. Its content is valid only during the call that handles it.
type record struct {
	recordType byte
	id         uint16
	content    []byte
}

// recordFormat describes records to the parser.
var recordFormat = framing.Format{HeaderBytes: headerBytes, FrameBytes: recordBytes}

// recordBytes returns the length of a record from its header.
func recordBytes(header []byte) (int, error) {
	if header[0] != version {
		return 0, fmt.Errorf("%w: record has version %d", errWrongVersion, header[0])
	}
	contentBytes := contentLength(header)
	paddingBytes := int(header[6])
	if contentBytes > maxParsedContentBytes {
		return 0, fmt.Errorf("record content of %d bytes exceeds the limit of %d", contentBytes, maxParsedContentBytes)
	}
	return headerBytes + contentBytes + paddingBytes, nil
}

// contentLength returns the length of a record's content from its header.
func contentLength(header []byte) int { return int(binary.BigEndian.Uint16(header[4:])) }

// parser splits a byte stream into records.
type parser struct{ framing.Splitter }

func newParser() parser { return parser{framing.NewSplitter(recordFormat)} }

// feed appends b to the stream and calls handle for each complete record until a call fails.
func (p *parser) feed(b []byte, handle func(record) error) error {
	return p.Feed(b, func(frame []byte) error {
		content := frame[headerBytes : headerBytes+contentLength(frame)]
		return handle(record{recordType: frame[1], id: binary.BigEndian.Uint16(frame[2:]), content: content})
	})
}

// appendHeader appends the header of a record without padding.
func appendHeader(b []byte, kind byte, id uint16, contentBytes int) []byte {
	b = append(b, version, kind)
	b = binary.BigEndian.AppendUint16(b, id)
	b = binary.BigEndian.AppendUint16(b, uint16(contentBytes))
	return append(b, 0, 0)
}

// appendStream appends a complete stream: the records with its content and the empty record that ends it.
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

// appendUnknownType appends the UNKNOWN_TYPE record that answers a management record of an unknown type.
func appendUnknownType(b []byte, kind byte) []byte {
	b = appendHeader(b, typeUnknownType, managementID, 8)
	return append(b, kind, 0, 0, 0, 0, 0, 0, 0)
}
