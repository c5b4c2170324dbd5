package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// errNotRun marks a failure of the set-up, for which a script exits with 2.
var errNotRun = errors.New("the case could not run")

// freeAddr returns a free loopback address.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

type object = map[string]any

// baseConfig returns the project's example configuration.
func baseConfig(root string) (object, error) {
	text, err := os.ReadFile(filepath.Join(root, "examples", "config.json"))
	if err != nil {
		return nil, err
	}
	var c object
	return c, json.Unmarshal(text, &c)
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	// The file is replaced in one step, so that no reader sees half of it.
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// runCommand returns the command with which the deploy file starts the service.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no run")
	}
	return string(m[1]), nil
}

// process is one process of the program, started with the deploy file's command.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

var started struct {
	sync.Mutex
	list []*process
}

func startService(root, config, logFile string) (*process, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.exited)
	}()
	started.Lock()
	started.list = append(started.list, p)
	started.Unlock()
	return p, nil
}

func (p *process) signal(s os.Signal) { p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// killAll ends every process that this program started.
func killAll() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.list {
		if p.running() {
			p.kill()
		}
	}
}

// await polls until ok returns true.
func await(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s within %v", errNotRun, what, limit)
}
