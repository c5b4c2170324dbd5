package tests

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requireOrderlyClose requires that the service closes the connection without a reset and without further data.
func requireOrderlyClose(t *testing.T, c net.Conn, r io.Reader) {
	t.Helper()
	rest, err := io.ReadAll(r)
	require.NoError(t, err, "connection reset or still open")
	require.Empty(t, rest, "unexpected data after the pending responses")
}

// fcgiOverloaded is the protocol status OVERLOADED of END_REQUEST.
const fcgiOverloaded byte = 2

// requireOverloaded requires that the next response rejects the request with the given id, which says that it never ran.
func requireOverloaded(t *testing.T, c *fcgiConn, want uint16) {
	t.Helper()
	id, a, protocolStatus, err := c.readResponse()
	require.NoError(t, err, "no response to request %d", want)
	require.Equal(t, want, id)
	require.Equal(t, fcgiOverloaded, protocolStatus)
	require.Zero(t, a.status)
}

// awaitListenersClosed waits until the service refuses connections.
func (s *service) awaitListenersClosed() {
	await(s.t, "the listeners to close", func() bool {
		for _, addr := range []string{s.fcgiAddr, s.ajpAddr} {
			if c, err := net.Dial("tcp", addr); err == nil {
				c.Close()
				return false
			}
		}
		return true
	})
}

// TestFaultLeavesAnswers: a connection closed for malformed input, an incomplete message, a request without
// KEEP_CONN or too many faults must first deliver all pending responses. What can still be read on it must be
// rejected, not dropped: its caller does not know that the connection is about to close.
func TestFaultLeavesAnswers(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	half := fcgiRequest(9, "/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
	withoutKeepConn := fcgiRequest(9, "/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
	withoutKeepConn[10] = 0 // clears KEEP_CONN: the service closes the connection after the response
	var faults []byte
	for id := range uint16(17) {
		faults = append(faults, fcgiRequest(20+id, "/call/other", requestHeaders(newTraceID()), nil)...)
	}
	for what, tt := range map[string]struct {
		followUp        []byte
		responsesBefore int  // number of responses that arrive before that of the held run
		readable        bool // the input can still be read after the fault
	}{
		"garbage":        {[]byte("GET / HTTP/1.1\r\n\r\n"), 0, false},
		"half a record":  {half[:5], 0, false},
		"half a request": {half[:len(half)-11], 0, true},
		"no KEEP_CONN":   {withoutKeepConn, 1, true},
		"faults":         {faults, 17, false},
	} {
		t.Run(what, func(t *testing.T) {
			trace := newTraceID()
			heldBefore, stalledLines := w.engine.heldRuns(), strings.Count(w.log(), "callers stalled")
			c, err := dialFCGI(w.fcgiAddr)
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Write(append(fcgiRequest(1, "/call/nom-submit", requestHeaders(trace), []byte("hold")), tt.followUp...))
			require.NoError(t, err)
			await(t, "the run to start", func() bool { return w.engine.heldRuns() == heldBefore+1 })
			for range tt.responsesBefore {
				id, _, _, err := c.readResponse()
				require.NoError(t, err)
				require.NotEqual(t, uint16(1), id)
			}
			if strings.HasPrefix(what, "half") {
				await(t, "the incomplete message to time out", func() bool { return strings.Count(w.log(), "callers stalled") > stalledLines })
			}
			if what == "half a request" {
				requireOverloaded(t, c, 9)
			}
			lateTrace := newTraceID() // nothing may start on a connection that is about to close
			_, err = c.Write(fcgiRequest(5, "/call/nom-submit", requestHeaders(lateTrace), []byte("ok")))
			require.NoError(t, err)
			if tt.readable {
				requireOverloaded(t, c, 5)
			}
			if what != "garbage" {
				await(t, "the later request to be read", func() bool { return w.responseStatus("nom-submit", "ok") == 200 })
			}
			w.engine.releaseHeld()
			id, a, _, err := c.readResponse()
			require.NoError(t, err, "pending response lost")
			assert.Equal(t, uint16(1), id)
			assert.Equal(t, "result of "+trace, a.body)
			requireOrderlyClose(t, c, c.r)
			assert.Zero(t, w.engine.countReceived("RUN "+lateTrace))
		})
	}
	trace := newTraceID()
	c, err := dialAJP(w.ajpAddr)
	require.NoError(t, err)
	defer c.Close()
	heldBefore := w.engine.heldRuns()
	_, err = c.Write(append(append(ajpForwardRequest("/call/nom-submit", "s3", requestHeaders(trace), 4), ajpBodyChunk([]byte("hold"))...), "garbage"...))
	require.NoError(t, err)
	await(t, "the run to start", func() bool { return w.engine.heldRuns() == heldBefore+1 })
	w.engine.releaseHeld()
	a, err := c.readResponse(nil)
	require.NoError(t, err)
	assert.Equal(t, "result of "+trace, a.body)
	requireOrderlyClose(t, c, c.r)
}

// TestDrainHearsTheHalf: if a request is half written when the drain closes idle connections, its rest is read
// and the response says that it did not run. A request that arrives as its idle connection closes meets no
// reset, and never runs.
func TestDrainHearsTheHalf(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) {
		cfg["settings"].(object)["safety"].(object)["drain_grace_ns"] = 200e6
	})
	trace := newTraceID()
	fields := requestHeaders(trace)
	fields["Accepted-At-Ms"] = strconv.FormatInt(time.Now().Add(30*time.Second).UnixMilli(), 10) // a time in the future counts as the time of reading
	request := fcgiRequest(1, "/call/nom-submit", fields, []byte("ok"))
	half, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	defer half.Close()
	half.do("/ping", nil, nil)
	_, err = half.Write(request[:5]) // even the first record of the request is incomplete
	require.NoError(t, err)
	idle, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	defer idle.Close()
	_, err = idle.do("/ping", nil, nil)
	require.NoError(t, err)
	require.NoError(t, w.Signal(syscall.SIGTERM))
	requireOrderlyClose(t, idle, idle.r) // the connection was idle until the service closed it
	crossingTrace := newTraceID()
	_, err = idle.Write(fcgiRequest(1, "/call/nom-submit", requestHeaders(crossingTrace), []byte("ok")))
	require.NoError(t, err)
	w.awaitListenersClosed()
	_, err = half.Write(request[5:])
	require.NoError(t, err)
	_, a, _, err := half.readResponse()
	require.NoError(t, err)
	assert.Equal(t, 503, a.status)
	requireOrderlyClose(t, half, half.r)
	_, err = idle.Read(make([]byte, 1))
	assert.Equal(t, io.EOF, err, "connection reset")
	w.requireCleanExit() // exits although neither peer has closed its side of the connection
	assert.Zero(t, w.engine.countReceived("RUN "+crossingTrace))
	assert.Zero(t, w.engine.countReceived("RUN "+trace))
}

// TestCutAtEachByte: a request cut off at any byte, by its caller or by the drain, must not run, and the
// service exits cleanly and in time.
func TestCutAtEachByte(t *testing.T) {
	t.Parallel()
	for _, callerEnds := range []bool{true, false} {
		w := newTestbed(t, func(cfg object) {
			cfg["limits"].(object)["sockets"] = 4096
			cfg["settings"].(object)["safety"].(object)["drain_grace_ns"] = 100e6
		})
		runs := w.engine.countReceived("RUN")
		request := fcgiRequest(1, "/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
		forward := append(ajpForwardRequest("/call/nom-submit", "s3", requestHeaders(newTraceID()), 2), ajpBodyChunk([]byte("ok"))...)
		for addr, whole := range map[string][]byte{w.fcgiAddr: request, w.ajpAddr: forward} {
			for n := range whole {
				c, err := net.Dial("tcp", addr)
				require.NoError(t, err)
				defer c.Close()
				_, err = c.Write(whole[:n])
				require.NoError(t, err)
				if callerEnds {
					c.Close()
				}
			}
		}
		assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
		w.terminate()
		assert.Equal(t, runs+1, w.engine.countReceived("RUN"))
	}
}

// TestRestartsUnderLoad: callers send continuously on old and new connections while the service drains. Each
// gets a complete response or an orderly close, never a reset, and no request without a response has run.
func TestRestartsUnderLoad(t *testing.T) {
	t.Parallel()
	for range 3 {
		w := newTestbed(t, func(cfg object) {
			cfg["settings"].(object)["safety"].(object)["drain_grace_ns"] = 100e6
		})
		type outcome struct {
			trace string
			err   error
		}
		lost := make(chan outcome, 100)
		done := make(chan struct{})
		for range 8 {
			go func() {
				defer func() { done <- struct{}{} }()
				for {
					c, err := dialFCGI(w.fcgiAddr)
					if err != nil {
						return // connection refused: nothing ran
					}
					for range 50 {
						trace := newTraceID()
						if _, err = c.do("/call/nom-submit", requestHeaders(trace), []byte("ok")); err != nil {
							lost <- outcome{trace, err}
							break
						}
					}
					c.Close()
				}
			}()
		}
		await(t, "requests to complete", func() bool { return w.engine.countReceived("RUN") > 50 })
		require.NoError(t, w.Signal(syscall.SIGTERM))
		for range 8 {
			<-done
		}
		w.requireCleanExit()
		close(lost)
		for l := range lost {
			assert.ErrorIs(t, l.err, io.EOF, l.trace)
			assert.Zero(t, w.engine.countReceived("RUN "+l.trace), "ran, but its caller got no response")
		}
	}
}

// TestSignalsAtAnyTime covers SIGTERM before the configuration is read, repeated signals, and SIGHUP during the
// drain, after which calls go to the new address.
func TestSignalsAtAnyTime(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	path := filepath.Join(t.TempDir(), "fifo")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	earlyProcess := exec.Command(programPath)
	earlyProcess.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_LISTEN="+freeAddr(t))
	require.NoError(t, earlyProcess.Start())
	defer earlyProcess.Process.Kill()
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program opens the file to read
	require.NoError(t, err)
	require.NoError(t, earlyProcess.Process.Signal(syscall.SIGTERM))
	require.NoError(t, earlyProcess.Process.Signal(syscall.SIGHUP))
	cfg := object{}
	for k, v := range w.cfg {
		cfg[k] = v
	}
	delete(cfg, "ajp")
	cfg["engine"] = newEngineStandin(t).addr
	require.NoError(t, json.NewEncoder(file).Encode(cfg))
	require.NoError(t, file.Close())
	exit := make(chan error, 1)
	go func() { exit <- earlyProcess.Wait() }()
	select {
	case err := <-exit:
		assert.NoError(t, err, "SIGTERM before the configuration was read")
	case <-time.After(awaitTimeout):
		t.Fatal("SIGTERM before the configuration was read, but the process has not exited")
	}

	old, trace := w.records, newTraceID()
	got := w.sendAsync("nom-submit", trace, "hold")
	await(t, "a run to start", func() bool { return w.engine.heldRuns() == 1 })
	require.NoError(t, w.Signal(syscall.SIGTERM))
	w.awaitDrainStarted()
	w.records = newRecordsStandin(t)
	w.reloadConfig(func(cfg object) { cfg["records"] = w.records.addr })
	w.engine.mu.Lock()
	w.engine.sendNotice("NEED %d "+trace+" ", "late call")
	w.engine.mu.Unlock()
	assert.Equal(t, "reply:late call", (<-got).body)
	assert.Equal(t, []int{0, 1}, []int{old.countReceived("OP"), w.records.countReceived("OP")})
	for over := false; !over; {
		for _, sig := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP} {
			err := w.Signal(sig)
			over = over || errors.Is(err, os.ErrProcessDone)
			require.True(t, err == nil || over, err)
		}
	}
	w.requireCleanExit()
}

// TestNoticeDuringReload: SIGTERM arrives while the program reads its configuration from a pipe that never
// ends. The program must drain all the same.
func TestNoticeDuringReload(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	require.NoError(t, os.Remove(w.configPath))
	require.NoError(t, syscall.Mkfifo(w.configPath, 0o600))
	require.NoError(t, w.Signal(syscall.SIGHUP))
	file, err := os.OpenFile(w.configPath, os.O_WRONLY, 0) // blocks until the program opens the file to read
	require.NoError(t, err)
	defer file.Close()
	require.NoError(t, w.Signal(syscall.SIGTERM))
	w.requireCleanExit()
	assert.Contains(t, w.log(), `"msg":"drain finished"`)
}

// TestReadyOnceItServes: health checks fail until the engine has answered, whatever requests arrive.
func TestReadyOnceItServes(t *testing.T) {
	t.Parallel()
	e := newEngineStandin(t)
	e.ignoresCommands = true
	s := startService(t, func(cfg object) { cfg["engine"], cfg["records"] = e.addr, newRecordsStandin(t).addr })
	w := &testbed{service: s, engine: e}
	await(t, "ATTACH", func() bool { return e.countReceived("ATTACH") == 1 })
	got := w.sendAsync("nom-submit", newTraceID(), "ok") // makes the admission controller decide
	await(t, "the request to be read", func() bool { return w.healthStatus() == 503 })
	for range 20 {
		require.Equal(t, 503, w.healthStatus())
	}
	e.mu.Lock()
	e.ignoresCommands = false
	e.mu.Unlock()
	e.handleCommand([]string{"ATTACH", "0"}, nil)
	assert.Equal(t, 200, (<-got).status)
	assert.Equal(t, 200, w.healthStatus())
}

// healthStatus returns the status of a health check.
func (w *testbed) healthStatus() int {
	a, err := w.sendFCGI("/ping", nil, "")
	require.NoError(w.t, err)
	return a.status
}

// TestEngineSilent: an engine link without answers counts as lost after a timeout. Unanswered runs are sent
// again on the next link, except those of at-most-once classes, which the engine may have started.
func TestEngineSilent(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	w.engine.mu.Lock()
	w.engine.ignoresCommands = true
	w.engine.mu.Unlock()
	trace, submit := newTraceID(), newTraceID()
	got, submitResult := w.sendAsync("balance-view", trace, "ok"), w.sendAsync("nom-submit", submit, "ok")
	await(t, "an unanswered RUN", func() bool { return w.engine.countReceived("RUN "+trace) == 1 })
	await(t, "RUN of the at-most-once request", func() bool { return w.engine.countReceived("RUN "+submit) == 1 })
	await(t, "another engine link", func() bool { return w.engine.countReceived("ATTACH") == 2 })
	w.engine.mu.Lock()
	w.engine.ignoresCommands = false
	w.engine.mu.Unlock()
	w.engine.handleCommand([]string{"ATTACH", "0"}, nil)
	assert.Equal(t, "result of "+trace, (<-got).body)
	assert.Equal(t, 1, w.engine.runCounts[trace])
	assert.Equal(t, 500, (<-submitResult).status, "RUN may have been read: not rejected")
	assert.Equal(t, 1, w.engine.countReceived("RUN "+submit))
}

// TestReplyCutShort: a truncated reply of the records service does not show whether the call ran, so only calls
// of idempotent requests are repeated.
func TestReplyCutShort(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	for class, want := range map[string]struct{ status, calls int }{"nom-submit": {500, 1}, "balance-view": {200, 2}} {
		for _, cut := range []string{"%s DONE 40\r\nhalf of it", "%s WA", "%s WAIT\r", "%s DONE 4\r\nfour", "%s"} {
			ops := w.records.countReceived("OP")
			w.records.setNextReply("cut:" + cut)
			assert.Equal(t, want.status, w.responseStatus(class, "call"), "%s %q", class, cut)
			assert.Equal(t, ops+want.calls, w.records.countReceived("OP"), "%s %q", class, cut)
		}
	}
}

// TestDrainAtEachStage: SIGTERM arrives while requests are half read, queued, running, in a call, and answered
// but unread. Each gets exactly one complete response.
func TestDrainAtEachStage(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) { cfg["settings"].(object)["family_info"].(object)["cores"] = 1 })
	dial := func() *fcgiConn {
		c, err := dialFCGI(w.fcgiAddr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	send := func(trace, body string) *fcgiConn {
		c := dial()
		_, err := c.Write(fcgiRequest(1, "/call/nom-submit", requestHeaders(trace), []byte(body)))
		require.NoError(t, err)
		return c
	}
	unread := send(newTraceID(), "ok")
	await(t, "a run to start", func() bool { return w.engine.countReceived("RUN") == 1 })
	w.records.setReply("silence")
	calling := newTraceID()
	called := send(calling, "call")
	await(t, "a call to the records service", func() bool { return w.records.countReceived("OP "+calling) == 1 })
	running := newTraceID()
	ran := send(running, "hold")
	await(t, "a run to start", func() bool { return w.engine.heldRuns() == 1 })
	late := newTraceID()
	queued := send(late, "ok")
	partial := dial()
	last := newTraceID()
	request := fcgiRequest(1, "/call/nom-submit", requestHeaders(last), []byte("ok"))
	_, err := partial.Write(request[:len(request)/2])
	require.NoError(t, err)
	assert.Equal(t, 200, w.healthStatus(), "everything sent before is read")
	require.NoError(t, w.Signal(syscall.SIGTERM))
	w.awaitDrainStarted()
	_, err = partial.Write(request[len(request)/2:])
	require.NoError(t, err)
	w.records.replyToLast("reply")
	w.engine.releaseHeld()
	for what, c := range map[string]*fcgiConn{"unread": unread, "at its call": called, "running": ran, "held": queued, "half": partial} {
		_, a, _, err := c.readResponse()
		require.NoError(t, err, what)
		if what == "held" || what == "half" { // with one core, these two may have been rejected
			assert.Contains(t, []int{200, 503}, a.status, what)
		} else {
			assert.Equal(t, 200, a.status, what)
		}
		requireOrderlyClose(t, c, c.r)
		c.Close()
	}
	w.requireCleanExit()
	for trace, n := range w.engine.runCounts {
		assert.Equal(t, 1, n, trace)
	}
}

// TestHaltCrossesDone: a run that completed before its HALT was read counts as completed. Its caller has
// disconnected, and another attempt with its trace id must not run.
func TestHaltCrossesDone(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	w.engine.mu.Lock()
	w.engine.completesBeforeHalt = true
	w.engine.mu.Unlock()
	trace := newTraceID()
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	_, err = c.Write(fcgiRequest(1, "/call/nom-submit", requestHeaders(trace), []byte("hold")))
	require.NoError(t, err)
	await(t, "a run to start", func() bool { return w.engine.heldRuns() == 1 })
	c.Close()
	await(t, "HALT", func() bool { return w.engine.countReceived("HALT "+trace) == 1 })
	a, err := w.sendFCGI("/call/nom-submit", requestHeaders(trace), "ok")
	require.NoError(t, err)
	assert.Equal(t, 500, a.status, "the run may have taken effect")
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	assert.Equal(t, 1, w.engine.runCounts[trace])
	w.terminate()
}

// TestRoomForOthersFirst: a full connection table closes connections without any data before those with an
// incomplete message, even if these are older.
func TestRoomForOthersFirst(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) { cfg["limits"].(object)["sockets"] = 80 }) // about 20 connections per frontend
	request := fcgiRequest(1, "/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
	half, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	defer half.Close()
	_, err = half.Write(request[:len(request)/2])
	require.NoError(t, err)
	assert.Equal(t, 200, w.healthStatus(), "the first half is read")
	for range 40 { // within the time limit for an incomplete message
		dialAndWrite(t, w.fcgiAddr)
	}
	assert.Equal(t, 200, w.healthStatus(), "the forty connections are accepted")
	_, err = half.Write(request[len(request)/2:])
	require.NoError(t, err)
	_, a, _, err := half.readResponse()
	require.NoError(t, err)
	assert.Equal(t, 200, a.status)
}
