// Package standin has the smallest engine, records service and caller that the service
// works with: for trying it out, not for use.
package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const bodyMost = 1 << 16 // bytes, of a request or a reply

// Engine runs requests, each for the same time; those that find no core free wait.
type Engine struct {
	Cores          int
	RunDuration    time.Duration
	CallingClasses []string                 // classes whose runs make a call below, half way
	OnRun          func(class, body string) // told of each run, if it is set

	mu      sync.Mutex
	conn    net.Conn
	notices []string
	runs    map[string]chan []byte // of each run, where the reply to its call comes
	cores   chan struct{}
	began   time.Time
}

// Serve takes links until the listener is closed.
func (e *Engine) Serve(ln net.Listener) error {
	e.runs, e.cores, e.began = map[string]chan []byte{}, make(chan struct{}, e.Cores), time.Now()
	return serve(ln, func(c net.Conn) {
		readLines(c, func(w []string) bool { return w[0] == "RUN" || w[0] == "FEED" }, func(w []string, body []byte) {
			e.command(c, w, body)
		})
	})
}

// serve handles each connection, and closes it then, until the listener is closed.
func serve(ln net.Listener, handle func(net.Conn)) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			handle(c)
		}()
	}
}

// readLines reads lines of words, and the bytes that follow those that long picks,
// until something else comes.
func readLines(c net.Conn, long func([]string) bool, handle func(words []string, body []byte)) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		w := strings.Fields(line)
		if err != nil || len(w) < 2 {
			return
		}
		var body []byte
		if long(w) {
			n, err := strconv.Atoi(w[len(w)-1])
			if err != nil || n < 0 || n > bodyMost {
				return
			}
			body = make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			body = body[:n]
		}
		handle(w, body)
	}
}

func (e *Engine) command(c net.Conn, w []string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch w[0] {
	case "ATTACH":
		n, _ := strconv.Atoi(w[1])
		if n == 0 { // the service has started anew
			e.notices, e.runs = nil, map[string]chan []byte{}
		}
		e.conn = c
		fmt.Fprintf(c, "HELLO WARM %d\r\n%s", time.Since(e.began).Milliseconds(), strings.Join(e.notices[min(n, len(e.notices)):], ""))
	case "RUN":
		if len(w) > 2 && e.runs[w[1]] == nil {
			reply := make(chan []byte, 1)
			e.runs[w[1]] = reply
			if e.OnRun != nil {
				e.OnRun(w[2], string(body))
			}
			go e.run(w[1], w[2], body, reply)
		}
	case "FEED":
		select {
		case e.runs[w[1]] <- body:
		default: // no run, or one that has its reply
		}
	case "HALT":
		e.done(w[1], "STOPPED", nil)
	case "STAT":
		busy := len(e.cores)
		fmt.Fprintf(c, "STATS %s %.2f %d 0.1 1\r\n", w[1], float64(busy)/float64(e.Cores), len(e.runs))
	}
}

func (e *Engine) run(id, class string, body []byte, reply chan []byte) {
	e.cores <- struct{}{}
	defer func() { <-e.cores }()
	time.Sleep(e.RunDuration)
	result := fmt.Appendf(nil, "%s done: %s", class, body)
	if slices.Contains(e.CallingClasses, class) {
		e.mu.Lock()
		e.tell(fmt.Sprintf("NEED %d %s %d\r\n%s\r\n", len(e.notices)+1, id, len(body), body))
		e.mu.Unlock()
		<-e.cores // others may run meanwhile
		select {
		case r := <-reply:
			result = fmt.Appendf(result, " (%s)", r)
		case <-time.After(time.Minute): // the service has halted it long ago
		}
		e.cores <- struct{}{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done(id, "OK", result)
}

// done tells the end of a run, once.
func (e *Engine) done(id, end string, result []byte) {
	if e.runs[id] == nil {
		return
	}
	delete(e.runs, id)
	e.tell(fmt.Sprintf("DONE %d %s %s %d %d\r\n%s\r\n", len(e.notices)+1, id, end, e.RunDuration.Milliseconds(), len(result), result))
}

func (e *Engine) tell(notice string) {
	e.notices = append(e.notices, notice)
	io.WriteString(e.conn, notice)
}
