// Package lineproto reads and writes the line protocols of the engine and the records service.
// A message is a line of words that ends in CR LF; in some messages the last word is the length in
// bytes of a payload, which follows with another CR LF. The package does no I/O.
package lineproto

import (
	"strconv"
	"strings"
)

const lineEnd = "\r\n"

// Message is a line, and the payload that follows it, nil without one.
type Message struct {
	Words   []string
	Payload []byte
}

// AppendLine appends a line without a payload.
func AppendLine(b []byte, words ...string) []byte {
	b = append(b, strings.Join(words, " ")...)
	return append(b, lineEnd...)
}

// AppendWithPayload appends a line, the length of the payload as its last word, and the payload.
func AppendWithPayload(b, payload []byte, words ...string) []byte {
	b = append(b, strings.Join(words, " ")...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(payload)), 10)
	b = append(b, lineEnd...)
	b = append(b, payload...)
	return append(b, lineEnd...)
}
