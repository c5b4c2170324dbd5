package ajp

import (
	"encoding/binary"
	"fmt"
	"strings"

	"oxbowbridge/internal/transport/frontend"
)

const (
	nullStringLength = 0xFFFF // stands for a string that is absent
	maxHeaders       = 100    // of one message
)

// reader takes the values of a packet one after the other; the first error sticks.
type reader struct {
	rest []byte
	err  error
}

// bytes takes n bytes. After an error it returns zeros, enough for any number.
func (r *reader) bytes(n int) []byte {
	if r.err != nil || n > len(r.rest) {
		r.err = errShort
		return make([]byte, min(n, 2))
	}
	v := r.rest[:n]
	r.rest = r.rest[n:]
	return v
}

func (r *reader) uint8() byte { return r.bytes(1)[0] }

func (r *reader) uint16() uint16 { return binary.BigEndian.Uint16(r.bytes(2)) }

func (r *reader) string() string { return r.stringOf(r.uint16()) }

// stringOf takes a string whose length has been taken.
func (r *reader) stringOf(length uint16) string {
	if length == nullStringLength || r.err != nil {
		return ""
	}
	s := string(r.bytes(int(length)))
	r.bytes(1) // NUL
	return s
}

// headers takes the headers of a request, by their names in lower case. A header that stands
// twice has both values, joined as HTTP joins them, and so no single valid one.
func (r *reader) headers() map[string]string {
	n := int(r.uint16())
	if n > maxHeaders {
		r.err = fmt.Errorf("%d headers, %d at most", n, maxHeaders)
	}
	headers := map[string]string{}
	for ; n > 0 && r.err == nil; n-- {
		name := r.headerName()
		value := r.string()
		if earlier, twice := headers[name]; twice {
			value = earlier + ", " + value
		}
		headers[name] = value
	}
	return headers
}

// headerName takes the name of a header, coded or in full.
func (r *reader) headerName() string {
	code := r.uint16()
	if code&0xFF00 != codedHeaderFlag {
		return strings.ToLower(r.stringOf(code))
	}
	i := int(code & 0xFF)
	if i <= 0 || i >= len(codedHeaders) {
		r.err = fmt.Errorf("header code %#04x", code)
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
