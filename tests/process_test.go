// Package tests starts the built program as a process and talks to it as its callers and its servers do.
package tests

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
