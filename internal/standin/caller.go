package standin

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"time"
)

// The subset of FastCGI for one request per connection. Each record has a header and up to 65535 bytes of
// content.
const (
	fastCGIVersion   = 1
	recordHeaderLen  = 8 // in bytes
	requestID        = 1
	recordBegin      = 1
	recordEndRequest = 3
	recordParams     = 4
	recordStdin      = 5
	// beginResponder is the content of the begin record. It requests the responder role, and that the
	// server closes the connection after the request.
	beginResponder = "\x00\x01\x00\x00\x00\x00\x00\x00"
	// maxShortLen is the maximum length of a name or value whose length is encoded in one byte.
	maxShortLen = 127
)

// memoryReserveKB is the memory that each request asks the service to reserve, in KB.
const memoryReserveKB = "24.5"

// maxResponseBytes is the length above which the rest of a response is discarded.
const maxResponseBytes = 2 * maxBodyBytes

// Request is a request to the service.
type Request struct {
	Class string
	// IdempotencyKey identifies a request in a class with duplicate detection. All attempts of a request
	// must have the same key. Only the first 127 bytes are sent.
	IdempotencyKey string
	// Body is truncated to 65535 bytes.
	Body string
}

// Response is the response of the service to a request.
type Response struct {
	Status int // HTTP status code
	// RetryAfterMillis is the delay in ms after which a rejected request may be retried, as decimal
	// digits. It is "" if the service sent no delay.
	RetryAfterMillis string
	Body             string
}

// Call sends one request over a new FastCGI connection and returns the response. It aborts when the
// context is done.
func Call(ctx context.Context, addr string, request Request) (Response, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return Response{}, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err := conn.Write(encodeRequest(request)); err != nil {
		return Response{}, err
	}
	return readResponse(conn)
}

// encodeRequest encodes a request as a sequence of FastCGI records.
func encodeRequest(request Request) []byte {
	out := appendRecord(nil, recordBegin, beginResponder)
	out = appendRecord(out, recordParams, encodeParams(request))
	out = appendRecord(out, recordParams, "")
	if request.Body != "" {
		out = appendRecord(out, recordStdin, request.Body[:min(len(request.Body), maxBodyBytes-1)])
	}
	return appendRecord(out, recordStdin, "")
}

func encodeParams(request Request) string {
	traceID := make([]byte, 8)
	rand.Read(traceID)
	params := []struct{ name, value string }{
		{"SCRIPT_NAME", "/call/" + request.Class},
		{"REQUEST_METHOD", "POST"},
		{"HTTP_TRACE_ID", hex.EncodeToString(traceID)},
		{"HTTP_RESERVE_KB", memoryReserveKB},
		{"HTTP_ACCEPTED_AT_MS", strconv.FormatInt(time.Now().UnixMilli(), 10)},
	}
	if request.IdempotencyKey != "" {
		key := request.IdempotencyKey[:min(len(request.IdempotencyKey), maxShortLen)]
		params = append(params, struct{ name, value string }{"HTTP_REPLAY_KEY", key})
	}
	var encoded []byte
	for _, p := range params {
		encoded = append(encoded, byte(len(p.name)), byte(len(p.value)))
		encoded = append(encoded, p.name...)
		encoded = append(encoded, p.value...)
	}
	return string(encoded)
}

func appendRecord(out []byte, kind byte, content string) []byte {
	const paddingLen, reserved = 0, 0
	n := len(content)
	out = append(out, fastCGIVersion, kind, requestID>>8, requestID, byte(n>>8), byte(n), paddingLen, reserved)
	return append(out, content...)
}

// readResponse reads records up to the end-of-request record and parses their content.
func readResponse(conn net.Conn) (Response, error) {
	var text bytes.Buffer
	for in := bufio.NewReader(conn); ; {
		kind, content, err := readRecord(in)
		if err != nil {
			return Response{}, fmt.Errorf("read response: %w", err)
		}
		if kind == recordEndRequest {
			break
		}
		if text.Len() <= maxResponseBytes {
			text.Write(content)
		}
	}
	return parseResponse(&text)
}

// readRecord reads one record and discards its padding.
func readRecord(in io.Reader) (kind byte, content []byte, err error) {
	header := make([]byte, recordHeaderLen)
	if _, err := io.ReadFull(in, header); err != nil {
		return 0, nil, err
	}
	contentLen := int(binary.BigEndian.Uint16(header[4:]))
	paddingLen := int(header[6])
	content = make([]byte, contentLen+paddingLen)
	if _, err := io.ReadFull(in, content); err != nil {
		return 0, nil, err
	}
	return header[1], content[:contentLen], nil
}

// parseResponse parses the header fields and the body of a response.
func parseResponse(text io.Reader) (Response, error) {
	in := bufio.NewReader(text)
	fields, err := textproto.NewReader(in).ReadMIMEHeader()
	if err != nil {
		return Response{}, fmt.Errorf("parse response header: %w", err)
	}
	body, _ := io.ReadAll(in)
	response := Response{RetryAfterMillis: fields.Get("Hold-Off-Ms"), Body: string(body)}
	if response.Status, err = strconv.Atoi(fields.Get("Status")); err != nil {
		return response, fmt.Errorf("response has no valid status: %w", err)
	}
	return response, nil
}
