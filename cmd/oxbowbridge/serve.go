package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// heapLimitFraction is the fraction of limits.memory_mb that is the soft memory limit of
	// the Go runtime.
	heapLimitFraction = 0.6
	// goThreads is the number of threads that run Go code at the same time: one for the
	// dispatcher and one for the event loop.
	goThreads = 2
)

// serve runs the service until it has drained.
func serve(env func(string) string) error {
	shutdown, hangup := handleSignals()
	cfg, err := readConfig(env)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	debug.SetMemoryLimit(int64(float64(cfg.Limits.MemoryMB) * heapLimitFraction * (1 << 20)))
	runtime.GOMAXPROCS(goThreads)
	level := zap.NewAtomicLevel()
	log := newLogger(level).With(zap.String("name", cfg.Name))
	defer log.Sync()
	node, err := openStoreNode(shutdown, cfg, level, log)
	if err != nil {
		return err
	}
	defer node.close()
	s, err := newService(shutdown, cfg, log)
	if shutdown.Err() != nil && errors.Is(err, syscall.EADDRINUSE) {
		return nil // shut down before the service could listen
	}
	if err != nil {
		return err
	}
	node.publishState(stateOpen)
	agent := openMaintenanceAgent(shutdown, cfg, node, s, log)
	var current atomic.Pointer[config]
	current.Store(cfg)
	// Reload and drain run in separate goroutines: a slow read of the file must not delay the
	// drain, and a reload must take effect during the drain, as requests in flight may need
	// the new addresses.
	go reloadOnHangup(s, hangup, &current, env)
	go drainOnShutdown(shutdown, s, agent, node, &current)
	s.dispatcher.Run()
	return agent.finish(shutdown)
}

// handleSignals registers the signal handlers, which stay in place until the process exits.
// They must be registered first, because SIGHUP may arrive before the file is read or during
// a drain, and SIGTERM may arrive before the service listens and again at any time.
func handleSignals() (shutdown *shutdownWatcher, hangup <-chan os.Signal) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	shutdown = watchShutdownSignals()
	// SIGPIPE is ignored: otherwise a write to the log would end the process after the reader of the log has
	// closed the pipe.
	signal.Ignore(syscall.SIGPIPE)
	return shutdown, hangups
}

// reloadOnHangup reloads the configuration file at each SIGHUP.
func reloadOnHangup(s *service, hangup <-chan os.Signal, current *atomic.Pointer[config], env func(string) string) {
	for range hangup {
		current.Store(s.reload(current.Load(), env))
	}
}

// drainOnShutdown starts the drain at the first shutdown signal or drain request for
// maintenance. It reserves a part of the drain timeout for closing the store.
func drainOnShutdown(shutdown *shutdownWatcher, s *service, agent *maintenanceAgent, node *storeNode, current *atomic.Pointer[config]) {
	signaledAt := shutdown.await(agent.drainRequested)
	node.publishState(stateDraining)
	drainTimeout := time.Duration(current.Load().DrainTimeoutMS) * time.Millisecond
	s.drain(signaledAt, drainTimeout-node.closeTimeout())
}
