// The rig is what the drivers of the second review share: it starts the project's programs with the
// commands of the deploy file, on free loopback ports and with a temporary folder, writes record.txt,
// and ends every process that it started.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a driver.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNoRun  = 2 // the case could not run
)

// hardLimit ends a driver that hangs, before the 120 s of a case are over.
const hardLimit = 112 * time.Second

// rig is the state of one run of a case.
type rig struct {
	root    string // the project's folder
	dir     string // the temporary folder of this run
	trouble bool   // false with TROUBLE=0
	record  *os.File
	started time.Time

	taken map[string]bool // addresses that freeAddress has returned

	mu    sync.Mutex
	procs []*proc
	next  int // number of the next process's log file
}

// proc is one process that the rig started.
type proc struct {
	name   string
	cmd    *exec.Cmd
	log    string // path of its output
	exited chan struct{}
	err    error // valid once exited is closed
}

// couldNotRun is thrown by fail and caught by runCase.
type couldNotRun struct{ reason string }

// runCase runs a case in the folder of its run.sh, and exits with the case's code. play returns the
// ways in which the rule was broken.
func runCase(play func(*rig) []string) {
	caseDir := os.Getenv("CASE_DIR")
	root, err := os.Getwd()
	if caseDir == "" || err != nil {
		fmt.Fprintln(os.Stderr, "CASE_DIR is not set; start the case with its run.sh")
		os.Exit(exitNoRun)
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	r := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, started: time.Now(), taken: map[string]bool{}}
	r.note("trouble: %v", r.trouble)
	result := make(chan int, 1)
	go func() { result <- r.play(play) }()
	code := exitNoRun
	select {
	case code = <-result:
	case <-time.After(hardLimit):
		r.note("the case did not end in %v", hardLimit)
	}
	r.killAll()
	os.RemoveAll(dir)
	r.note("exit %d", code)
	record.Close()
	os.Exit(code)
}

func (r *rig) play(play func(*rig) []string) (code int) {
	defer func() {
		if thrown := recover(); thrown != nil {
			reason, ok := thrown.(couldNotRun)
			if !ok {
				panic(thrown)
			}
			r.note("COULD NOT RUN: %s", reason.reason)
			code = exitNoRun
		}
	}()
	broken := play(r)
	for _, b := range broken {
		r.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}

// fail ends the case as one that could not run.
func (r *rig) fail(format string, args ...any) { panic(couldNotRun{fmt.Sprintf(format, args...)}) }

// must ends the case as one that could not run if err is not nil.
func (r *rig) must(err error, what string) {
	if err != nil {
		r.fail("%s: %v", what, err)
	}
}

// note writes one line with the time since the start to record.txt and to standard output.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.WriteString(line)
	os.Stdout.WriteString(line)
}

// Ports are taken from below the range from which the system takes those of outgoing connections, so that no
// connection takes a port between its choice and its use.
const (
	lowestPort = 20000
	portCount  = 12000
)

// freeAddress returns a loopback address whose port is free now, another one each time.
func (r *rig) freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		if r.taken[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		r.taken[address] = true
		return address
	}
	r.fail("no free port")
	return ""
}

// runCommand returns the deploy file's command that starts the service.
func (r *rig) runCommand() string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	r.must(err, "deploy file")
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		r.fail("the deploy file has no run command")
	}
	return string(match[1])
}

// start starts a process in the project's folder. Its output goes to a log file. Each process has a group
// of its own, so that what it starts in turn can be ended too.
func (r *rig) start(name string, env []string, argv ...string) *proc {
	r.mu.Lock()
	r.next++
	path := filepath.Join(r.dir, fmt.Sprintf("%02d-%s.log", r.next, name))
	r.mu.Unlock()
	out, err := os.Create(path)
	r.must(err, "log file")
	p := &proc{name: name, log: path, exited: make(chan struct{}), cmd: exec.Command(argv[0], argv[1:]...)}
	p.cmd.Dir = r.root
	p.cmd.Env = append(append([]string{}, os.Environ()...), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	r.must(p.cmd.Start(), "start "+name)
	out.Close()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	return p
}

// startService starts the service with a configuration, by the command of the deploy file.
func (r *rig) startService(name string, config map[string]any) *proc {
	text, err := json.MarshalIndent(config, "", " ")
	r.must(err, "configuration")
	path := r.configPath(name)
	r.must(os.WriteFile(path, text, 0o600), "configuration")
	tmp := filepath.Join(r.dir, name+".tmp")
	r.must(os.MkdirAll(tmp, 0o700), "temporary folder")
	return r.start(name, []string{"BALANCER_CONFIG=" + path, "BALANCER_NAME=", "BALANCER_LISTEN=", "TMPDIR=" + tmp}, "/bin/sh", "-c", r.runCommand())
}

func (r *rig) configPath(name string) string { return filepath.Join(r.dir, name+".json") }

// signal sends a signal to one process that the rig started.
func (p *proc) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// isRunning reports whether the process has not exited.
func (p *proc) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// awaitExit waits until the process has exited.
func (p *proc) awaitExit(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// killAll ends all processes that the rig started, with what they started.
func (r *rig) killAll() {
	r.mu.Lock()
	procs := append([]*proc{}, r.procs...)
	r.mu.Unlock()
	for i := len(procs) - 1; i >= 0; i-- {
		syscall.Kill(-procs[i].cmd.Process.Pid, syscall.SIGKILL)
	}
	for _, p := range procs {
		p.awaitExit(5 * time.Second)
	}
}

// logTail returns the last lines of a process's output that contain one of the words.
func (p *proc) logTail(lines int, words ...string) string {
	text, _ := os.ReadFile(p.log)
	var found []string
	for _, line := range strings.Split(string(text), "\n") {
		for _, w := range words {
			if strings.Contains(line, w) {
				found = append(found, line)
				break
			}
		}
	}
	return strings.Join(found[max(0, len(found)-lines):], "\n")
}

// hasLogged reports whether a process's output contains a text.
func (p *proc) hasLogged(text string) bool {
	out, _ := os.ReadFile(p.log)
	return bytes.Contains(out, []byte(text))
}

// await polls a condition until it holds or the limit has passed.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// operatorConfig returns the operators' example configuration of a service with a store.
func (r *rig) operatorConfig(file string) map[string]any {
	text, err := os.ReadFile(filepath.Join(r.root, file))
	r.must(err, file)
	var config map[string]any
	r.must(json.Unmarshal(text, &config), file)
	return config
}

// storeNode is one service with a node of the replicated store.
type storeNode struct {
	name, raft, admin, listen string
	dir                       string
	config                    map[string]any
	proc                      *proc
}

// newCluster returns three services with a store, which are not started yet. change may alter the
// configuration of each.
func (r *rig) newCluster(engine string, change func(*storeNode)) []*storeNode {
	var nodes []*storeNode
	for i := range 3 {
		n := &storeNode{name: fmt.Sprintf("desk-%d", i+1), raft: r.freeAddress(), admin: r.freeAddress(), listen: r.freeAddress()}
		n.dir = filepath.Join(r.dir, n.name+".store")
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.config = r.operatorConfig("deploy/operator.json")
		n.config["name"], n.config["listen"], n.config["engine"] = n.name, n.listen, engine
		n.config["records"], n.config["lookup"] = r.freeAddress(), r.freeAddress()
		delete(n.config, "ajp")
		var peers []any
		for _, p := range nodes {
			peers = append(peers, map[string]any{"name": p.name, "raft": p.raft, "admin": p.admin})
		}
		n.config["store"] = map[string]any{"node": n.name, "dir": n.dir, "peers": peers}
		if change != nil {
			change(n)
		}
	}
	return nodes
}

func (r *rig) startNode(n *storeNode) { n.proc = r.startService(n.name, n.config) }

// adminList returns the admin addresses for the flag --nodes.
func adminList(nodes []*storeNode) string {
	var list []string
	for _, n := range nodes {
		list = append(list, n.admin)
	}
	return strings.Join(list, ",")
}

// call sends a request to a node's admin port, and returns the status code (0 without an answer) and the body.
func call(method, address, path string, body []byte, limit time.Duration) (int, string) {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, strings.TrimSpace(string(text))
}

// leader returns the node that says of itself that it leads, nil if there is none.
func leader(nodes []*storeNode) *storeNode {
	for _, n := range nodes {
		if n.proc == nil || !n.proc.isRunning() {
			continue
		}
		var status struct {
			State string `json:"state"`
		}
		code, text := call("GET", n.admin, "/status", nil, time.Second)
		if code == 200 && json.Unmarshal([]byte(text), &status) == nil && status.State == "Leader" {
			return n
		}
	}
	return nil
}

// awaitWritable waits until the store takes writes.
func (r *rig) awaitWritable(nodes []*storeNode, limit time.Duration) {
	ok := await(limit, func() bool {
		code, _ := call("PUT", nodes[0].admin, "/store/review/ready", []byte("true"), 2*time.Second)
		return code == 204
	})
	if !ok {
		r.fail("the store took no write in %v", limit)
	}
}

// cli runs the program's command line to its end, and returns its output.
func (r *rig) cli(limit time.Duration, input string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(r.root, "bin", "oxbowbridge"), args...)
	cmd.Dir = r.root
	cmd.Stdin = strings.NewReader(input)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		return "", err
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		return strings.TrimSpace(out.String()), err
	case <-time.After(limit):
		cmd.Process.Kill()
		<-done
		return strings.TrimSpace(out.String()), errors.New("not done in " + limit.String())
	}
}
