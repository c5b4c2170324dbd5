package ajp

import (
	"encoding/binary"
	"fmt"
	"net/http"

	"oxbowbridge/internal/transport/frontend"
)

// forwardRequest is what matters here of a FORWARD_REQUEST message.
type forwardRequest struct {
	method  string
	path    string
	headers map[string]string // by name in lower case
	secret  string
}

// readForwardRequest reads a FORWARD_REQUEST behind its code.
func readForwardRequest(content []byte) (forwardRequest, error) {
	r := reader{rest: content}
	var f forwardRequest
	method := r.uint8()
	if int(method) > 0 && int(method) < len(methodNames) {
		f.method = methodNames[method]
	}
	r.string() // protocol
	f.path = r.string()
	r.string() // remote address
	r.string() // remote host
	r.string() // server name
	r.uint16() // server port
	r.uint8()  // whether it came by TLS
	f.headers = r.headers()
	if err := r.attributes(&f); err != nil {
		return f, err
	}
	if f.method == "" && method != methodInAttribute {
		return f, fmt.Errorf("method code %d", method)
	}
	return f, nil
}

// attributes takes the attributes that end a FORWARD_REQUEST.
func (r *reader) attributes(f *forwardRequest) error {
	for r.err == nil {
		switch code := r.uint8(); {
		case r.err != nil:
		case code == attributesEnd:
			return nil
		case code == attributeRequest:
			r.string()
			r.string()
		case code == attributeKeySize:
			r.uint16()
		case code == attributeSecret:
			f.secret = r.string()
		case code == attributeMethod:
			f.method = r.string()
		case code >= firstTextAttribute && code <= lastTextAttribute:
			r.string()
		default:
			r.err = fmt.Errorf("attribute code %#02x", code)
		}
	}
	return r.err
}

// forwardPacket returns the FORWARD_REQUEST packet of a POST, as a web server would send it.
func forwardPacket(path, secret string, headers []frontend.Header) []byte {
	const (
		serverPort = 80
		withoutTLS = 0
	)
	b := []byte{codeForwardRequest, methodPost}
	b = appendString(b, "HTTP/1.1")
	b = appendString(b, path)
	b = appendString(b, "127.0.0.1") // remote address
	b = appendString(b, "localhost") // remote host
	b = appendString(b, "localhost") // server name
	b = binary.BigEndian.AppendUint16(b, serverPort)
	b = append(b, withoutTLS)
	b = appendHeaders(b, headers)
	if secret != "" {
		b = appendString(append(b, attributeSecret), secret)
	}
	return packet(magicToServer, append(b, attributesEnd))
}

// requestChunkPacket returns the packet of a piece of a request's body; an empty one ends it.
func requestChunkPacket(piece []byte) []byte {
	if len(piece) == 0 {
		return packet(magicToServer, nil)
	}
	content := binary.BigEndian.AppendUint16(nil, uint16(len(piece)))
	return packet(magicToServer, append(content, piece...))
}

// getBodyChunkPacket returns the packet that asks a web server for the next piece of a body.
func getBodyChunkPacket() []byte {
	return packet(magicToWebServer, binary.BigEndian.AppendUint16([]byte{codeGetBodyChunk}, maxChunkBytes))
}

// responsePackets returns the packets of a complete response. With reuse the connection goes on.
func responsePackets(status int, headers []frontend.Header, body []byte, reuse bool) []byte {
	reason := ""
	if status == http.StatusOK {
		reason = "OK"
	}
	content := binary.BigEndian.AppendUint16([]byte{codeSendHeaders}, uint16(status))
	content = appendString(content, reason)
	packets := packet(magicToWebServer, appendHeaders(content, headers))
	for len(body) > 0 {
		n := min(len(body), maxResponseChunkBytes)
		content = binary.BigEndian.AppendUint16([]byte{codeSendBodyChunk}, uint16(n))
		content = append(content, body[:n]...)
		packets = append(packets, packet(magicToWebServer, append(content, 0))...)
		body = body[n:]
	}
	end := []byte{codeEndResponse, 0}
	if reuse {
		end[1] = 1
	}
	return append(packets, packet(magicToWebServer, end)...)
}
