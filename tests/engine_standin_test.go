package tests

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// engineStandin stands in for the engine. The body of a run selects its outcome: "ok" and "error" complete it,
// "call" makes one call first, "hold" waits for releaseHeld, "two calls" makes a call, waits for releaseHeld
// and makes a second one.
type engineStandin struct {
	addr                string
	mu                  sync.Mutex
	conn                net.Conn
	notices             []string
	runCounts           map[string]int // runs started, by trace id
	active              map[string]bool
	callStages          map[string]string // by trace id: "two" before the reply to the first of two calls, then "call"
	heldTraces          []string
	receivedCommands    []string
	ignoresCommands     bool     // reads commands without handling them
	ignoresStat         bool     // does not answer STAT
	ignoresRun          bool     // reads RUN without starting a run
	completesBeforeHalt bool     // a run completes successfully just before its HALT is read
	linksToIgnore       int      // number of further connections that are accepted and never read
	answeredStats       int      // STAT commands answered
	releaseAfterSync    bool     // held runs complete right after the next answer to STAT sync
	betweenCalls        []string // trace ids of runs that have the reply to their first call and wait for releaseHeld
}

func newEngineStandin(t *testing.T) *engineStandin {
	e := &engineStandin{runCounts: map[string]int{}, active: map[string]bool{}, callStages: map[string]string{}}
	e.addr = e.addListener(t)
	return e
}

// addListener makes the same engine listen on another address, which it returns.
func (e *engineStandin) addListener(t *testing.T) string {
	return startTCPServer(t, func(c net.Conn) {
		e.mu.Lock()
		if e.linksToIgnore > 0 {
			e.linksToIgnore--
			e.mu.Unlock()
			t.Cleanup(func() { c.Close() })
			return
		}
		e.conn = c
		e.mu.Unlock()
		readLineProtocol(c, func(w []string) bool { return w[0] == "RUN" || w[0] == "FEED" }, e.handleCommand)
	})
}

func (e *engineStandin) handleCommand(w []string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w[0] != "STAT" {
		e.receivedCommands = append(e.receivedCommands, strings.Join(w, " "))
	}
	switch {
	case e.ignoresCommands, e.ignoresStat && w[0] == "STAT":
	case w[0] == "ATTACH":
		n, _ := strconv.Atoi(w[1])
		fmt.Fprintf(e.conn, "HELLO WARM 20000\r\n%s", strings.Join(e.notices[n:], ""))
	case w[0] == "STAT":
		e.answeredStats++
		fmt.Fprintf(e.conn, "STATS %s 0.1 1 0.1 1\r\n", w[1])
		if e.releaseAfterSync && w[1] == "sync" {
			e.releaseHeldLocked()
		}
	case w[0] == "RUN" && (e.active[w[1]] || e.ignoresRun): // the command is ignored
	case w[0] == "RUN":
		e.runCounts[w[1]]++
		e.active[w[1]] = true
		switch string(body) {
		case "ok":
			e.sendNotice("DONE %d "+w[1]+" OK 5 ", "result of "+w[1])
		case "big":
			e.sendNotice("DONE %d "+w[1]+" OK 5 ", strings.Repeat("x", 4<<10))
		case "error":
			e.sendNotice("DONE %d "+w[1]+" ERROR 5 ", "")
		case "call", "two calls":
			e.callStages[w[1]] = strings.Fields(string(body))[0]
			e.sendNotice("NEED %d "+w[1]+" ", "call of "+w[1])
		case "unknown":
			fmt.Fprintf(e.conn, "NO RUN %s\r\n", w[1])
		case "hold":
			e.heldTraces = append(e.heldTraces, w[1])
		}
	case w[0] == "FEED" && e.callStages[w[1]] == "two":
		e.callStages[w[1]] = "call"
		e.betweenCalls = append(e.betweenCalls, w[1])
	case w[0] == "FEED":
		e.sendNotice("DONE %d "+w[1]+" OK 5 ", string(body))
	case w[0] == "HALT" && e.completesBeforeHalt:
		e.sendNotice("DONE %d "+w[1]+" OK 5 ", "result of "+w[1])
	case w[0] == "HALT":
		e.sendNotice("DONE %d "+w[1]+" STOPPED 5 ", "")
	}
}

// sendNotice sends a numbered notice that ends in a payload, and stores it for later connections.
func (e *engineStandin) sendNotice(format, payload string) {
	n := fmt.Sprintf(format, len(e.notices)+1) + fmt.Sprintf("%d\r\n%s\r\n", len(payload), payload)
	e.notices = append(e.notices, n)
	if w := strings.Fields(n); w[0] == "DONE" {
		delete(e.active, w[2])
	}
	e.conn.Write([]byte(n))
}

// releaseHeld completes all held runs, the latest first, and lets runs between two calls make the second one.
func (e *engineStandin) releaseHeld() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseHeldLocked()
}

func (e *engineStandin) releaseHeldLocked() {
	for i := len(e.heldTraces) - 1; i >= 0; i-- {
		e.sendNotice("DONE %d "+e.heldTraces[i]+" OK 5 ", "result of "+e.heldTraces[i])
	}
	e.heldTraces = nil
	for _, trace := range e.betweenCalls {
		e.sendNotice("NEED %d "+trace+" ", "second call of "+trace)
	}
	e.betweenCalls = nil
}

func (e *engineStandin) heldRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.heldTraces)
}

// countReceived counts the received commands that start with prefix.
func (e *engineStandin) countReceived(prefix string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return countWithPrefix(e.receivedCommands, prefix)
}
