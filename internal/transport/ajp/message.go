package ajp

import (
	"encoding/binary"
	"fmt"
	"net/http"

	"oxbowbridge/internal/transport/frontend"
)

// forwardRequest holds the fields of a FORWARD_REQUEST message that the service uses.
type forwardRequest struct {
	method  string
	path    string
	headers map[string]string // by name in lower case
	secret  string
}

// headerOverheadBytes is the memory of a header in addition to its name and value.
const headerOverheadBytes = 64

// heldBytes returns the memory of the fields in bytes.
func (f *forwardRequest) heldBytes() int {
	held := len(f.path) + len(f.secret)
	for name, value := range f.headers {
		held += headerOverheadBytes + len(name) + len(value)
	}
	return held
}

// parseForwardRequest parses a FORWARD_REQUEST message. The content starts after the message code.
func parseForwardRequest(content []byte) (forwardRequest, error) {
	r := reader{rest: content}
	var fwd forwardRequest
	method := r.uint8()
	if int(method) > 0 && int(method) < len(methodNames) {
		fwd.method = methodNames[method]
	}
	r.string() // protocol
	fwd.path = r.string()
	r.string() // remote address
	r.string() // remote host
	r.string() // server name
	r.uint16() // server port
	r.uint8()  // whether the client uses TLS
	fwd.headers = r.headers()
	if err := r.attributes(&fwd); err != nil {
		return fwd, err
	}
	if fwd.method == "" && method != methodInAttribute {
		return fwd, fmt.Errorf("unknown method code %d", method)
	}
	return fwd, nil
}

// attributes reads the attributes at the end of a FORWARD_REQUEST.
func (r *reader) attributes(fwd *forwardRequest) error {
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
			fwd.secret = r.string()
		case code == attributeMethod:
			fwd.method = r.string()
		case code >= firstStringAttribute && code <= lastStringAttribute:
			r.string()
		default:
			r.err = fmt.Errorf("unknown attribute code %#02x", code)
		}
	}
	return r.err
}

// encodeForwardRequest returns the FORWARD_REQUEST packet of a POST request, in the form that web servers send.
func encodeForwardRequest(path, secret string, headers []frontend.Header) []byte {
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
	return encodePacket(magicToServer, append(b, attributesEnd))
}

// encodeRequestBodyChunk returns the packet for a chunk of a request's body. An empty chunk ends the body.
func encodeRequestBodyChunk(chunk []byte) []byte {
	if len(chunk) == 0 {
		return encodePacket(magicToServer, nil)
	}
	content := binary.BigEndian.AppendUint16(nil, uint16(len(chunk)))
	return encodePacket(magicToServer, append(content, chunk...))
}

// encodeGetBodyChunk returns the packet that requests the next chunk of a body from a web server.
func encodeGetBodyChunk() []byte {
	return encodePacket(magicToWebServer, binary.BigEndian.AppendUint16([]byte{codeGetBodyChunk}, maxChunkBytes))
}

// encodeResponse returns the packets of a complete response. With reuse, the web server may send another
// request on the connection.
func encodeResponse(status int, headers []frontend.Header, body []byte, reuse bool) []byte {
	reason := ""
	if status == http.StatusOK {
		reason = "OK"
	}
	content := binary.BigEndian.AppendUint16([]byte{codeSendHeaders}, uint16(status))
	content = appendString(content, reason)
	packets := encodePacket(magicToWebServer, appendHeaders(content, headers))
	for len(body) > 0 {
		n := min(len(body), maxResponseChunkBytes)
		content = binary.BigEndian.AppendUint16([]byte{codeSendBodyChunk}, uint16(n))
		content = append(content, body[:n]...)
		packets = append(packets, encodePacket(magicToWebServer, append(content, 0))...)
		body = body[n:]
	}
	end := []byte{codeEndResponse, 0}
	if reuse {
		end[1] = 1
	}
	return append(packets, encodePacket(magicToWebServer, end)...)
}
