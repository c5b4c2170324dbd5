package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is the final answer to a request.
type answer struct {
	status int // 0: the protocol status was not REQUEST_COMPLETE, or the answer can't be read
	body   string
	at     time.Time
}

// balancer is one connection of a balancer: FastCGI 1.0, Responder, KEEP_CONN, with several open requests.
type balancer struct {
	conn net.Conn

	writeMu sync.Mutex
	mu      sync.Mutex
	nextID  uint16
	waiting map[uint16]chan answer
	text    map[uint16][]byte
	ended   error         // why the connection ended
	done    chan struct{} // closed when the connection ended
}

func dialBalancer(addr string) (*balancer, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	b := &balancer{conn: c, waiting: map[uint16]chan answer{}, text: map[uint16][]byte{}, done: make(chan struct{})}
	go b.read()
	return b, nil
}

func (b *balancer) read() {
	in := bufio.NewReader(b.conn)
	var err error
	for {
		var h [8]byte
		if _, err = io.ReadFull(in, h[:]); err != nil {
			break
		}
		content := make([]byte, int(binary.BigEndian.Uint16(h[4:]))+int(h[6]))
		if _, err = io.ReadFull(in, content); err != nil {
			break
		}
		content = content[:len(content)-int(h[6])]
		id := binary.BigEndian.Uint16(h[2:])
		b.mu.Lock()
		switch h[1] {
		case 6:
			b.text[id] = append(b.text[id], content...)
		case 3:
			a := parseAnswer(b.text[id])
			if len(content) < 5 || content[4] != 0 {
				a.status = 503 // OVERLOADED and the like: refused
			}
			delete(b.text, id)
			if ch := b.waiting[id]; ch != nil {
				ch <- a
				delete(b.waiting, id)
			}
		}
		b.mu.Unlock()
	}
	b.mu.Lock()
	b.ended = err
	close(b.done)
	b.mu.Unlock()
}

func parseAnswer(text []byte) (a answer) {
	a.at = time.Now()
	head, body, ok := strings.Cut(string(text), "\r\n\r\n")
	if !ok {
		return a
	}
	a.body = body
	for _, line := range strings.Split(head, "\r\n") {
		if v, ok := strings.CutPrefix(line, "Status: "); ok {
			a.status, _ = strconv.Atoi(strings.Fields(v)[0])
		}
	}
	return a
}

func record(kind byte, id uint16, content []byte) []byte {
	out := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), 0, 0}
	return append(out, content...)
}

func newTraceID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// encode returns the records of one request, whole.
func encode(id uint16, trace, class, key, body string, acceptedAt time.Time) []byte {
	out := record(1, id, []byte{0, 1, 1, 0, 0, 0, 0, 0})
	var p []byte
	pairs := [][2]string{
		{"SCRIPT_NAME", "/call/" + class}, {"REQUEST_METHOD", "POST"}, {"HTTP_TRACE_ID", trace},
		{"HTTP_ACCEPTED_AT_MS", strconv.FormatInt(acceptedAt.UnixMilli(), 10)}, {"HTTP_CLIENT_NO", "1"},
		{"HTTP_EXPECTED_MS", "50.00"}, {"HTTP_RESERVE_KB", "24.5"}, {"HTTP_STANDING", "0.5000"},
	}
	if key != "" {
		pairs = append(pairs, [2]string{"HTTP_REPLAY_KEY", key})
	}
	for _, kv := range pairs {
		p = append(p, byte(len(kv[0])), byte(len(kv[1])))
		p = append(append(p, kv[0]...), kv[1]...)
	}
	out = append(out, record(4, id, p)...)
	out = append(out, record(4, id, nil)...)
	if body != "" {
		out = append(out, record(5, id, []byte(body))...)
	}
	return append(out, record(5, id, nil)...)
}

// register reserves a request id on the connection.
func (b *balancer) register() (uint16, chan answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nextID++
	ch := make(chan answer, 1)
	b.waiting[b.nextID] = ch
	return b.nextID, ch
}

func (b *balancer) write(p []byte) error {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := b.conn.Write(p)
	return err
}

// call sends a request at once and waits for its answer.
func (b *balancer) call(trace, class, key, body string, limit time.Duration) (answer, error) {
	id, ch := b.register()
	if err := b.write(encode(id, trace, class, key, body, time.Now())); err != nil {
		return answer{}, err
	}
	return b.await(ch, limit)
}

func (b *balancer) await(ch chan answer, limit time.Duration) (answer, error) {
	select {
	case a := <-ch:
		return a, nil
	case <-b.done:
		select {
		case a := <-ch:
			return a, nil
		default:
		}
		return answer{}, b.ended
	case <-time.After(limit):
		return answer{}, errTimeout
	}
}

type timeoutError struct{}

func (timeoutError) Error() string { return "no answer in its time" }

var errTimeout = timeoutError{}
