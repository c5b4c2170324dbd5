package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The limits of the service on this day, from the ranges of the pages.
const (
	memoryMB    = 64  // "It has 32 to 192 MB"
	descriptors = 384 // "It has 384 or 512 descriptors"
)

// The other clients. Each connection has as many requests open as a connection may carry, and each request
// stops within its parameters.
const (
	badClients       = 250
	openPerClient    = 32
	bytesPerRequest  = 8000
	troubleStartsAt  = 4 * time.Second
	troubleLasts     = 5 * time.Second
	balancerInterval = 100 * time.Millisecond
)

func main() { runCase(playHalfRequests) }

// playHalfRequests sends a balancer's requests to a service while other clients connect, send the first part
// of many requests, and stop half way. The platform kills the service when it exceeds its memory.
func playHalfRequests(r *rig) []string {
	engine := r.freeAddress()
	config := r.operatorConfig("examples/config.json")
	address := r.freeAddress()
	config["listen"], config["engine"] = address, engine
	config["records"], config["lookup"] = r.freeAddress(), r.freeAddress()
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors}
	r.start("engine", nil, filepath.Join(r.root, "bin", "review-2", "standin"), "-engine", engine)
	service := r.startService("n1", config)
	if !await(20*time.Second, func() bool { return isHealthy(address) }) {
		r.fail("the service did not get ready: %s", service.logTail(5, "error", "warn"))
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	answered := map[int]int{}
	refused := 0
	clients.Go(func() { // the balancer
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(balancerInterval):
			}
			clients.Go(func() {
				q := request{class: "cycle-check", trace: newTraceID(), body: fmt.Sprintf("request %d", i)}
				r.note("sent: %s %s", q.trace, q.body)
				a, err := send(address, q, 12*time.Second)
				r.note("answered: %s %v %v", q.trace, a, err)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case errors.Is(err, syscall.ECONNREFUSED): // proves that nothing ran
					refused++
					return
				case err != nil:
					lost = append(lost, fmt.Sprintf("request %d (%s): %v", i, q.trace, err))
					return
				}
				answered[a.status]++
			})
		}
	})
	memory := &memoryWatch{rig: r, service: service}
	go memory.run(stop)
	time.Sleep(troubleStartsAt)
	r.note("memory before: %d kB", memory.now())
	if r.trouble {
		conns := sendHalfRequests(r, address)
		defer func() {
			for _, c := range conns {
				c.Close()
			}
		}()
	}
	time.Sleep(troubleLasts)
	ended := !service.isRunning()
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.note("answers to the balancer by status: %v; connections refused: %d; written, without an answer: %d", answered, refused, len(lost))
	for _, l := range lost {
		r.note("no answer: %s", l)
	}
	r.note("most memory: %d kB of %d kB", memory.most(), memoryMB<<10)
	if len(answered) == 0 {
		r.fail("the balancer got no answer at all")
	}
	if !ended {
		return nil
	}
	return []string{fmt.Sprintf("the service had %d kB of anonymous memory, its limit is %d kB: it was killed, with %d of the balancer's requests unanswered",
		memory.most(), memoryMB<<10, len(lost))}
}

// sendHalfRequests opens the connections of the other clients and sends the first part of their requests.
func sendHalfRequests(r *rig, address string) (conns []net.Conn) {
	part := []byte{}
	for id := range uint16(openPerClient) {
		part = fcgiBeginRecord(part, id+1)
		params := fcgiPair(nil, "SCRIPT_NAME", "/call/cycle-check")
		params = fcgiPair(params, "HTTP_COOKIE", strings.Repeat("x", bytesPerRequest))
		part = fcgiRecord(part, fcgiParams, id+1, params)
	}
	for range badClients {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			r.note("other client: %v", err)
			continue
		}
		conns = append(conns, c)
		c.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := c.Write(part); err != nil {
			r.note("other client: %v", err)
		}
	}
	r.note("%d other clients have each sent the first %d bytes of %d requests", len(conns), bytesPerRequest, openPerClient)
	return conns
}

// memoryWatch is the part of the platform that kills a service which exceeds its memory. It counts
// anonymous and shared memory only, not the pages of the program's file.
type memoryWatch struct {
	rig     *rig
	service *proc

	mu      sync.Mutex
	highest int
}

func (m *memoryWatch) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if used := m.now(); used > memoryMB<<10 && m.service.isRunning() {
			m.rig.note("the platform kills the service: %d kB of %d kB", used, memoryMB<<10)
			m.service.signal(syscall.SIGKILL)
			m.service.awaitExit(5 * time.Second)
			return
		}
	}
}

// now returns the service's memory in kB.
func (m *memoryWatch) now() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.service.cmd.Process.Pid))
	used := 0
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) >= 2 && (fields[0] == "RssAnon:" || fields[0] == "RssShmem:") {
			n, _ := strconv.Atoi(fields[1])
			used += n
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest = max(m.highest, used)
	return used
}

func (m *memoryWatch) most() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.highest
}
