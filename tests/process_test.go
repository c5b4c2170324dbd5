// Package tests starts the real program as a process and talks to it as its
// callers and its servers would.
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

// What the tests use of the rig by a short name.
func await(t *testing.T, what string, ok func() bool) { t.Helper(); testrig.Await(t, what, ok) }

func freeAddr(t *testing.T) string { return testrig.FreeAddr(t) }

var programPath string

func TestMain(m *testing.M) {
	if url := os.Getenv(envLeaseCommandURL); url != "" { // this process is the command of a contender
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

// faultInjectionBuild is the program of the test build, whose folders fail on cue.
var faultInjectionBuild = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(programPath), "faults")
	out, err := exec.Command("go", "build", "-tags", "faults", "-o", path, "../cmd/oxbowbridge").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// deployFileValue is the value of a key of the deploy file: the tests play the program
// that it builds.
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

// settings are those of a small site: 20 requests of 46 kB fill its memory.
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

// service is the program under test.
type service struct {
	t         *testing.T
	cmd       *exec.Cmd
	fcgiAddr  string
	ajpAddr   string
	exit      chan error
	buildPath string // another build
	name      string
	logFile   *os.File // in place of the buffer

	descriptors int           // the process's limit, 0 for that of the tests
	exited      chan struct{} // closed after the end
	cfg         object
	configPath  string
	logBuffer
}

// logBuffer is what a process has written so far.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// Log is what the process has written.
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

// reloadConfig has the program read a changed file, and waits for the line that it
// logs about that.
func (s *service) reloadConfig(change func(object)) string {
	said := func() []string {
		return slices.DeleteFunc(strings.Split(s.log(), "\n"), func(l string) bool { return !strings.Contains(l, `"msg":"configuration `) })
	}
	n := len(said())
	change(s.cfg)
	s.writeConfig()
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGHUP))
	await(s.t, "a line on the configuration", func() bool { return len(said()) > n })
	return said()[n]
}

// startService runs the program with a configuration that change may alter.
func startService(t *testing.T, change func(object)) *service {
	return startServiceBuild(t, "", change)
}

// startServiceBuild runs another build of the program.
func startServiceBuild(t *testing.T, build string, change func(object)) *service {
	return startServiceWithLog(t, build, nil, change)
}

// testDescriptors is a field that a test may add to a configuration, and that the program
// never sees: the limit on descriptors under which its process is started.
const testDescriptors = "test_descriptors"

// startServiceWithLog runs a build with its log going to a file or pipe in place of the buffer.
func startServiceWithLog(t *testing.T, build string, log *os.File, change func(object)) *service {
	s := &service{t: t, buildPath: build, fcgiAddr: freeAddr(t), ajpAddr: freeAddr(t)}
	cfg := object{"name": "n3", "listen": s.fcgiAddr, "seed": "8c1f30d27a5be964", "stop_ms": 4000,
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": settings(), "ajp": object{"listen": s.ajpAddr, "secret": "s3"}}
	change(cfg)
	s.name = fmt.Sprint(cfg["name"])
	cfg["name"] = "in-the-file" // the environment's goes before it
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

// startProcess starts the process, also once more after its end.
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
	running, exit, gone := s.cmd, s.exit, s.exited
	go func() { exit <- running.Wait(); close(gone) }()
}

// Signal sends one.
func (s *service) Signal(sig os.Signal) error { return s.cmd.Process.Signal(sig) }

// Kill ends it, and waits for its end.
func (s *service) Kill() {
	s.cmd.Process.Kill()
	<-s.exited
}

// awaitReady waits until health checks are good.
func (s *service) awaitReady() {
	await(s.t, "a good health check", func() bool {
		c, err := dialFCGI(s.fcgiAddr)
		if err != nil {
			return false
		}
		defer c.Close()
		a, err := c.do("/ping", nil, nil)
		return err == nil && a.status == 200
	})
}

// awaitDrainStarted waits until the service has taken note that it will be stopped.
func (s *service) awaitDrainStarted() {
	await(s.t, "the notice", func() bool { return strings.Contains(s.log(), `"msg":"drain started"`) })
}

// terminate sends the notice and waits for the end, which must be in time and good.
func (s *service) terminate() {
	require.NoError(s.t, s.cmd.Process.Signal(syscall.SIGTERM))
	s.requireCleanExit()
}

func (s *service) requireCleanExit() {
	select {
	case err := <-s.exit:
		require.NoError(s.t, err, "exit code")
	case <-time.After(4 * time.Second): // stop_ms
		s.t.Fatal("still there when it would be killed")
	}
}

// testbed is a service with its engine and records service.
type testbed struct {
	*service
	engine  *engineStandin
	records *recordsStandin
}

func newTestbed(t *testing.T, change func(object)) *testbed { return newTestbedWithLog(t, nil, change) }

// newTestbedWithLog is newWorld with the service's log going to a file or pipe.
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

// readLineProtocol reads lines of words, and the bytes after those that long picks. It ends at an empty line, which nobody sends
// in these protocols: the client is then none of this test's program.
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

// startTCPServer accepts connections on a loopback address.
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

// engineStandin stands in for the engineStandin. A run's body says what becomes of it: "ok"
// and "error" end it, "call" has it stand at a call first, "hold" waits for
// release, "two calls" stands at one, and after the release at another.
type engineStandin struct {
	addr                string
	mu                  sync.Mutex
	conn                net.Conn
	notices             []string
	runCounts           map[string]int // how often each trace began to run
	active              map[string]bool
	callStages          map[string]string // by trace: "two" until the first of two calls has its reply
	heldTraces          []string
	receivedCommands    []string
	ignoresCommands     bool     // reads commands and does nothing
	ignoresStat         bool     // answers no STAT
	ignoresRun          bool     // reads RUN, and begins none
	completesBeforeHalt bool     // runs end well just before their HALT is read
	linksToIgnore       int      // so many of the next links are accepted and then forgotten
	answeredStats       int      // STATs that it answered
	releaseAfterSync    bool     // runs that hold end right after the next STATS sync
	betweenCalls        []string // have the reply to their first call, and wait for release
}

func newEngineStandin(t *testing.T) *engineStandin {
	e := &engineStandin{runCounts: map[string]int{}, active: map[string]bool{}, callStages: map[string]string{}}
	e.addr = e.addListener(t)
	return e
}

// addListener opens one more address of the same engine.
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
	case w[0] == "RUN" && (e.active[w[1]] || e.ignoresRun): // nothing happens
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

// sendNotice sends a numbered sendNotice that ends in a payload, and keeps it.
func (e *engineStandin) sendNotice(format, payload string) {
	n := fmt.Sprintf(format, len(e.notices)+1) + fmt.Sprintf("%d\r\n%s\r\n", len(payload), payload)
	e.notices = append(e.notices, n)
	if w := strings.Fields(n); w[0] == "DONE" {
		delete(e.active, w[2])
	}
	e.conn.Write([]byte(n))
}

// releaseHeld ends all runs that are held, last first.
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

// countReceived counts the commands that start so.
func (e *engineStandin) countReceived(startService string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return countWithPrefix(e.receivedCommands, startService)
}

func countWithPrefix(lines []string, start string) (n int) {
	for _, l := range lines {
		if strings.HasPrefix(l, start) {
			n++
		}
	}
	return n
}

// recordsStandin stands in for the recordsStandin service: reply says how calls end. What is
// no word of the protocol is sent as it is, with the call's trace for %s.
type recordsStandin struct {
	addr          string
	mu            sync.Mutex
	reply         string
	nextReply     string // in its place, for one call
	receivedLines []string
	acceptedConns int
	closedConns   int // of them
	lastConn      net.Conn
	lastTrace     string // latest trace
}

// replyToLast gives the latest call a reply that was held back.
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
				reply, cut := strings.CutPrefix(reply, "cut:") // the connection ends behind it
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

func (r *recordsStandin) countReceived(start string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return countWithPrefix(r.receivedLines, start)
}
