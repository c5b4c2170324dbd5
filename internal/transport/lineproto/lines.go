// Package lineproto parses the protocols of words: lines that end in CR LF, some of
// them followed by as many bytes as their last word says and another CR LF.
package lineproto

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	lineMost    = 1 << 10
	payloadMost = 64 << 10
)

// ErrMalformed is wrapped by all errors of a Parser.
var ErrMalformed = errors.New("malformed line")

// Message is a line's words and the bytes after it.
type Message struct {
	Words   []string
	Payload []byte
}

// Parser cuts a stream into messages.
type Parser struct {
	// Long tells from a line's words whether bytes follow it.
	HasPayload func(words []string) bool

	buf   []byte
	words []string // of a line whose payload isn't complete
	need  int      // payload and CR LF
}

// Feed takes the next bytes and calls out with every message that they complete.
func (p *Parser) Feed(b []byte, out func(Message)) error {
	p.buf = append(p.buf, b...)
	rest := p.buf
	defer func() { p.buf = append(p.buf[:0], rest...) }()
	for {
		if p.words != nil {
			if len(rest) < p.need {
				return nil
			}
			payload := rest[:p.need-2]
			if string(rest[p.need-2:p.need]) != "\r\n" {
				return fmt.Errorf("%w: no CR LF after the %d bytes of %s", ErrMalformed, len(payload), p.words[0])
			}
			m := Message{Words: p.words, Payload: bytes.Clone(payload)}
			rest, p.words = rest[p.need:], nil
			out(m)
			continue
		}
		end := bytes.Index(rest, []byte("\r\n"))
		if end > lineMost || end < 0 && len(rest) > lineMost {
			return fmt.Errorf("%w: longer than %d bytes", ErrMalformed, lineMost)
		}
		if end < 0 {
			return nil
		}
		words := strings.Fields(string(rest[:end]))
		rest = rest[end+2:]
		if len(words) == 0 {
			return fmt.Errorf("%w: empty", ErrMalformed)
		}
		if !p.HasPayload(words) {
			out(Message{Words: words})
			continue
		}
		n, err := strconv.Atoi(words[len(words)-1])
		if err != nil || n < 0 || n > payloadMost {
			return fmt.Errorf("%w: length %q of %s", ErrMalformed, words[len(words)-1], words[0])
		}
		p.words, p.need = words, n+2
	}
}

// AppendMessage prints a line, and a payload if there is one; the caller has put its
// length in the last word.
func AppendMessage(b []byte, line string, payload []byte, long bool) []byte {
	b = append(append(b, line...), "\r\n"...)
	if long {
		b = append(append(b, payload...), "\r\n"...)
	}
	return b
}
