// Package lineproto reads and writes the line protocols of the engine and the records service:
// lines of words that end in CR LF, some of them followed by a payload, whose length in bytes is
// the line's last word, and another CR LF. It does no I/O.
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
