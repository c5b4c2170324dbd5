// Package ajp speaks AJP13: a front for web servers that call, and a runner for
// upstream servers that do the work.
package ajp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
)

// Packet codes, and the first bytes of each direction.
const (
	codeForward   = 2
	codeBodyChunk = 3
	codeHeaders   = 4
	codeEnd       = 5
	codeGetBody   = 6
	codeShutdown  = 7
	codePing      = 8
	codeCPong     = 9
	codeCPing     = 10

	toServer    = 0x1234
	toWeb       = 0x4142
	packetMost  = 8192
	chunkMost   = packetMost - 6
	headerCoded = 0xA000
	nullString  = 0xFFFF

	attrRequest   = 0x0A
	attrKeySize   = 0x0B
	attrSecret    = 0x0C
	attrMethod    = 0x0D
	attrsDone     = 0xFF
	methodStored  = 0xFF
	headersMost   = 100
	methodPostNum = 4
)

var (
	requestHeaders = []string{"", "accept", "accept-charset", "accept-encoding", "accept-language", "authorization",
		"connection", "content-type", "content-length", "cookie", "cookie2", "host", "pragma", "referer", "user-agent"}
	methods = []string{"", "OPTIONS", "GET", "HEAD", "POST", "PUT", "DELETE", "TRACE"}

	errMagic = errors.New("not AJP13")
	errShort = errors.New("packet ends early")
)

// parser cuts a stream into packets, which may come in pieces or several at once.
type parser struct {
	magic uint16
	buf   []byte
}

// feed calls out with the content of each packet that b completes, until one
// fails. The content is valid during the call.
func (p *parser) feed(b []byte, out func([]byte) error) error {
	p.buf = append(p.buf, b...)
	rest := p.buf
	defer func() { p.buf = append(p.buf[:0], rest...) }()
	for len(rest) >= 4 {
		if m := binary.BigEndian.Uint16(rest); m != p.magic {
			return fmt.Errorf("%w: starts with %#04x", errMagic, m)
		}
		n := int(binary.BigEndian.Uint16(rest[2:]))
		if n > packetMost-4 {
			return fmt.Errorf("packet of %d bytes, %d at most", n, packetMost-4)
		}
		if len(rest) < 4+n {
			return nil
		}
		content := rest[4 : 4+n]
		rest = rest[4+n:]
		if err := out(content); err != nil {
			return err
		}
	}
	return nil
}

// packet frames content.
func packet(magic uint16, content []byte) []byte {
	b := binary.BigEndian.AppendUint16(nil, magic)
	b = binary.BigEndian.AppendUint16(b, uint16(len(content)))
	return append(b, content...)
}

// reader takes a packet's values; the first error sticks.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n > len(r.b) {
		r.err = errShort
		return make([]byte, min(n, 2))
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) byte() byte   { return r.take(1)[0] }
func (r *reader) uint() uint16 { return binary.BigEndian.Uint16(r.take(2)) }

func (r *reader) string() string { return r.sized(r.uint()) }

func (r *reader) sized(n uint16) string {
	if n == nullString || r.err != nil {
		return ""
	}
	s := string(r.take(int(n)))
	r.take(1) // NUL
	return s
}

// headers reads names and values; coded names are looked up.
func (r *reader) headers(coded []string) map[string]string {
	n := int(r.uint())
	if n > headersMost {
		r.err = fmt.Errorf("%d headers, %d at most", n, headersMost)
	}
	h := map[string]string{}
	for ; n > 0 && r.err == nil; n-- {
		code := r.uint()
		name := ""
		if code&0xFF00 == headerCoded {
			if i := int(code & 0xFF); i > 0 && i < len(coded) {
				name = coded[i]
			} else {
				r.err = fmt.Errorf("header code %#04x", code)
			}
		} else {
			name = strings.ToLower(r.sized(code))
		}
		value := r.string()
		if old, twice := h[name]; twice {
			value = old + ", " + value // as HTTP has it: no single value any more
		}
		h[name] = value
	}
	return h
}

func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	return append(append(b, s...), 0)
}

func appendHeaders(b []byte, headers [][2]string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(headers)))
	for _, h := range headers {
		b = appendString(appendString(b, h[0]), h[1])
	}
	return b
}

// forward is what FORWARD_REQUEST holds that matters here.
type forward struct {
	method  string
	path    string
	headers map[string]string
	secret  string
}

// readForward reads a FORWARD_REQUEST behind its code.
func readForward(content []byte) (forward, error) {
	r := reader{b: content}
	var f forward
	method := r.byte()
	if int(method) > 0 && int(method) < len(methods) {
		f.method = methods[method]
	}
	r.string() // protocol
	f.path = r.string()
	for range 3 { // remote address, remote host, server name
		r.string()
	}
	r.uint() // port
	r.byte() // TLS
	f.headers = r.headers(requestHeaders)
	for r.err == nil {
		switch code := r.byte(); {
		case r.err != nil:
		case code == attrsDone:
			if f.method == "" && method != methodStored {
				return f, fmt.Errorf("method code %d", method)
			}
			return f, nil
		case code == attrRequest:
			r.string()
			r.string()
		case code == attrKeySize:
			r.uint()
		case code == attrSecret:
			f.secret = r.string()
		case code == attrMethod:
			f.method = r.string()
		case code >= 1 && code <= 9:
			r.string()
		default:
			r.err = fmt.Errorf("attribute code %#02x", code)
		}
	}
	return f, r.err
}

// appendForward prints a POST as a web server would.
func appendForward(path, secret string, headers [][2]string) []byte {
	b := []byte{codeForward, methodPostNum}
	for _, s := range []string{"HTTP/1.1", path, "127.0.0.1", "localhost", "localhost"} {
		b = appendString(b, s)
	}
	b = append(binary.BigEndian.AppendUint16(b, 80), 0)
	b = appendHeaders(b, headers)
	if secret != "" {
		b = appendString(append(b, attrSecret), secret)
	}
	return packet(toServer, append(b, attrsDone))
}

// chunk prints a piece of a request's body; an empty one ends it.
func chunk(b []byte) []byte {
	if len(b) == 0 {
		return packet(toServer, nil)
	}
	return packet(toServer, append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...))
}

// appendResponse prints a whole response.
func appendResponse(b []byte, status int, headers [][2]string, body []byte, reuse bool) []byte {
	h := binary.BigEndian.AppendUint16([]byte{codeHeaders}, uint16(status))
	h = appendString(h, map[int]string{200: "OK"}[status])
	b = append(b, packet(toWeb, appendHeaders(h, headers))...)
	for len(body) > 0 {
		n := min(len(body), chunkMost-4)
		c := binary.BigEndian.AppendUint16([]byte{codeBodyChunk}, uint16(n))
		b = append(b, packet(toWeb, append(append(c, body[:n]...), 0))...)
		body = body[n:]
	}
	end := []byte{codeEnd, 0}
	if reuse {
		end[1] = 1
	}
	return append(b, packet(toWeb, end)...)
}
