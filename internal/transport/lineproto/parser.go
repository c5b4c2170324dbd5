package lineproto

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits in bytes, not counting CR LF.
const (
	maxLineBytes    = 1 << 10
	maxPayloadBytes = 64 << 10
)

// ErrMalformed is wrapped by every error that a Parser returns.
var ErrMalformed = errors.New("malformed line")

// Parser splits a byte stream into messages. It must not be used after an error.
type Parser struct {
	// HasPayload reports whether a payload follows the line with the given words.
	HasPayload func(words []string) bool

	buf          []byte
	pendingWords []string // words of a line whose payload is incomplete, else nil
	payloadBytes int      // payload length of pendingWords
}

// Feed parses the next bytes of the stream and calls handle for each message that is complete.
func (p *Parser) Feed(b []byte, handle func(Message)) error {
	p.buf = append(p.buf, b...)
	rest := p.buf
	defer func() { p.buf = append(p.buf[:0], rest...) }()
	for {
		next := p.parseLine
		if p.pendingWords != nil {
			next = p.parsePayload
		}
		m, n, err := next(rest)
		if err != nil || n == 0 {
			return err
		}
		rest = rest[n:]
		if m != nil {
			handle(*m)
		}
	}
}

// parseLine parses a line at the start of b and returns its length n, 0 if the line is incomplete. The
// message is nil if a payload follows.
func (p *Parser) parseLine(b []byte) (m *Message, n int, err error) {
	end := bytes.Index(b, []byte(lineEnd))
	switch {
	case end > maxLineBytes, end < 0 && len(b) > maxLineBytes:
		return nil, 0, fmt.Errorf("%w: longer than %d bytes", ErrMalformed, maxLineBytes)
	case end < 0:
		return nil, 0, nil
	}
	n = end + len(lineEnd)
	words := strings.Fields(string(b[:end]))
	if len(words) == 0 {
		return nil, 0, fmt.Errorf("%w: line has no words", ErrMalformed)
	}
	if !p.HasPayload(words) {
		return &Message{Words: words}, n, nil
	}
	length := words[len(words)-1]
	p.payloadBytes, err = strconv.Atoi(length)
	if err != nil || p.payloadBytes < 0 || p.payloadBytes > maxPayloadBytes {
		return nil, 0, fmt.Errorf("%w: invalid payload length %q of %s", ErrMalformed, length, words[0])
	}
	p.pendingWords = words
	return nil, n, nil
}

// parsePayload parses the payload of pendingWords at the start of b. It returns the number of bytes
// parsed, 0 if the payload is incomplete.
func (p *Parser) parsePayload(b []byte) (m *Message, n int, err error) {
	n = p.payloadBytes + len(lineEnd)
	if len(b) < n {
		return nil, 0, nil
	}
	if string(b[p.payloadBytes:n]) != lineEnd {
		return nil, 0, fmt.Errorf("%w: no CR LF after the %d-byte payload of %s", ErrMalformed, p.payloadBytes, p.pendingWords[0])
	}
	m = &Message{Words: p.pendingWords, Payload: bytes.Clone(b[:p.payloadBytes])}
	p.pendingWords = nil
	return m, n, nil
}
