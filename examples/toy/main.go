// Toy is a small engine to try oxbowbridge with, and a caller:
//
//	go run ./examples/toy                       the engine, on 127.0.0.1:6100
//	go run ./examples/toy -call nom-submit hi   one request to 127.0.0.1:9090
//
// The engine runs four requests at a time, 300 ms each; more wait for a core.
package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	cores = 4
	work  = 300 * time.Millisecond
)

func main() {
	addr := flag.String("engine", "127.0.0.1:6100", "where the engine listens")
	service := flag.String("service", "127.0.0.1:9090", "where the service listens")
	class := flag.String("call", "", "send one request of this class, with the arguments as its body")
	flag.Parse()
	var err error
	if *class != "" {
		err = call(*service, *class, strings.Join(flag.Args(), " "))
	} else {
		err = serve(*addr)
	}
	if err != nil {
		log.Fatal("toy: ", err)
	}
}

// engine is the state of one service's runs.
type engine struct {
	mu      sync.Mutex
	conn    net.Conn
	notices []string
	runs    map[string]bool
	cores   chan struct{}
	began   time.Time
}

func serve(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	log.Println("toy engine on", ln.Addr())
	e := &engine{runs: map[string]bool{}, cores: make(chan struct{}, cores), began: time.Now()}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go e.link(c)
	}
}

// link reads the commands of one connection, which replaces the one before.
func (e *engine) link(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
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
			if _, err := io.ReadFull(r, body); err != nil {
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
		if n == 0 { // the service has started anew
			e.notices, e.runs = nil, map[string]bool{}
		}
		e.conn = c
		fmt.Fprintf(c, "HELLO WARM %d\r\n%s", time.Since(e.began).Milliseconds(), strings.Join(e.notices[min(n, len(e.notices)):], ""))
	case "RUN":
		if !e.runs[w[1]] {
			e.runs[w[1]] = true
			go e.run(w[1], w[2], body)
		}
	case "HALT":
		e.done(w[1], "STOPPED", nil)
	case "STAT":
		busy := len(e.cores)
		fmt.Fprintf(c, "STATS %s %.2f %d 0.1 1\r\n", w[1], float64(busy)/cores, len(e.runs))
	}
}

func (e *engine) run(id, class string, body []byte) {
	e.cores <- struct{}{}
	time.Sleep(work)
	<-e.cores
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done(id, "OK", fmt.Appendf(nil, "%s done: %s", class, body))
}

// done tells the end of a run, once.
func (e *engine) done(id, end string, result []byte) {
	if !e.runs[id] {
		return
	}
	delete(e.runs, id)
	n := fmt.Sprintf("DONE %d %s %s %d %d\r\n%s\r\n", len(e.notices)+1, id, end, work.Milliseconds(), len(result), result)
	e.notices = append(e.notices, n)
	io.WriteString(e.conn, n)
}

// call sends one FastCGI request and prints what comes back.
func call(addr, class, body string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	id := make([]byte, 8)
	rand.Read(id)
	var params []byte
	for _, p := range [][2]string{{"SCRIPT_NAME", "/call/" + class}, {"REQUEST_METHOD", "POST"},
		{"HTTP_TRACE_ID", hex.EncodeToString(id)}, {"HTTP_RESERVE_KB", "24.5"},
		{"HTTP_ACCEPTED_AT_MS", strconv.FormatInt(time.Now().UnixMilli(), 10)}} {
		params = append(params, byte(len(p[0])), byte(len(p[1])))
		params = append(append(params, p[0]...), p[1]...)
	}
	record := func(kind byte, content []byte) {
		h := []byte{1, kind, 0, 1, byte(len(content) >> 8), byte(len(content)), 0, 0}
		c.Write(append(h, content...))
	}
	record(1, []byte{0, 1, 0, 0, 0, 0, 0, 0})
	record(4, params)
	record(4, nil)
	if body != "" {
		record(5, []byte(body))
	}
	record(5, nil)
	for r := bufio.NewReader(c); ; {
		h := make([]byte, 8)
		if _, err := io.ReadFull(r, h); err != nil {
			return fmt.Errorf("no answer: %w", err)
		}
		content := make([]byte, int(binary.BigEndian.Uint16(h[4:]))+int(h[6]))
		if _, err := io.ReadFull(r, content); err != nil {
			return fmt.Errorf("no answer: %w", err)
		}
		if h[1] == 3 {
			fmt.Println()
			return nil
		}
		fmt.Print(string(content[:binary.BigEndian.Uint16(h[4:])]))
	}
}
