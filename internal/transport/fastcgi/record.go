// Package fastcgi is the platform's front: FastCGI 1.0 as a Responder.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The record types of the specification.
const (
	typeBegin         = 1
	typeAbort         = 2
	typeEnd           = 3
	typeParams        = 4
	typeStdin         = 5
	typeStdout        = 6
	typeData          = 8
	typeGetValues     = 9
	typeValues        = 10
	typeUnknown       = 11
	version           = 1
	headerLen         = 8
	roleResponder     = 1
	flagKeep          = 1
	statusComplete    = 0
	statusOverloaded  = 2
	statusUnknownRole = 3
	contentMost       = 65535
	recordMost        = 16 << 10 // content of a record that is read: more than any request holds
)

var (
	errVersion = errors.New("not FastCGI 1.0")
	errPairs   = errors.New("malformed name-value pairs")
)

// record is one record of the stream. Its content is valid until the next Feed.
type record struct {
	kind    byte
	id      uint16
	content []byte
}

// parser cuts a stream into records, which may come in pieces or several at once.
type parser struct{ buf []byte }

// feed calls out for each record that b completes, until one fails.
func (p *parser) feed(b []byte, out func(record) error) error {
	p.buf = append(p.buf, b...)
	rest := p.buf
	defer func() { p.buf = append(p.buf[:0], rest...) }()
	for len(rest) >= headerLen {
		if rest[0] != version {
			return fmt.Errorf("%w: version %d", errVersion, rest[0])
		}
		n := int(binary.BigEndian.Uint16(rest[4:]))
		if n > recordMost { // guards the memory: a part of a record is kept for each connection
			return fmt.Errorf("record of %d bytes, %d at most", n, recordMost)
		}
		whole := headerLen + n + int(rest[6])
		if len(rest) < whole {
			return nil
		}
		r := record{kind: rest[1], id: binary.BigEndian.Uint16(rest[2:]), content: rest[headerLen : headerLen+n]}
		rest = rest[whole:]
		if err := out(r); err != nil {
			return err
		}
	}
	return nil
}

// pairs calls out for each name-value pair of b.
func pairs(b []byte, out func(name, value string)) error {
	for len(b) > 0 {
		var n [2]int
		for i := range n {
			switch {
			case len(b) >= 1 && b[0] < 0x80:
				n[i], b = int(b[0]), b[1:]
			case len(b) >= 4:
				n[i], b = int(binary.BigEndian.Uint32(b)&0x7fffffff), b[4:]
			default:
				return errPairs
			}
		}
		if n[0] > len(b) || n[1] > len(b)-n[0] {
			return errPairs
		}
		out(string(b[:n[0]]), string(b[n[0]:n[0]+n[1]]))
		b = b[n[0]+n[1]:]
	}
	return nil
}

func appendHeader(b []byte, kind byte, id uint16, n int) []byte {
	b = append(b, version, kind)
	b = binary.BigEndian.AppendUint16(b, id)
	b = binary.BigEndian.AppendUint16(b, uint16(n))
	return append(b, 0, 0)
}

// appendStream prints a whole stream: its records and the empty one at its end.
func appendStream(b []byte, kind byte, id uint16, content []byte) []byte {
	for len(content) > 0 {
		n := min(len(content), contentMost)
		b = append(appendHeader(b, kind, id, n), content[:n]...)
		content = content[n:]
	}
	return appendHeader(b, kind, id, 0)
}

func appendEnd(b []byte, id uint16, status byte) []byte {
	return append(appendHeader(b, typeEnd, id, 8), 0, 0, 0, 0, status, 0, 0, 0)
}

func appendPair(b []byte, name, value string) []byte {
	for _, n := range []int{len(name), len(value)} {
		if n < 0x80 {
			b = append(b, byte(n))
		} else {
			b = binary.BigEndian.AppendUint32(b, uint32(n)|1<<31)
		}
	}
	return append(append(b, name...), value...)
}
