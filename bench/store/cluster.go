package main

import (
	"encoding/json"
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"

	"oxbowbridge/internal/testrig"
)

// benchT implements testrig.T outside of a test. A failure panics, which aborts the measurement of the
// current build.
type benchT struct {
	dir      string
	cleanups []func()
}

// Helper does nothing.
func (b *benchT) Helper() {}

// Logf writes a message to the standard logger.
func (b *benchT) Logf(format string, args ...any) { log.Printf(format, args...) }

// Cleanup registers a function that is called when the measurement has ended.
func (b *benchT) Cleanup(cleanup func()) { b.cleanups = append(b.cleanups, cleanup) }

// Fatalf aborts the measurement of the current build with a panic.
func (b *benchT) Fatalf(format string, args ...any) { panic(fmt.Errorf(format, args...)) }

// TempDir creates a directory that is removed when the measurement has ended.
func (b *benchT) TempDir() string {
	dir, err := os.MkdirTemp(b.dir, "")
	if err != nil {
		panic(err)
	}
	return dir
}

// daemon is a running oxbowbridge process of one build.
type daemon struct{ *exec.Cmd }

// Signal implements testrig.Process.
func (d daemon) Signal(sig os.Signal) error { return d.Process.Signal(sig) }

// Kill sends SIGKILL to the process and waits until it has exited.
func (d daemon) Kill() {
	d.Process.Kill()
	d.Wait()
}

// Log returns an empty string because the benchmark does not capture the daemon's log output.
func (d daemon) Log() string { return "" }

// withCluster runs a measurement on a new cluster of processes of one build.
func (b *bench) withCluster(built build, nodes int, measure func(*testrig.Cluster) error) (err error) {
	tb := &benchT{}
	if tb.dir, err = os.MkdirTemp("", "store-bench"); err != nil {
		return err
	}
	defer os.RemoveAll(tb.dir)
	defer func() {
		for _, cleanup := range tb.cleanups {
			cleanup()
		}
		if failure := recover(); failure != nil {
			err = fmt.Errorf("%v", failure)
		}
	}()
	c := testrig.NewCluster(tb, nodes, nodes)
	c.Launch = func(node int, store map[string]any) testrig.Process {
		d, err := b.launch(tb, c.Peers[node].Name, built, store)
		if err != nil {
			tb.Fatalf("start daemon: %v", err)
		}
		return d
	}
	defer c.KillAll()
	c.Bootstrap()
	return measure(c)
}

// launch starts a daemon with the benchmark's configuration and the given store section.
func (b *bench) launch(tb *benchT, node string, built build, store map[string]any) (testrig.Process, error) {
	var config map[string]any
	if err := json.Unmarshal(b.config, &config); err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	config["name"] = node
	config["listen"] = testrig.FreeAddr(tb)
	config["engine"] = testrig.FreeAddr(tb)
	config["store"] = store
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(tb.dir, node+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(built.path)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return daemon{cmd}, nil
}
