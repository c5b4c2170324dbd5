package main

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig"
)

// startTestWatcher starts a watcher with fake probes. It returns a channel with the send time of each
// probe, one for each check, and a function that delivers a probe. Without a call of that function no
// probe arrives.
func startTestWatcher(t *testing.T) (w *shutdownWatcher, probeTimes <-chan time.Time, deliverProbe func()) {
	t.Helper()
	probes := make(chan time.Time, 100)
	w = newShutdownWatcher(func() error {
		probes <- time.Now()
		return nil
	})
	go w.watch()
	t.Cleanup(func() {
		select {
		case w.shutdownSignals <- syscall.SIGTERM: // ends watch
		default:
		}
	})
	return w, probes, func() { w.probes <- probeSignal }
}

// TestShutdownSignalHandledLate: the shutdown signal is handled long after it was sent. The estimate
// must not be the time of handling, as requests that arrived before that time would run.
func TestShutdownSignalHandledLate(t *testing.T) {
	w, probeTimes, deliverProbe := startTestWatcher(t)
	first := <-probeTimes
	deliverProbe()
	lastDelivered := <-probeTimes
	deliverProbe()
	<-probeTimes
	time.Sleep(2 * signalSettleTime)
	w.shutdownSignals <- syscall.SIGTERM
	got := w.await(nil)
	require.False(t, got.After(lastDelivered), "estimate is after the last probe that arrived was sent")
	require.True(t, got.After(first), "estimate is not after the first probe, earlier than necessary")
}

// TestShutdownSignalAfterProcessStall: checks that ended just after a stall of the process do not count
// yet. The signal may have been sent during the stall, and the thread that took it may still be delayed.
func TestShutdownSignalAfterProcessStall(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var checks []signalCheck
	for _, ms := range []int{0, 25, 50, 400, 400, 401, 425, 450} {
		checks = append(checks, signalCheck{startedAt: at(ms), endedAt: at(ms)})
	}
	require.Equal(t, at(50), settledChecks(checks, at(470))[0].startedAt, "want the last check before the stall")
	require.Equal(t, at(401), settledChecks(checks, at(501))[0].startedAt)
	require.Equal(t, at(0), settledChecks(checks[:1], at(500))[0].startedAt, "want the only check kept")
}

// TestLongSignalCheck: the estimate uses the start of a check, and the settle time counts from its end.
// A probe that arrives late proves nothing about the time after it was sent.
func TestLongSignalCheck(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	checks := []signalCheck{{at(0), at(10)}, {at(35), at(400)}, {at(425), at(430)}}
	require.Equal(t, at(0), settledChecks(checks, at(499))[0].startedAt)
	require.Equal(t, at(35), settledChecks(checks, at(500))[0].startedAt)
	require.Equal(t, at(425), settledChecks(checks, at(530))[0].startedAt)
}

// TestShutdownSignalBeforeProbe: if the shutdown signal and a probe arrive together, the shutdown signal
// was sent first, so the check must not count as one that found no signal.
func TestShutdownSignalBeforeProbe(t *testing.T) {
	for range 50 {
		var w *shutdownWatcher
		w = newShutdownWatcher(func() error {
			w.shutdownSignals <- syscall.SIGTERM
			w.probes <- probeSignal
			return nil
		})
		require.True(t, w.checkAndPause())
		require.Len(t, w.checks, 1, "the check counted as one without a signal")
	}
}

// TestShutdownSignalAfterProbeWasSent: a probe arrives long after it was sent, and the shutdown signal
// was sent in between. The estimate must be the send time of the probe: with the arrival time, requests
// that arrived in between would run.
func TestShutdownSignalAfterProbeWasSent(t *testing.T) {
	w, probeTimes, deliverProbe := startTestWatcher(t)
	<-probeTimes
	signalSentAt := time.Now()
	deliverProbe()
	<-probeTimes
	time.Sleep(2 * signalSettleTime)
	w.shutdownSignals <- syscall.SIGTERM
	require.False(t, w.await(nil).After(signalSentAt))
}

// TestProbeFromAnotherProcess: a probe signal from another process must not count as the probe of the
// next check. Otherwise the estimate for a signal that is handled late would be too late.
func TestProbeFromAnotherProcess(t *testing.T) {
	w, probeTimes, deliverProbe := startTestWatcher(t)
	<-probeTimes
	deliverProbe()
	deliverProbe() // stands for the signal of another process
	secondSentAt := <-probeTimes
	time.Sleep(2 * signalSettleTime)
	require.Empty(t, probeTimes, "a third check started before the second ended")
	w.shutdownSignals <- syscall.SIGTERM
	require.False(t, w.await(nil).After(secondSentAt))
}

// TestShutdownSignalWithoutProbes: a process that is not permitted to signal itself keeps running until
// the shutdown signal. The estimate must then be later than the start of the process.
func TestShutdownSignalWithoutProbes(t *testing.T) {
	var failed atomic.Int64
	w := newShutdownWatcher(func() error {
		failed.Add(1)
		return errors.New("not permitted")
	})
	start := time.Now()
	go w.watch()
	testrig.Await(t, "20 failed probes", func() bool { return failed.Load() >= 20 })
	require.NoError(t, w.Err())
	w.shutdownSignals <- os.Interrupt
	require.True(t, w.await(nil).After(start))
}

// TestProbesNeverArrive: in a process that was started with the probe signal blocked, the estimate must
// be later than the start of the process.
func TestProbesNeverArrive(t *testing.T) {
	w, probeTimes, _ := startTestWatcher(t)
	<-probeTimes
	secondSentAt := <-probeTimes
	<-probeTimes
	time.Sleep(2 * signalSettleTime)
	w.shutdownSignals <- syscall.SIGTERM
	got := w.await(nil)
	require.WithinDuration(t, secondSentAt, got, probeTimeout/2)
	require.False(t, got.After(secondSentAt))
}

// TestRequestedDrain: a drain request is not a signal, so its time is the time at which it is received.
func TestRequestedDrain(t *testing.T) {
	w, _, _ := startTestWatcher(t)
	drainRequested := make(chan struct{})
	close(drainRequested)
	require.WithinDuration(t, time.Now(), w.await(drainRequested), time.Second)
	require.NoError(t, w.Err())
}

// TestProbesWithRealSignals: with real signals both probes of a check arrive, and SIGTERM and SIGINT
// each end the watcher.
func TestProbesWithRealSignals(t *testing.T) {
	for _, shutdownSignal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		var checks atomic.Int64
		w := startShutdownWatcher(sendProcessProbe, func() error {
			checks.Add(1)
			return sendMainThreadProbe()
		})
		startedAt := time.Now()
		testrig.Await(t, "the end of two checks", func() bool { return checks.Load() >= 3 })
		require.Less(t, time.Since(startedAt), 2*probeTimeout, "a probe did not arrive")
		time.Sleep(2 * signalSettleTime)
		signalSentAt := time.Now()
		require.NoError(t, syscall.Kill(os.Getpid(), shutdownSignal))
		got := w.await(nil)
		require.False(t, got.After(signalSentAt))
		require.True(t, got.After(startedAt), "no check has ended")
	}
}

// TestProbeIsDeliveredLast: the number of the probe signal must be above those of SIGTERM and SIGINT, as
// a probe that is delivered before a pending shutdown signal proves nothing. It must be below 32, because
// the Go runtime delivers the pending signals of that range in ascending order.
func TestProbeIsDeliveredLast(t *testing.T) {
	require.Greater(t, probeSignal, syscall.SIGTERM)
	require.Greater(t, probeSignal, syscall.SIGINT)
	require.Less(t, probeSignal, syscall.Signal(32))
}
