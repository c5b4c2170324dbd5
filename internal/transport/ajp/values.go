package ajp

import (
	"encoding/binary"
	"fmt"
	"strings"

	"oxbowbridge/internal/transport/frontend"
)

const (
	nullStringLength = 0xFFFF // the length that encodes an absent string
	maxHeaders       = 100    // per message
)

// reader decodes the values of a packet one after another. After the first error it returns only zero values.
type reader struct {
	rest []byte
	err  error
}

// bytes reads n bytes. After an error it returns zero bytes, enough to decode an 8-bit or 16-bit number.
func (r *reader) bytes(n int) []byte {
	if r.err != nil || n > len(r.rest) {
		r.err = errTruncated
		return make([]byte, min(n, 2))
	}
	v := r.rest[:n]
	r.rest = r.rest[n:]
	return v
}

func (r *reader) uint8() byte { return r.bytes(1)[0] }

func (r *reader) uint16() uint16 { return binary.BigEndian.Uint16(r.bytes(2)) }

func (r *reader) string() string { return r.stringOfLength(r.uint16()) }

// stringOfLength reads a string whose length has already been read.
func (r *reader) stringOfLength(length uint16) string {
	if length == nullStringLength || r.err != nil {
		return ""
	}
	s := string(r.bytes(int(length)))
	r.bytes(1) // NUL
	return s
}

// headers reads the headers of a request, by name in lower case. The values of a repeated header are joined
// with a comma, as in HTTP, so that no single valid value remains.
func (r *reader) headers() map[string]string {
	n := int(r.uint16())
	if n > maxHeaders {
		r.err = fmt.Errorf("%d headers exceed the limit of %d", n, maxHeaders)
	}
	headers := map[string]string{}
	for ; n > 0 && r.err == nil; n-- {
		name := r.headerName()
		value := r.string()
		if earlier, duplicate := headers[name]; duplicate {
			value = earlier + ", " + value
		}
		headers[name] = value
	}
	return headers
}

// headerName reads the name of a header, which is either a number or a string.
func (r *reader) headerName() string {
	code := r.uint16()
	if code&0xFF00 != codedHeaderFlag {
		return strings.ToLower(r.stringOfLength(code))
	}
	i := int(code & 0xFF)
	if i <= 0 || i >= len(codedHeaders) {
		r.err = fmt.Errorf("unknown header code %#04x", code)
		return ""
	}
	return codedHeaders[i]
}

func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	b = append(b, s...)
	return append(b, 0)
}

func appendHeaders(b []byte, headers []frontend.Header) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(headers)))
	for _, h := range headers {
		b = appendString(b, h.Name)
		b = appendString(b, h.Value)
	}
	return b
}
