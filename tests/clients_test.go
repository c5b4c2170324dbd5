package tests

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// response is a caller's response in either protocol.
type response struct {
	status  int
	headers map[string]string
	body    string
}

// protocolClient is a caller's connection in either protocol, with one request at a time.
type protocolClient interface {
	do(path string, fields map[string]string, body []byte) (response, error)
	Close() error
}

var traces atomic.Uint64

// newTraceID returns the trace id of a new attempt.
func newTraceID() string { return fmt.Sprintf("%016x", traces.Add(1)) }

// requestHeaders returns the headers of a new request.
func requestHeaders(trace string) map[string]string {
	return map[string]string{"Trace-Id": trace, "Accepted-At-Ms": strconv.FormatInt(time.Now().UnixMilli(), 10),
		"Client-No": "4", "Expected-Ms": "12.50", "Reserve-Kb": "46", "Standing": "0.6250"}
}

func parseCGIResponse(text string) response {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	a := response{headers: map[string]string{}, body: body}
	for _, l := range strings.Split(head, "\r\n") {
		name, value, _ := strings.Cut(l, ": ")
		a.headers[name] = value
	}
	a.status, _ = strconv.Atoi(a.headers["Status"])
	return a
}

// fcgiConn is a FastCGI connection, as from a balancer.
type fcgiConn struct {
	net.Conn
	r *bufio.Reader
}

func dialFCGI(addr string) (*fcgiConn, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(awaitTimeout))
	return &fcgiConn{c, bufio.NewReader(c)}, nil
}

func fcgiRecord(kind byte, id uint16, content []byte) []byte {
	b := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), 3, 0}
	return append(append(b, content...), 0, 0, 0) // with three bytes of padding
}

// fcgiRequest encodes a complete request.
func fcgiRequest(id uint16, path string, fields map[string]string, body []byte) []byte {
	var params []byte
	add := func(name, value string) {
		params = append(params, byte(len(name)))
		params = binary.BigEndian.AppendUint32(params, uint32(len(value))|1<<31) // the four-byte length
		params = append(append(params, name...), value...)
	}
	add("SCRIPT_NAME", path)
	add("REQUEST_METHOD", "POST")
	for name, value := range fields {
		if plain, ok := strings.CutPrefix(name, "\x00"); ok { // a parameter that is not a header
			add(plain, value)
			continue
		}
		add("HTTP_"+strings.ToUpper(strings.ReplaceAll(name, "-", "_")), value)
	}
	return fcgiRequestWithHead(id, params, body)
}

// fcgiBeginRequest encodes the record that begins a request on a connection that stays open.
func fcgiBeginRequest(id uint16) []byte { return fcgiRecord(1, id, []byte{0, 1, 1, 0, 0, 0, 0, 0}) }

// fcgiRequestWithHead encodes a complete request from its encoded parameters.
func fcgiRequestWithHead(id uint16, params, body []byte) []byte {
	b := fcgiBeginRequest(id)
	b = append(b, fcgiRecord(4, id, params)...)
	b = append(b, fcgiRecord(4, id, nil)...)
	for ; len(body) > 0; body = body[min(len(body), 700):] {
		b = append(b, fcgiRecord(5, id, body[:min(len(body), 700)])...)
	}
	return append(b, fcgiRecord(5, id, nil)...)
}

// readResponse reads the next response, whatever its request id; proto is its protocol status.
func (c *fcgiConn) readResponse() (id uint16, a response, proto byte, err error) {
	var out []byte
	for {
		h := make([]byte, 8)
		if _, err = io.ReadFull(c.r, h); err != nil {
			return 0, a, 0, err
		}
		content := make([]byte, int(binary.BigEndian.Uint16(h[4:]))+int(h[6]))
		if _, err = io.ReadFull(c.r, content); err != nil {
			return 0, a, 0, err
		}
		switch h[1] {
		case 6:
			out = append(out, content...)
		case 3:
			return binary.BigEndian.Uint16(h[2:]), parseCGIResponse(string(out)), content[4], nil
		default:
			return 0, response{body: string(content)}, h[1], nil
		}
	}
}

func (c *fcgiConn) do(path string, fields map[string]string, body []byte) (response, error) {
	if _, err := c.Write(fcgiRequest(1, path, fields, body)); err != nil {
		return response{}, err
	}
	_, a, _, err := c.readResponse()
	return a, err
}

// ajpConn is an AJP connection, as from a web server.
type ajpConn struct {
	net.Conn
	r      *bufio.Reader
	secret string
}

func dialAJP(addr string) (*ajpConn, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(awaitTimeout))
	return &ajpConn{c, bufio.NewReader(c), "s3"}, nil
}

func appendAJPString(b []byte, s string) []byte {
	return append(append(binary.BigEndian.AppendUint16(b, uint16(len(s))), s...), 0)
}

func ajpPacket(magic string, content []byte) []byte {
	return append(binary.BigEndian.AppendUint16([]byte(magic), uint16(len(content))), content...)
}

func ajpBodyChunk(b []byte) []byte {
	if len(b) == 0 {
		return ajpPacket("\x12\x34", nil)
	}
	return ajpPacket("\x12\x34", append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...))
}

// ajpForwardRequest encodes a FORWARD_REQUEST; with a negative length it has no Content-Length.
func ajpForwardRequest(path, secret string, fields map[string]string, length int) []byte {
	b := []byte{2, 4}
	for _, s := range []string{"HTTP/1.1", path, "127.0.0.1", "desk", "head-office"} {
		b = appendAJPString(b, s)
	}
	b = append(b, 0, 80, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)+2))
	b = appendAJPString(append(b, 0xA0, 0x0B), "head-office") // a coded header name
	if length >= 0 {
		b = appendAJPString(append(b, 0xA0, 0x08), strconv.Itoa(length))
	} else {
		b = appendAJPString(appendAJPString(b, "Transfer-Encoding"), "chunked")
	}
	for name, value := range fields {
		b = appendAJPString(appendAJPString(b, name), value)
	}
	b = appendAJPString(append(b, 0x05), "query=1")
	b = appendAJPString(appendAJPString(append(b, 0x0A), "AJP_REMOTE_PORT"), "1")
	b = appendAJPString(append(b, 0x0C), secret)
	return ajpPacket("\x12\x34", append(b, 0xFF))
}

// readPacket reads one packet in either direction.
func (c *ajpConn) readPacket() ([]byte, error) {
	h := make([]byte, 4)
	if _, err := io.ReadFull(c.r, h); err != nil {
		return nil, err
	}
	content := make([]byte, binary.BigEndian.Uint16(h[2:]))
	_, err := io.ReadFull(c.r, content)
	return content, err
}

// readResponse reads the response, and sends rest in chunks when the service asks for it.
func (c *ajpConn) readResponse(rest []byte) (response, error) {
	a := response{headers: map[string]string{}}
	for {
		p, err := c.readPacket()
		if err != nil {
			return a, err
		}
		switch p[0] {
		case 3:
			a.body += string(p[3 : 3+int(p[1])<<8+int(p[2])])
		case 4:
			a.status = int(p[1])<<8 + int(p[2])
			a.headers = ajpHeaders(p[3:])
		case 5:
			return a, nil
		case 6:
			n := min(len(rest), 700)
			c.Write(ajpBodyChunk(rest[:n]))
			rest = rest[n:]
		}
	}
}

// ajpHeaders decodes the message and the headers of SEND_HEADERS.
func ajpHeaders(p []byte) map[string]string {
	next := func() string {
		n := int(p[0])<<8 + int(p[1])
		s := string(p[2 : 2+n])
		p = p[3+n:]
		return s
	}
	next()
	h := map[string]string{}
	n := int(p[0])<<8 + int(p[1])
	for p = p[2:]; n > 0; n-- {
		name := next()
		h[name] = next()
	}
	return h
}

func (c *ajpConn) do(path string, fields map[string]string, body []byte) (response, error) {
	n := min(len(body), 700)
	b := ajpForwardRequest(path, c.secret, fields, len(body))
	if n > 0 {
		b = append(b, ajpBodyChunk(body[:n])...)
	}
	if _, err := c.Write(b); err != nil {
		return response{}, err
	}
	return c.readResponse(body[n:])
}

// messageConn is a caller's connection in either protocol, on which a test sends and receives messages apart.
type messageConn interface {
	Write([]byte) (int, error)
	Close() error
	encode(class string, fields map[string]string, body string) []byte
	receive() (response, error)
}

func (c *fcgiConn) encode(class string, fields map[string]string, body string) []byte {
	return fcgiRequest(1, "/call/"+class, fields, []byte(body))
}

func (c *fcgiConn) receive() (response, error) {
	_, a, _, err := c.readResponse()
	return a, err
}

func (c *ajpConn) encode(class string, fields map[string]string, body string) []byte {
	return append(ajpForwardRequest("/call/"+class, c.secret, fields, len(body)), ajpBodyChunk([]byte(body))...)
}

func (c *ajpConn) receive() (response, error) { return c.readResponse(nil) }
