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

// FastCGI, as far as a caller of one request on a connection needs it. Each record is
// a header and a content of at most 65535 bytes.
const (
	fastCGIVersion   = 1
	recordHeaderLen  = 8 // bytes
	requestID        = 1
	recordBegin      = 1
	recordEndRequest = 3
	recordParams     = 4
	recordStdin      = 5
	// beginResponder asks for the responder role, on a connection that is closed after
	// the request.
	beginResponder = "\x00\x01\x00\x00\x00\x00\x00\x00"
	// maxShortLen is the longest name or value whose length is sent in one byte.
	maxShortLen = 127
)

// memoryReserveKB is the memory that a request declares, in KB.
const memoryReserveKB = "24.5"

// maxResponseBytes is the length from which on the rest of a response is dropped.
const maxResponseBytes = 2 * maxBodyBytes

// Request is a request to the service.
type Request struct {
	Class string
	// IdempotencyKey makes a request of a class with duplicate detection idempotent, the
	// same for all attempts; at most 127 bytes are sent.
	IdempotencyKey string
	// Body is cut at 65535 bytes.
	Body string
}

// Response is the service's response.
type Response struct {
	Status int // as in HTTP
	// RetryAfterMillis is the delay in ms after which a rejected request may be sent
	// again, in decimal digits as on the wire; "" if the service gave none.
	RetryAfterMillis string
	Body             string
}

// Call sends one request over FastCGI, on a connection of its own. The context bounds
// the whole call.
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

// encodeRequest is the request as FastCGI records.
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

// readResponse reads records up to the end of the request, and parses their content.
func readResponse(conn net.Conn) (Response, error) {
	var text bytes.Buffer
	for in := bufio.NewReader(conn); ; {
		kind, content, err := readRecord(in)
		if err != nil {
			return Response{}, fmt.Errorf("no answer: %w", err)
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

// readRecord reads one record, and leaves out its padding.
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

// parseResponse reads header fields and a body.
func parseResponse(text io.Reader) (Response, error) {
	in := bufio.NewReader(text)
	fields, err := textproto.NewReader(in).ReadMIMEHeader()
	if err != nil {
		return Response{}, fmt.Errorf("answer can't be read: %w", err)
	}
	body, _ := io.ReadAll(in)
	response := Response{RetryAfterMillis: fields.Get("Hold-Off-Ms"), Body: string(body)}
	if response.Status, err = strconv.Atoi(fields.Get("Status")); err != nil {
		return response, fmt.Errorf("answer has no status: %w", err)
	}
	return response, nil
}
