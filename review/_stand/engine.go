package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for the engine of the protocol page: it numbers its notices, keeps them, and resends
// those after N at ATTACH N. Runs take a fixed time; a class that calls then waits for the reply.
type engine struct {
	rec     *recorder
	runTime time.Duration
	calls   map[string]bool
	// longClass, if set, runs for longTime instead.
	longClass string
	longTime  time.Duration
	// onRun, if set, is called for each run that begins.
	onRun func(id, class, body string)

	listener net.Listener
	started  time.Time

	mu      sync.Mutex
	conn    net.Conn
	notices []string
	runs    map[string]*engineRun
	ended   map[string]bool
}

type engineRun struct {
	halted bool
	reply  chan []byte
	stop   chan struct{}
}

func startEngine(rec *recorder, runTime time.Duration, calls map[string]bool) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{rec: rec, runTime: runTime, calls: calls, listener: l, started: time.Now(), runs: map[string]*engineRun{}, ended: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

func (e *engine) addr() string { return e.listener.Addr().String() }

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		if len(w) < 2 {
			return
		}
		var body []byte
		if w[0] == "RUN" || w[0] == "FEED" {
			n, err := strconv.Atoi(w[len(w)-1])
			if err != nil || n < 0 || n > 1<<16 {
				return
			}
			body = make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			body = body[:n]
		}
		e.command(c, w, body)
	}
}

func (e *engine) command(c net.Conn, w []string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch w[0] {
	case "ATTACH":
		n, _ := strconv.Atoi(w[1])
		if e.conn != nil && e.conn != c {
			e.conn.Close()
		}
		e.conn = c
		fmt.Fprintf(c, "HELLO WARM %d\r\n", time.Since(e.started).Milliseconds())
		for _, text := range e.notices[min(n, len(e.notices)):] {
			io.WriteString(c, text)
		}
	case "STAT":
		fmt.Fprintf(c, "STATS %s 0.2 %d 0.1 4\r\n", w[1], len(e.runs))
	case "RUN":
		id := w[1]
		if e.runs[id] != nil {
			return
		}
		r := &engineRun{reply: make(chan []byte, 1), stop: make(chan struct{})}
		e.runs[id] = r
		e.rec.line("engine   run    %s %s %d bytes", id, w[2], len(body))
		if e.onRun != nil {
			e.onRun(id, w[2], string(body))
		}
		go e.run(id, w[2], body, r)
	case "HALT":
		if r := e.runs[w[1]]; r != nil && !r.halted {
			r.halted = true
			close(r.stop)
		}
	case "FEED":
		if r := e.runs[w[1]]; r != nil {
			select {
			case r.reply <- body:
			default:
			}
		}
	}
}

func (e *engine) run(id, class string, body []byte, r *engineRun) {
	result := append([]byte("result of "), body...)
	end := "OK"
	select {
	case <-time.After(e.timeOf(class)):
	case <-r.stop:
		end = "STOPPED"
	}
	if end == "OK" && e.calls[class] {
		e.mu.Lock()
		e.notice("NEED", id+" "+strconv.Itoa(len(body)), body)
		e.mu.Unlock()
		select {
		case reply := <-r.reply:
			result = append(append(result, " with "...), reply...)
		case <-r.stop:
			end = "STOPPED"
		}
	}
	if end != "OK" {
		result = nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
	e.ended[id] = true
	e.rec.line("engine   done   %s %s", id, end)
	e.notice("DONE", fmt.Sprintf("%s %s %d %d", id, end, e.runTime.Milliseconds(), len(result)), result)
}

func (e *engine) timeOf(class string) time.Duration {
	if class == e.longClass {
		return e.longTime
	}
	return e.runTime
}

// notice sends and keeps a notice with a body. The caller holds mu.
func (e *engine) notice(kind, words string, body []byte) {
	text := fmt.Sprintf("%s %d %s\r\n%s\r\n", kind, len(e.notices)+1, words, body)
	e.notices = append(e.notices, text)
	if e.conn != nil {
		io.WriteString(e.conn, text)
	}
}

// records is a stand-in for the records service.
type records struct {
	rec      *recorder
	delay    time.Duration
	listener net.Listener
}

func startRecords(rec *recorder, delay time.Duration) (*records, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &records{rec: rec, delay: delay, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *records) addr() string { return s.listener.Addr().String() }

func (s *records) serve(c net.Conn) {
	defer c.Close()
	var mu sync.Mutex
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		if len(w) < 2 {
			return
		}
		if w[0] != "OP" {
			continue
		}
		n, err := strconv.Atoi(w[len(w)-1])
		if err != nil || n < 0 || n > 1<<16 {
			return
		}
		if _, err := io.ReadFull(in, make([]byte, n+2)); err != nil {
			return
		}
		s.rec.line("records  call   %s", w[1])
		go func() {
			time.Sleep(s.delay)
			mu.Lock()
			defer mu.Unlock()
			reply := "recorded " + w[1]
			fmt.Fprintf(c, "%s DONE %d\r\n%s\r\n", w[1], len(reply), reply)
		}()
	}
}

// close ends the engine, as when its machine dies.
func (e *engine) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		e.conn.Close()
	}
}
