// Package lineproto parses and encodes the line protocols of the engine and the records service.
// A message is a line of words that ends with CR LF. In some messages the last word is the length in
// bytes of a payload, which follows the line and ends with another CR LF. The package does no I/O.
package lineproto

import (
	"strconv"
	"strings"
)

const lineEnd = "\r\n"

// Message is a line, split into words, and its payload. Payload is nil if the line has none.
type Message struct {
	Words   []string
	Payload []byte
}

// AppendLine appends a message without a payload to b.
func AppendLine(b []byte, words ...string) []byte {
	b = append(b, strings.Join(words, " ")...)
	return append(b, lineEnd...)
}

// AppendWithPayload appends a message with a payload to b. The length of the payload becomes the last
// word of the line.
func AppendWithPayload(b, payload []byte, words ...string) []byte {
	b = append(b, strings.Join(words, " ")...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(payload)), 10)
	b = append(b, lineEnd...)
	b = append(b, payload...)
	return append(b, lineEnd...)
}
