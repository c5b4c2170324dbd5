package ajp

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The codes of messages, the first byte of a packet's content.
const (
	codeForwardRequest = 2
	codeSendBodyChunk  = 3
	codeSendHeaders    = 4
	codeEndResponse    = 5
	codeGetBodyChunk   = 6
	codeShutdown       = 7
	codePing           = 8
	codeCPong          = 9
	codeCPing          = 10
)

// The first two bytes of a packet, by its direction.
const (
	magicToServer    = 0x1234
	magicToWebServer = 0x4142
)

// Sizes of packets in bytes.
const (
	frameBytes     = 4    // magic and length of the content
	maxPacketBytes = 8192 // with its frame
	maxChunkBytes  = maxPacketBytes - 6
	// maxResponseChunkBytes leaves room for the code and the closing NUL of SEND_BODY_CHUNK.
	maxResponseChunkBytes = maxChunkBytes - 4
)

var (
	errMagic = errors.New("not AJP13")
	errShort = errors.New("packet ends early")
)

// parser cuts a stream into packets, which may arrive in pieces or several at once.
type parser struct {
	magic uint16 // of the direction that is read
	buf   []byte
}

// feed calls handle with the content of each packet that b completes, until one fails. The
// content is valid during the call.
func (p *parser) feed(b []byte, handle func(content []byte) error) error {
	p.buf = append(p.buf, b...)
	rest := p.buf
	defer func() { p.buf = append(p.buf[:0], rest...) }()
	for len(rest) >= frameBytes {
		if magic := binary.BigEndian.Uint16(rest); magic != p.magic {
			return fmt.Errorf("%w: starts with %#04x", errMagic, magic)
		}
		contentBytes := int(binary.BigEndian.Uint16(rest[2:]))
		if contentBytes > maxPacketBytes-frameBytes {
			return fmt.Errorf("packet of %d bytes, %d at most", contentBytes, maxPacketBytes-frameBytes)
		}
		packetBytes := frameBytes + contentBytes
		if len(rest) < packetBytes {
			return nil
		}
		content := rest[frameBytes:packetBytes]
		rest = rest[packetBytes:]
		if err := handle(content); err != nil {
			return err
		}
	}
	return nil
}

// packet returns a packet with the content.
func packet(magic uint16, content []byte) []byte {
	b := binary.BigEndian.AppendUint16(nil, magic)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	return append(b, content...)
}
