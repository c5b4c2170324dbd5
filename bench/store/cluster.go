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

// rigHost is the testrig.T of a tool: a failure panics, and ends the measurement of a
// build.
type rigHost struct {
	dir      string
	cleanups []func()
}

// Helper does nothing.
func (h *rigHost) Helper() {}

// Logf logs.
func (h *rigHost) Logf(format string, args ...any) { log.Printf(format, args...) }

// Cleanup has a function called when the measurement has ended.
func (h *rigHost) Cleanup(cleanup func()) { h.cleanups = append(h.cleanups, cleanup) }

// Fatalf ends the measurement of this build.
func (h *rigHost) Fatalf(format string, args ...any) { panic(fmt.Errorf(format, args...)) }

// TempDir makes a folder that is removed when the measurement has ended.
func (h *rigHost) TempDir() string {
	dir, err := os.MkdirTemp(h.dir, "")
	if err != nil {
		panic(err)
	}
	return dir
}

// daemon is one process of a build.
type daemon struct{ *exec.Cmd }

// Signal sends a signal.
func (d daemon) Signal(sig os.Signal) error { return d.Process.Signal(sig) }

// Kill ends the process at once, and waits for its end.
func (d daemon) Kill() {
	d.Process.Kill()
	d.Wait()
}

// Log is empty: what a daemon logs is not kept.
func (d daemon) Log() string { return "" }

// withCluster runs a measurement on a new cluster of a build.
func (b *bench) withCluster(built build, nodes int, measure func(*testrig.Cluster) error) (err error) {
	host := &rigHost{}
	if host.dir, err = os.MkdirTemp("", "store-bench"); err != nil {
		return err
	}
	defer os.RemoveAll(host.dir)
	defer func() {
		for _, cleanup := range host.cleanups {
			cleanup()
		}
		if failure := recover(); failure != nil {
			err = fmt.Errorf("%v", failure)
		}
	}()
	c := testrig.NewCluster(host, nodes, nodes)
	c.Launch = func(node int, store map[string]any) testrig.Process {
		d, err := b.launch(host, c.Peers[node].Name, built, store)
		if err != nil {
			host.Fatalf("start: %v", err)
		}
		return d
	}
	defer c.KillAll()
	c.Bootstrap()
	return measure(c)
}

// launch starts a daemon with the configuration of the benchmark and a store section.
func (b *bench) launch(host *rigHost, node string, built build, store map[string]any) (testrig.Process, error) {
	var config map[string]any
	if err := json.Unmarshal(b.config, &config); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	config["name"] = node
	config["listen"] = testrig.FreeAddr(host)
	config["engine"] = testrig.FreeAddr(host)
	config["store"] = store
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(host.dir, node+".json")
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
