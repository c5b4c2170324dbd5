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

const keyMost = 127 // bytes of a key, whose length is sent in one

// Answer is what the service said to a request.
type Response struct {
	Status           int
	RetryAfterMillis string // Hold-Off-Ms, of a refusal
	Body             string
}

// Request is one that is sent.
type Request struct {
	Class          string
	IdempotencyKey string // Replay-Key, of a deduplicated class
	Body           string
}

// Call sends one request over FastCGI, on a connection of its own.
func Call(ctx context.Context, addr string, q Request) (Response, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return Response{}, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	id := make([]byte, 8)
	rand.Read(id)
	fields := [][2]string{{"SCRIPT_NAME", "/call/" + q.Class}, {"REQUEST_METHOD", "POST"},
		{"HTTP_TRACE_ID", hex.EncodeToString(id)}, {"HTTP_RESERVE_KB", "24.5"},
		{"HTTP_ACCEPTED_AT_MS", strconv.FormatInt(time.Now().UnixMilli(), 10)}}
	if q.IdempotencyKey != "" {
		fields = append(fields, [2]string{"HTTP_REPLAY_KEY", q.IdempotencyKey[:min(len(q.IdempotencyKey), keyMost)]})
	}
	var params []byte
	for _, p := range fields {
		params = append(params, byte(len(p[0])), byte(len(p[1])))
		params = append(append(params, p[0]...), p[1]...)
	}
	var out []byte
	record := func(kind byte, content string) {
		out = append(out, 1, kind, 0, 1, byte(len(content)>>8), byte(len(content)), 0, 0)
		out = append(out, content...)
	}
	record(1, "\x00\x01\x00\x00\x00\x00\x00\x00")
	record(4, string(params))
	record(4, "")
	if q.Body != "" {
		record(5, q.Body[:min(len(q.Body), bodyMost-1)])
	}
	record(5, "")
	if _, err := c.Write(out); err != nil {
		return Response{}, err
	}
	return readAnswer(c)
}

func readAnswer(c net.Conn) (Response, error) {
	var text bytes.Buffer
	for r := bufio.NewReader(c); ; {
		h := make([]byte, 8)
		if _, err := io.ReadFull(r, h); err != nil {
			return Response{}, fmt.Errorf("no answer: %w", err)
		}
		content := make([]byte, int(binary.BigEndian.Uint16(h[4:]))+int(h[6]))
		if _, err := io.ReadFull(r, content); err != nil {
			return Response{}, fmt.Errorf("no answer: %w", err)
		}
		if h[1] == 3 { // END_REQUEST
			break
		}
		if text.Len() <= 2*bodyMost {
			text.Write(content[:binary.BigEndian.Uint16(h[4:])])
		}
	}
	r := bufio.NewReader(&text)
	fields, err := textproto.NewReader(r).ReadMIMEHeader()
	if err != nil {
		return Response{}, fmt.Errorf("answer can't be read: %w", err)
	}
	rest, _ := io.ReadAll(r)
	a := Response{RetryAfterMillis: fields.Get("Hold-Off-Ms"), Body: string(rest)}
	if a.Status, err = strconv.Atoi(fields.Get("Status")); err != nil {
		return a, fmt.Errorf("answer has no status: %w", err)
	}
	return a, nil
}
