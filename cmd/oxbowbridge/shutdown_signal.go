package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval is the time between the end of a signal check and the start of the next one.
	probeInterval = 25 * time.Millisecond
	// probeTimeout is how long a check waits for the arrival of a probe. Some probes never arrive in a
	// process that was started with probeSignal blocked.
	probeTimeout = time.Second
	// signalSettleTime bounds the delay between the moment when a thread takes a signal and the moment
	// when the Go runtime delivers it, also just after the process was suspended and on a busy machine.
	signalSettleTime = 100 * time.Millisecond
	// probeSignal is the signal that the process sends to itself. The kernel delivers the pending signals
	// of a process in ascending order of their numbers, and the Go runtime does so for the numbers below
	// 32: SIGINT and SIGTERM are delivered before this one. The default action of SIGWINCH is to ignore
	// it, so a probe that is still pending after execve does no harm to the new program.
	probeSignal = syscall.SIGWINCH
)

// shutdownWatcher waits for the shutdown signal, the first SIGTERM or SIGINT, and estimates when that
// signal was sent. Its context ends when the signal is received.
//
// Requests that arrive too long after the signal was sent must not run. A process that was suspended, or
// whose threads wait for a CPU core, handles a signal late, so the time of handling is not a usable
// estimate. The process therefore checks for a pending shutdown signal every probeInterval: it sends
// probes to itself, and a shutdown signal that was sent before a probe is usually delivered before it.
// The estimate is the start of the last check that found no signal and that ended at least
// signalSettleTime before the shutdown signal was received.
type shutdownWatcher struct {
	context.Context // canceled when the shutdown signal is received
	end             context.CancelFunc
	shutdownSignals chan os.Signal
	probes          chan os.Signal
	senders         []func() error // send the probes of one check, in this order
	checks          []signalCheck  // oldest first, never empty; used only by the goroutine of watch
	earliestSentAt  time.Time      // the signal was not sent before this time; set before the context ends
}

// signalCheck is a check that found no shutdown signal.
type signalCheck struct {
	startedAt time.Time // no shutdown signal is known to have been sent before this time
	endedAt   time.Time
}

// watchShutdownSignals handles SIGTERM and SIGINT until the process exits.
func watchShutdownSignals() *shutdownWatcher {
	return startShutdownWatcher(sendProcessProbe, sendMainThreadProbe)
}

// startShutdownWatcher starts a watcher whose checks send their probes with the given functions.
func startShutdownWatcher(senders ...func() error) *shutdownWatcher {
	w := newShutdownWatcher(senders...)
	// os/signal delivers a signal to all registered channels before the next signal.
	signal.Notify(w.shutdownSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(w.probes, probeSignal)
	go w.watch()
	return w
}

// sendProcessProbe sends a probe that any thread may take, like a shutdown signal from outside. If a
// shutdown signal is pending for the process, a thread takes that signal first.
func sendProcessProbe() error { return unix.Kill(os.Getpid(), probeSignal) }

// sendMainThreadProbe sends a probe that only the main thread can take. The kernel prefers that thread
// for signals to the process. A thread that has taken a signal, but waits for a CPU core to deliver it,
// takes no further signal until the first one is delivered.
func sendMainThreadProbe() error { return unix.Tgkill(os.Getpid(), os.Getpid(), probeSignal) }

// newShutdownWatcher returns a watcher that is not registered for signals and not running yet.
func newShutdownWatcher(senders ...func() error) *shutdownWatcher {
	ctx, end := context.WithCancel(context.Background())
	now := time.Now()
	return &shutdownWatcher{
		Context:         ctx,
		end:             end,
		shutdownSignals: make(chan os.Signal, 1),
		probes:          make(chan os.Signal, 1),
		senders:         senders,
		checks:          []signalCheck{{startedAt: now, endedAt: now}},
	}
}

// watch repeats the check until the shutdown signal is received.
func (w *shutdownWatcher) watch() {
	defer w.end()
	for !w.checkAndPause() {
	}
	w.earliestSentAt = settledChecks(w.checks, time.Now())[0].startedAt
}

// checkAndPause performs one check and then waits for probeInterval. It reports whether the shutdown
// signal was received during that time.
func (w *shutdownWatcher) checkAndPause() (received bool) {
	w.dropStrayProbe()
	startedAt := time.Now()
	for _, send := range w.senders {
		if w.probe(send) {
			return true
		}
	}
	endedAt := time.Now()
	w.checks = append(settledChecks(w.checks, endedAt), signalCheck{startedAt, endedAt})
	select {
	case <-w.shutdownSignals:
		return true
	case <-time.After(probeInterval):
		return false
	}
}

// dropStrayProbe drops a probe that arrived after its check, or that another process sent. Otherwise
// the next check would mistake it for its own probe.
func (w *shutdownWatcher) dropStrayProbe() {
	select {
	case <-w.probes:
	default:
	}
}

// probe sends a probe, waits for its arrival, and reports whether the shutdown signal was received by
// then. A probe that can't be sent or doesn't arrive shows no order of signals; the result then depends
// only on whether the shutdown signal was received by the end.
func (w *shutdownWatcher) probe(send func() error) (received bool) {
	if send() == nil {
		select {
		case <-w.shutdownSignals:
			return true
		case <-w.probes:
		case <-time.After(probeTimeout):
		}
	}
	select {
	case <-w.shutdownSignals: // delivered before the probe, or just after it
		return true
	default:
		return false
	}
}

// settledChecks drops the checks before the last one that ended at least signalSettleTime ago. If none
// ended that long ago, it keeps all checks.
func settledChecks(checks []signalCheck, now time.Time) []signalCheck {
	for len(checks) > 1 && now.Sub(checks[1].endedAt) >= signalSettleTime {
		checks = checks[1:]
	}
	return checks
}

// await waits for the shutdown signal or for the close of drainRequested. It returns a time that is not
// later than the sending of the shutdown signal, or the current time for a drain request.
func (w *shutdownWatcher) await(drainRequested <-chan struct{}) time.Time {
	select {
	case <-w.Done():
		return w.earliestSentAt
	case <-drainRequested:
		return time.Now() // a drain request is not a signal and is not delayed
	}
}
