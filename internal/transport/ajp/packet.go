package ajp

import (
	"encoding/binary"
	"errors"
	"fmt"

	"oxbowbridge/internal/transport/framing"
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

// packetFormat describes packets that start with the given magic number to the parser.
func packetFormat(magic uint16) framing.Format {
	return framing.Format{HeaderBytes: packetHeaderBytes, FrameBytes: func(header []byte) (int, error) {
		if got := binary.BigEndian.Uint16(header); got != magic {
			return 0, fmt.Errorf("%w: starts with %#04x", errWrongMagic, got)
		}
		contentBytes := int(binary.BigEndian.Uint16(header[2:]))
		if contentBytes > maxPacketBytes-packetHeaderBytes {
			return 0, fmt.Errorf("packet content of %d bytes exceeds the limit of %d", contentBytes, maxPacketBytes-packetHeaderBytes)
		}
		return packetHeaderBytes + contentBytes, nil
	}}
}

// parser splits a byte stream into packets.
type parser struct{ framing.Splitter }

// newParser returns a parser of packets that start with the given magic number.
func newParser(magic uint16) parser { return parser{framing.NewSplitter(packetFormat(magic))} }

// feed appends b to the stream and calls handle with the content of each complete packet until a call fails.
// The content is valid only during the call.
func (p *parser) feed(b []byte, handle func(content []byte) error) error {
	return p.Feed(b, func(frame []byte) error { return handle(frame[packetHeaderBytes:]) })
}

// encodePacket returns a packet with the given content.
func encodePacket(magic uint16, content []byte) []byte {
	b := binary.BigEndian.AppendUint16(nil, magic)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	return append(b, content...)
}
