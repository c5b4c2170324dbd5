package main

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// Record types of FastCGI 1.0.
const (
	fcgiBegin  = 1
	fcgiEnd    = 3
	fcgiParams = 4
	fcgiStdin  = 5
	fcgiStdout = 6
)

// fcgiRecord appends one record without padding.
func fcgiRecord(b []byte, kind byte, id uint16, content []byte) []byte {
	b = append(b, 1, kind, byte(id>>8), byte(id), byte(len(content)>>8), byte(len(content)), 0, 0)
	return append(b, content...)
}

// fcgiBeginRecord begins a request in the role Responder with the flag KEEP_CONN.
func fcgiBeginRecord(b []byte, id uint16) []byte {
	return fcgiRecord(b, fcgiBegin, id, []byte{0, 1, 1, 0, 0, 0, 0, 0})
}

func fcgiPair(b []byte, name, value string) []byte {
	for _, n := range []int{len(name), len(value)} {
		if n < 128 {
			b = append(b, byte(n))
		} else {
			b = binary.BigEndian.AppendUint32(b, uint32(n)|1<<31)
		}
	}
	return append(append(b, name...), value...)
}

// newTraceID returns 16 hex digits.
func newTraceID() string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, rand.Uint64()))
}

// request is one try, as a balancer sends it.
type request struct {
	class, trace, key, body string
	fields                  map[string]string // further fields
}

func (q request) encode(id uint16) []byte {
	var params []byte
	params = fcgiPair(params, "SCRIPT_NAME", "/call/"+q.class)
	params = fcgiPair(params, "REQUEST_METHOD", "POST")
	params = fcgiPair(params, "CONTENT_LENGTH", strconv.Itoa(len(q.body)))
	fields := map[string]string{
		"TRACE_ID": q.trace, "ACCEPTED_AT_MS": strconv.FormatInt(time.Now().UnixMilli(), 10),
		"CLIENT_NO": "4", "EXPECTED_MS": "12.50", "RESERVE_KB": "24.5", "STANDING": "0.6250",
	}
	if q.key != "" {
		fields["REPLAY_KEY"] = q.key
	}
	for name, value := range q.fields {
		fields[name] = value
	}
	for name, value := range fields {
		params = fcgiPair(params, "HTTP_"+name, value)
	}
	b := fcgiBeginRecord(nil, id)
	b = fcgiRecord(b, fcgiParams, id, params)
	b = fcgiRecord(b, fcgiParams, id, nil)
	if q.body != "" {
		b = fcgiRecord(b, fcgiStdin, id, []byte(q.body))
	}
	return fcgiRecord(b, fcgiStdin, id, nil)
}

// answer is a whole answer.
type answer struct {
	status int // 503 for the protocol status OVERLOADED
	body   string
}

func (a answer) String() string { return fmt.Sprintf("%d %q", a.status, a.body) }

// readAnswer reads records up to the END_REQUEST of one request.
func readAnswer(in *bufio.Reader, id uint16) (answer, error) {
	var text strings.Builder
	for {
		header := make([]byte, 8)
		if _, err := io.ReadFull(in, header); err != nil {
			return answer{}, err
		}
		content := make([]byte, int(binary.BigEndian.Uint16(header[4:]))+int(header[6]))
		if _, err := io.ReadFull(in, content); err != nil {
			return answer{}, err
		}
		if binary.BigEndian.Uint16(header[2:]) != id {
			return answer{}, errors.New("a record of another request")
		}
		switch header[1] {
		case fcgiStdout:
			text.Write(content[:len(content)-int(header[6])])
		case fcgiEnd:
			if content[4] != 0 {
				return answer{status: 503}, nil
			}
			head, body, ok := strings.Cut(text.String(), "\r\n\r\n")
			if !ok {
				return answer{}, fmt.Errorf("unreadable answer %q", text.String())
			}
			for _, line := range strings.Split(head, "\r\n") {
				if value, found := strings.CutPrefix(line, "Status: "); found {
					status, err := strconv.Atoi(strings.Fields(value)[0])
					return answer{status, body}, err
				}
			}
			return answer{}, fmt.Errorf("no status in %q", head)
		}
	}
}

// send sends one request on a new connection and waits for its answer.
func send(address string, q request, limit time.Duration) (answer, error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	if _, err := conn.Write(q.encode(1)); err != nil {
		return answer{}, err
	}
	return readAnswer(bufio.NewReader(conn), 1)
}

// isHealthy asks for the health of a service, as the platform does.
func isHealthy(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	params := fcgiPair(nil, "SCRIPT_NAME", "/ping")
	b := fcgiBeginRecord(nil, 1)
	b = fcgiRecord(b, fcgiParams, 1, params)
	b = fcgiRecord(b, fcgiParams, 1, nil)
	b = fcgiRecord(b, fcgiStdin, 1, nil)
	if _, err := conn.Write(b); err != nil {
		return false
	}
	a, err := readAnswer(bufio.NewReader(conn), 1)
	return err == nil && a.status == 200
}
