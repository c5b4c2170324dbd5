package ajp

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Message codes. The code is the first byte of a packet's content.
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

// The first two bytes of a packet, by direction.
const (
	magicToServer    = 0x1234
	magicToWebServer = 0x4142
)

// Sizes of packets in bytes.
const (
	packetHeaderBytes = 4    // magic number and content length
	maxPacketBytes    = 8192 // including the header
	maxChunkBytes     = maxPacketBytes - 6
	// maxResponseChunkBytes leaves space for the code and the final NUL of SEND_BODY_CHUNK.
	maxResponseChunkBytes = maxChunkBytes - 4
)

var (
	errWrongMagic = errors.New("not an AJP13 packet")
	errTruncated  = errors.New("packet is truncated")
)

// parser splits a byte stream into packets. A packet may arrive in several reads, and one read may contain
// several packets.
type parser struct {
	magic uint16 // expected at the start of each packet
	buf   []byte
}

// feed appends b to the stream and calls handle with the content of each complete packet until a call fails.
// The content is valid only during the call.
func (p *parser) feed(b []byte, handle func(content []byte) error) error {
	p.buf = append(p.buf, b...)
	rest := p.buf
	defer func() { p.buf = append(p.buf[:0], rest...) }()
	for len(rest) >= packetHeaderBytes {
		if magic := binary.BigEndian.Uint16(rest); magic != p.magic {
			return fmt.Errorf("%w: starts with %#04x", errWrongMagic, magic)
		}
		contentBytes := int(binary.BigEndian.Uint16(rest[2:]))
		if contentBytes > maxPacketBytes-packetHeaderBytes {
			return fmt.Errorf("packet content of %d bytes exceeds the limit of %d", contentBytes, maxPacketBytes-packetHeaderBytes)
		}
		packetBytes := packetHeaderBytes + contentBytes
		if len(rest) < packetBytes {
			return nil
		}
		content := rest[packetHeaderBytes:packetBytes]
		rest = rest[packetBytes:]
		if err := handle(content); err != nil {
			return err
		}
	}
	return nil
}

// encodePacket returns a packet with the given content.
func encodePacket(magic uint16, content []byte) []byte {
	b := binary.BigEndian.AppendUint16(nil, magic)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	return append(b, content...)
}
