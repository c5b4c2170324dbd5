// Package tests starts the built program as a process and talks to it as its callers and its servers do.
package tests

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig"
)

const awaitTimeout = testrig.AwaitTimeout

// await shortens the test rig's helper of that name.
func await(t *testing.T, what string, ok func() bool) { t.Helper(); testrig.Await(t, what, ok) }

func freeAddr(t *testing.T) string { return testrig.FreeAddr(t) }

var programPath string

func TestMain(m *testing.M) {
	if url := os.Getenv(envLeaseCommandURL); url != "" { // this process is the command that a contender runs under its lease
		os.Exit(runLeaseCommand(url))
	}
	if threads := os.Getenv(envBusyThreads); threads != "" { // this process keeps a CPU busy
		os.Exit(busyThreads(threads, os.Getenv(envBusyCPU)))
	}
	dir, err := os.MkdirTemp("", "oxbowbridge")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "oxbowbridge")
	build := strings.ReplaceAll(deployFileValue("build"), "bin/", dir+"/")
	sh := exec.Command("sh", "-c", build)
	sh.Dir = ".."
	if out, err := sh.CombinedOutput(); err != nil {
		panic(build + ": " + string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// faultInjectionBuild builds the program with the build tag "faults", in which tests can make storage
// operations fail. It returns the path of the executable.
var faultInjectionBuild = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(programPath), "faults")
	out, err := exec.Command("go", "build", "-tags", "faults", "-o", path, "../cmd/oxbowbridge").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// deployFileValue returns the value of a key in the deploy file. TestMain builds the program with that file's
// command.
func deployFileValue(key string) string {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		panic(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, key+" = "); ok {
			return strings.Trim(value, "\"\n")
		}
	}
	panic("deploy file: no " + key)
}

type object = map[string]any

// settings returns the settings of a small site: 20 requests of 46 kB fill its memory.
func settings() object {
	class := func(name, effect string, deadline time.Duration) object {
		return object{"name": name, "effect": effect, "value": 2, "aim_ns": deadline * 3 / 4, "deadline_ns": deadline}
	}
	return object{
		"tick_ns": 4e6, "servers": 1, "counted_by": "work",
		"bounds": object{"max_retry_after_ns": 1e9, "retry_after": true},
		"classes": []object{class("balance-view", "idempotent", 12*time.Second), class("cycle-check", "idempotent", 2*time.Second),
			class("nom-update", "idempotent", 12*time.Second), class("nom-submit", "at_most_once", 12*time.Second)},
		"family_info": object{"advert": "none", "below": "tier", "callers": 1, "class_calls": []bool{true, false, true, true},
			"cores": 20, "halt": "drop", "idle_ns": 15e9, "memory_kb": 1000, "run_factor": 1,
			"own_stats": []string{"core_use", "on_cores", "heap_share", "links"}},
		"safety": object{"answer_slack_ns": 80e6, "cold_ns": 16e9, "cold_share": 0.2, "drain_grace_ns": 2.5e9,
			"fall_multiple": 8, "fall_ns": 3e9},
	}
}

// service is one process of the program under test.
type service struct {
	t         *testing.T
	cmd       *exec.Cmd
	fcgiAddr  string
	ajpAddr   string
	exit      chan error
	buildPath string // executable to run; empty for the one that TestMain built
	name      string
	logFile   *os.File // receives the log; nil for logBuffer

	descriptors int           // file descriptor limit of the process; 0 to inherit the limit of the tests
	exited      chan struct{} // closed once the process has exited
	cfg         object
	configPath  string
	logBuffer
}

// logBuffer collects what a process has written so far.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// Log returns what the process has written so far.
func (l *logBuffer) Log() string { return l.log() }

func (l *logBuffer) log() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (s *service) writeConfig() {
	text, err := json.Marshal(s.cfg)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(s.configPath, text, 0o600))
}

// reloadConfig changes the configuration file and sends SIGHUP. It returns the line that the program logs about
// the configuration.
func (s *service) reloadConfig(change func(object)) string {
	change(s.cfg)
	text, err := json.Marshal(s.cfg)
	require.NoError(s.t, err)
	return s.reloadText(text)
}

// reloadText is reloadConfig with the text of the file.
func (s *service) reloadText(text []byte) string {
	configLines := func() []string {
		return slices.DeleteFunc(strings.Split(s.log(), "\n"), func(l string) bool { return !strings.Contains(l, `"msg":"configuration `) })
	}
	n := len(configLines())
	require.NoError(s.t, os.WriteFile(s.configPath, text, 0o600))
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGHUP))
	await(s.t, "a log line about the configuration", func() bool { return len(configLines()) > n })
	return configLines()[n]
}

// startService starts the program with the default test configuration, after change has modified it.
func startService(t *testing.T, change func(object)) *service {
	return startServiceBuild(t, "", change)
}

// startServiceBuild is startService with another build of the program.
func startServiceBuild(t *testing.T, build string, change func(object)) *service {
	return startServiceWithLog(t, build, nil, change)
}

// testDescriptors is a field that a test may add to a configuration. It sets the file descriptor limit of the
// process and is removed before the file is written.
const testDescriptors = "test_descriptors"

// startServiceWithLog starts a build of the program that logs to a file or pipe; with a nil file it logs to
// logBuffer.
func startServiceWithLog(t *testing.T, build string, log *os.File, change func(object)) *service {
	s := &service{t: t, buildPath: build, fcgiAddr: freeAddr(t), ajpAddr: freeAddr(t)}
	cfg := object{"name": "n3", "listen": s.fcgiAddr, "seed": "8c1f30d27a5be964", "stop_ms": 4000,
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings(), "ajp": object{"listen": s.ajpAddr, "secret": "s3"}}
	change(cfg)
	s.name = fmt.Sprint(cfg["name"])
	cfg["name"] = "in-the-file" // BALANCER_NAME overrides the name in the file
	s.cfg, s.configPath = cfg, filepath.Join(t.TempDir(), "config.json")
	s.descriptors, _ = cfg[testDescriptors].(int)
	delete(cfg, testDescriptors)
	s.writeConfig()
	s.logFile = log
	s.startProcess()
	t.Cleanup(func() {
		s.cmd.Process.Kill()
		if t.Failed() {
			t.Log(s.log())
		}
	})
	return s
}

// startProcess starts the process. It may be called again after the process has exited.
func (s *service) startProcess() {
	s.exit, s.exited = make(chan error, 1), make(chan struct{})
	s.cmd = exec.Command(cmp.Or(s.buildPath, programPath))
	if s.descriptors > 0 {
		s.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, s.descriptors), cmp.Or(s.buildPath, programPath))
	}
	s.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+s.configPath, "BALANCER_NAME="+s.name)
	s.cmd.Stderr = s
	if s.logFile != nil {
		s.cmd.Stderr = s.logFile
	}
	require.NoError(s.t, s.cmd.Start())
	running, exit, exited := s.cmd, s.exit, s.exited
	go func() { exit <- running.Wait(); close(exited) }()
}

// Signal sends a signal to the process.
func (s *service) Signal(sig os.Signal) error { return s.cmd.Process.Signal(sig) }

// Kill kills the process and waits for its exit.
func (s *service) Kill() {
	s.cmd.Process.Kill()
	<-s.exited
}

// awaitReady waits until a health check succeeds.
func (s *service) awaitReady() {
	await(s.t, "a successful health check", func() bool {
		c, err := dialFCGI(s.fcgiAddr)
		if err != nil {
			return false
		}
		defer c.Close()
		a, err := c.do("/ping", nil, nil)
		return err == nil && a.status == 200
	})
}

// awaitDrainStarted waits until the service has logged that it handles a termination signal.
func (s *service) awaitDrainStarted() {
	await(s.t, "the drain to start", func() bool { return strings.Contains(s.log(), `"msg":"drain started"`) })
}

// terminate sends SIGTERM. The process must exit with code 0 within stop_ms.
func (s *service) terminate() {
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGTERM))
	s.requireCleanExit()
}

func (s *service) requireCleanExit() {
	select {
	case err := <-s.exit:
		require.NoError(s.t, err, "exit code")
	case <-time.After(4 * time.Second): // stop_ms of the default configuration
		s.t.Fatal("process has not exited within stop_ms")
	}
}

// testbed is a service with a stand-in engine and a stand-in records service.
type testbed struct {
	*service
	engine  *engineStandin
	records *recordsStandin
}

func newTestbed(t *testing.T, change func(object)) *testbed { return newTestbedWithLog(t, nil, change) }

// newTestbedWithLog is newTestbed with the service's log written to a file or pipe.
func newTestbedWithLog(t *testing.T, log *os.File, change func(object)) *testbed {
	w := &testbed{engine: newEngineStandin(t), records: newRecordsStandin(t)}
	w.service = startServiceWithLog(t, "", log, func(cfg object) {
		cfg["engine"], cfg["records"] = w.engine.addr, w.records.addr
		if change != nil {
			change(cfg)
		}
	})
	w.awaitReady()
	return w
}

// readLineProtocol reads lines of space-separated words. After a line for which long reports true, it reads a
// payload whose length is the line's last word. It returns at an empty line, which none of these protocols has:
// it comes from a client that is not the program under test.
func readLineProtocol(c net.Conn, long func([]string) bool, handle func(words []string, payload []byte)) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			return
		}
		var payload []byte
		if long(words) {
			n, _ := strconv.Atoi(words[len(words)-1])
			payload = make([]byte, n+2)
			if _, err := io.ReadFull(r, payload); err != nil {
				return
			}
			payload = payload[:n]
		}
		handle(words, payload)
	}
}

// startTCPServer serves connections on a free loopback address, which it returns.
func startTCPServer(t *testing.T, serve func(net.Conn)) string {
	ln, err := testrig.ListenFree()
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

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

func countWithPrefix(lines []string, prefix string) (n int) {
	for _, l := range lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

// recordsStandin stands in for the records service. reply selects how it answers calls. A text that is not a
// word of the protocol is sent as it is, with the call's trace id in place of %s.
type recordsStandin struct {
	addr          string
	mu            sync.Mutex
	reply         string
	nextReply     string // replaces reply for one call
	receivedLines []string
	acceptedConns int
	closedConns   int // accepted connections that have been closed
	lastConn      net.Conn
	lastTrace     string // trace id of the latest call
}

// replyToLast sends the reply to the latest call, which was not answered before.
func (r *recordsStandin) replyToLast(body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.lastConn, "%s DONE %d\r\n%s\r\n", r.lastTrace, len(body), body)
}

func newRecordsStandin(t *testing.T) *recordsStandin {
	r := &recordsStandin{reply: "DONE"}
	r.addr = startTCPServer(t, func(c net.Conn) {
		r.increment(&r.acceptedConns)
		defer r.increment(&r.closedConns)
		readLineProtocol(c, func(w []string) bool { return w[0] == "OP" }, func(w []string, body []byte) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.receivedLines = append(r.receivedLines, strings.Join(w, " "))
			if w[0] != "OP" {
				return
			}
			r.lastConn, r.lastTrace = c, w[1]
			reply := cmp.Or(r.nextReply, r.reply)
			r.nextReply = ""
			switch reply {
			case "DONE":
				fmt.Fprintf(c, "%s DONE %d\r\n%s\r\n", w[1], len(body)+6, "reply:"+string(body))
			case "WAIT", "ERROR", "PAST", "EMPTY":
				fmt.Fprintf(c, "%s %s\r\n", w[1], reply)
			case "break":
				c.Close()
			case "silence":
			default:
				reply, cut := strings.CutPrefix(reply, "cut:") // the connection is closed after the reply
				if strings.Contains(reply, "%") {
					reply = fmt.Sprintf(reply, w[1])
				}
				io.WriteString(c, reply)
				if cut {
					c.Close()
				}
			}
		})
	})
	return r
}

func (r *recordsStandin) increment(n *int) {
	r.mu.Lock()
	*n++
	r.mu.Unlock()
}

func (r *recordsStandin) closedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closedConns
}

func (r *recordsStandin) setNextReply(reply string) {
	r.mu.Lock()
	r.nextReply, r.reply = reply, "DONE"
	r.mu.Unlock()
}

func (r *recordsStandin) setReply(reply string) {
	r.mu.Lock()
	r.reply = reply
	r.mu.Unlock()
}

func (r *recordsStandin) countReceived(prefix string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return countWithPrefix(r.receivedLines, prefix)
}
