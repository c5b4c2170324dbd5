package tests

import (
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// withDrainGracePeriod sets the time after SIGTERM in which requests still run.
func withDrainGracePeriod(grace time.Duration) func(object) {
	return func(cfg object) {
		cfg["settings"].(object)["safety"].(object)["drain_grace_ns"] = int64(grace)
	}
}

// partialRequest is a request of which the first bytes have been written.
type partialRequest struct {
	*fcgiConn
	trace string
	rest  []byte
}

func (w *testbed) writePartialRequest(acceptedAt time.Time) partialRequest {
	trace := newTraceID()
	fields := requestHeaders(trace)
	fields["Accepted-At-Ms"] = strconv.FormatInt(acceptedAt.UnixMilli(), 10)
	request := fcgiRequest(1, "/call/nom-submit", fields, []byte("ok"))
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	_, err = c.do("/ping", nil, nil)
	require.NoError(w.t, err)
	_, err = c.Write(request[:8])
	require.NoError(w.t, err)
	return partialRequest{c, trace, request[8:]}
}

// finish writes the rest of the request and returns the status of the response.
func (h partialRequest) finish(t *testing.T) int {
	_, err := h.Write(h.rest)
	require.NoError(t, err)
	_, a, _, err := h.readResponse()
	require.NoError(t, err)
	return a.status
}

// TestNoticeDuringStandstill: SIGTERM arrives while the process is stopped. The grace period starts at the
// signal, not when the process continues, so a request after the grace period does not run.
func TestNoticeDuringStandstill(t *testing.T) {
	t.Parallel()
	const grace = 500 * time.Millisecond
	w := newTestbed(t, withDrainGracePeriod(grace))
	late := w.writePartialRequest(time.Now().Add(30 * time.Second)) // a time in the future counts as the time of reading
	require.NoError(t, w.Signal(syscall.SIGSTOP))
	require.NoError(t, w.Signal(syscall.SIGTERM))
	time.Sleep(grace + 100*time.Millisecond)
	require.NoError(t, w.Signal(syscall.SIGCONT))
	w.awaitDrainStarted()
	assert.Equal(t, 503, late.finish(t))
	assert.Zero(t, w.engine.countReceived("RUN "+late.trace))
	w.requireCleanExit()
}

// TestLastByteAfterGrace: a request whose Accepted-At-Ms is before SIGTERM, but whose last byte arrives after
// the grace period, must not run. The service only knows when it read the bytes.
func TestLastByteAfterGrace(t *testing.T) {
	t.Parallel()
	const grace = 300 * time.Millisecond
	w := newTestbed(t, withDrainGracePeriod(grace))
	slow := w.writePartialRequest(time.Now())
	require.NoError(t, w.Signal(syscall.SIGTERM))
	time.Sleep(grace + 100*time.Millisecond)
	assert.Equal(t, 503, slow.finish(t))
	assert.Zero(t, w.engine.countReceived("RUN "+slow.trace))
	w.requireCleanExit()
}
