package tests

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendRequest sends one request on a new FastCGI connection.
func (w *testbed) sendRequest(class, body string) (response, error) {
	return w.sendFCGI("/call/"+class, requestHeaders(newTraceID()), body)
}

func (w *testbed) sendFCGI(path string, fields map[string]string, body string) (response, error) {
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(w.t, err)
	defer c.Close()
	return c.do(path, fields, []byte(body))
}

func (w *testbed) responseStatus(class, body string) int {
	a, err := w.sendRequest(class, body)
	require.NoError(w.t, err)
	return a.status
}

// TestFastCGIRecords: records arrive in fragments and several at once. A connection may have at most 32 open
// requests, responses come in any order, and only idle connections are closed.
func TestFastCGIRecords(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) {
		cfg["settings"].(object)["family_info"].(object)["idle_ns"] = 10e6 // idle timeout shorter than the runs below
		cfg["settings"].(object)["family_info"].(object)["memory_kb"] = 4000
		cfg["settings"].(object)["family_info"].(object)["cores"] = 40
	})
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	var all []byte
	for id := range uint16(33) {
		all = append(all, fcgiRequest(id+1, "/call/nom-submit", requestHeaders(newTraceID()), []byte("hold"))...)
	}
	for ; len(all) > 0; all = all[min(len(all), 1000):] { // writes fragments that do not match records
		_, err := c.Write(all[:min(len(all), 1000)])
		require.NoError(t, err)
	}
	id, _, proto, err := c.readResponse()
	require.NoError(t, err)
	assert.Equal(t, []int{33, 2}, []int{int(id), int(proto)}, "the 33rd request gets OVERLOADED")
	await(t, "32 runs to start", func() bool { return w.engine.heldRuns() == 32 })
	time.Sleep(1200 * time.Millisecond) // the time of two scans for idle connections
	w.engine.releaseHeld()
	seen := map[uint16]bool{}
	for range 32 {
		id, a, proto, err := c.readResponse()
		require.NoError(t, err)
		assert.Equal(t, []int{200, 0}, []int{a.status, int(proto)})
		assert.False(t, seen[id])
		seen[id] = true
	}
	_, _, _, err = c.readResponse()
	assert.ErrorContains(t, err, "EOF", "closed once idle")
}

// TestFastCGIBadInput: malformed input fails its request or closes its connection, with one log line.
func TestFastCGIBadInput(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	big := bytes.Repeat([]byte("x"), 3000)
	negativeReserve := requestHeaders(newTraceID())
	negativeReserve["Reserve-Kb"] = "-1"
	for _, tt := range []struct {
		path   string
		fields map[string]string
		body   []byte
		status int
		logs   string
	}{
		{"/call/nom-submit", requestHeaders(newTraceID()), big, 413, "body exceeds"},
		{"/call/other", requestHeaders(newTraceID()), nil, 400, "no such class"},
		{"/call/nom-submit", map[string]string{"Trace-Id": "xyz"}, nil, 400, "Trace-Id"},
		{"/call/nom-submit", negativeReserve, nil, 400, "Reserve-Kb"},
	} {
		a, err := c.do(tt.path, tt.fields, tt.body)
		require.NoError(t, err)
		assert.Equal(t, tt.status, a.status)
		await(t, tt.logs, func() bool { return strings.Count(w.log(), tt.logs) == 1 })
	}
	a, err := c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
	require.NoError(t, err, "the connection stays open")
	assert.Equal(t, 200, a.status)
	_, err = c.Write(fcgiRecord(1, 7, []byte{0, 9, 1, 0, 0, 0, 0, 0}))
	require.NoError(t, err)
	_, _, proto, err := c.readResponse()
	require.NoError(t, err)
	assert.EqualValues(t, 3, proto, "UNKNOWN_ROLE")
	_, err = c.Write(fcgiRecord(9, 0, []byte("\x0f\x00FCGI_MPXS_CONNS")))
	require.NoError(t, err)
	_, a, proto, err = c.readResponse()
	require.NoError(t, err)
	assert.EqualValues(t, 10, proto)
	assert.Contains(t, a.body, "FCGI_MPXS_CONNS1")
	_, err = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	_, _, _, err = c.readResponse()
	assert.Error(t, err, "closed")
	await(t, "one log line on the malformed input", func() bool {
		return strings.Count(w.log(), `"malformed input, connection closed","name":"n3","protocol":"FastCGI"`) == 1
	})
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
}

// TestSlowReader: a caller that does not read its responses delays no other caller.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	slow, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	slow.Conn.(*net.TCPConn).SetReadBuffer(1)
	for id := range uint16(10) {
		_, err = slow.Write(fcgiRequest(id+1, "/call/nom-submit", requestHeaders(newTraceID()), []byte("ok")))
		require.NoError(t, err)
	}
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	for range 10 {
		_, a, _, err := slow.readResponse()
		require.NoError(t, err)
		assert.Equal(t, 200, a.status)
	}
}

// TestArrival: Accepted-At-Ms sets the arrival time, from which the deadline is measured.
func TestArrival(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	for i, ago := range []time.Duration{-time.Minute, 0, 6 * time.Second, 11 * time.Second} { // measured against a deadline of 12 s; a time in the future counts as now
		fields := requestHeaders(newTraceID())
		fields["Accepted-At-Ms"] = strconv.FormatInt(time.Now().Add(-ago).UnixMilli(), 10)
		_, err := c.Write(fcgiRequest(uint16(i+1), "/call/nom-submit", fields, []byte("silence")))
		require.NoError(t, err)
	}
	await(t, "four runs to start", func() bool { return w.engine.countReceived("RUN") == 4 })
	fields := requestHeaders(newTraceID())
	fields["Accepted-At-Ms"] = strconv.FormatInt(time.Now().Add(-time.Minute).UnixMilli(), 10)
	expired, err := w.sendFCGI("/call/nom-submit", fields, "ok")
	require.NoError(t, err)
	assert.Equal(t, 503, expired.status, "past its deadline: not run")
	assert.Equal(t, 4, w.engine.countReceived("RUN"))
	for _, want := range []uint16{4, 3} { // in order of deadlines, the reverse of the order of reading
		id, a, _, err := c.readResponse()
		require.NoError(t, err)
		assert.Equal(t, []int{int(want), 500}, []int{int(id), a.status})
	}
}

// TestAJPCallers covers CPING, bodies in chunks, secrets, and messages that are not requests.
func TestAJPCallers(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	dial := func() *ajpConn {
		c, err := dialAJP(w.ajpAddr)
		require.NoError(t, err)
		return c
	}
	c := dial()
	c.Write(append(ajpPacket("\x12\x34", []byte{7}), ajpPacket("\x12\x34", []byte{10})...)) // types 7 SHUTDOWN and 10 CPING
	p, err := c.readPacket()
	require.NoError(t, err)
	assert.Equal(t, []byte{9}, p)
	trace := newTraceID()
	c.Write(ajpForwardRequest("/call/nom-submit", "s3", requestHeaders(trace), -1)) // without a Content-Length the service asks for the body
	a, err := c.readResponse([]byte("ok"))
	require.NoError(t, err)
	assert.Equal(t, "result of "+trace, a.body)
	a, err = c.do("/call/nom-submit", requestHeaders(newTraceID()), append([]byte("ok"), bytes.Repeat([]byte(" "), 2000)...))
	require.NoError(t, err)
	assert.Equal(t, 500, a.status, "a body in three chunks, which the engine stand-in does not handle")
	a, err = c.do("/ping", nil, nil)
	require.NoError(t, err)
	assert.Equal(t, 200, a.status)
	a, err = c.do("/call/nom-submit", requestHeaders(newTraceID()), bytes.Repeat([]byte("x"), 3000))
	require.NoError(t, err)
	assert.Equal(t, 413, a.status)
	for _, secret := range []string{"", "wrong"} {
		c = dial()
		c.secret = secret
		a, err = c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
		require.NoError(t, err)
		assert.Equal(t, 403, a.status)
	}
	c = dial()
	lost := newTraceID()
	c.Write(append(ajpForwardRequest("/call/nom-submit", "s3", requestHeaders(lost), 10), ajpBodyChunk([]byte("ok"))...))
	p, err = c.readPacket()
	require.NoError(t, err)
	assert.EqualValues(t, 6, p[0], "GET_BODY_CHUNK")
	c.Close() // disconnects in the middle of the body
	c = dial()
	c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_, err = c.readPacket()
	assert.Error(t, err, "closed")
	await(t, "one log line on the malformed input", func() bool {
		return strings.Count(w.log(), `"malformed input, connection closed","name":"n3","protocol":"AJP"`) == 1
	})
	w.terminate()
	assert.Zero(t, w.engine.countReceived("RUN "+lost))
}

// requireStartRefused starts the program with an invalid configuration. It must exit with code 2 and one log
// line that contains want.
func requireStartRefused(t *testing.T, want string, change func(object)) {
	s := startService(t, func(c object) {
		c["engine"] = "127.0.0.1:1"
		change(c)
	})
	select {
	case err := <-s.exit:
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit, want)
		assert.Equal(t, 2, exit.ExitCode(), want)
	case <-time.After(awaitTimeout):
		t.Fatal("process has not exited: ", want)
	}
	assert.Equal(t, 1, strings.Count(s.log(), "\n"), s.log())
	assert.Contains(t, s.log(), want)
}

// TestConfiguration: an invalid configuration is reported in one line that names the field.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	for want, change := range map[string]func(object){
		"listen: ":       func(c object) { c["listen"] = "nowhere" },
		"engine: ":       func(c object) { delete(c, "engine") },
		"stop_ms: ":      func(c object) { c["stop_ms"] = 3 },
		"limits.sockets": func(c object) { c["limits"].(object)["sockets"] = "many" },
		"settings: classes": func(c object) {
			c["settings"].(object)["classes"] = []object{}
		},
		"settings: family_info.halt": func(c object) { c["settings"].(object)["family_info"].(object)["halt"] = "stop" },
		"ajp.secret":                 func(c object) { c["ajp"] = object{"listen": "0.0.0.0:8009"} },
		"ajp.secret: ":               func(c object) { c["ajp"] = object{"listen": ":8009"} }, // listens on all addresses
		"ajp.upstreams":              func(c object) { c["ajp"] = object{"upstreams": []string{"127.0.0.1:1"}} },
	} {
		requireStartRefused(t, want, change)
	}
	path := filepath.Join(t.TempDir(), "c.json")
	require.NoError(t, os.WriteFile(path, []byte("{"), 0o600))
	cmd := exec.Command(programPath)
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
	out, err := cmd.CombinedOutput()
	assert.Error(t, err)
	assert.Equal(t, "oxbowbridge: configuration: unexpected end of JSON input\n", string(out))
}

// newRegistryStandin starts a stand-in service registry. next returns the next report that it receives.
func newRegistryStandin(t *testing.T) (addr string, next func() string) {
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { udp.Close() })
	return udp.LocalAddr().String(), func() string {
		b := make([]byte, 100)
		udp.SetReadDeadline(time.Now().Add(awaitTimeout))
		n, _, err := udp.ReadFrom(b)
		require.NoError(t, err)
		return string(b[:n])
	}
}

// TestDirectoryListens: if the registry's endpoint list follows readiness, a drain is reported repeatedly,
// because reports may get lost, and the service is never reported as open again.
func TestDirectoryListens(t *testing.T) {
	t.Parallel()
	addr, next := newRegistryStandin(t)
	w := newTestbed(t, func(cfg object) {
		cfg["lookup"] = addr
		cfg["settings"].(object)["family_info"].(object)["readiness"] = true
	})
	require.Equal(t, "PULSE n3 open", next())
	got := w.sendAsync("nom-submit", newTraceID(), "hold")
	await(t, "a run to start", func() bool { return w.engine.heldRuns() == 1 })
	require.NoError(t, w.cmd.Process.Signal(os.Interrupt))
	for s := next(); s != "PULSE n3 closed"; s = next() {
		require.Equal(t, "PULSE n3 open", s)
	}
	for range 5 {
		require.Equal(t, "PULSE n3 closed", next())
	}
	w.engine.releaseHeld()
	assert.Equal(t, 200, (<-got).status)
	w.requireCleanExit()
}

// TestDirectory covers the reports while the service is open, and the last one after the termination signal.
func TestDirectory(t *testing.T) {
	t.Parallel()
	addr, next := newRegistryStandin(t)
	w := newTestbed(t, func(cfg object) { cfg["lookup"] = addr })
	for i := range 3 {
		require.Equal(t, "PULSE n3 open", next(), fmt.Sprint(i))
	}
	require.NoError(t, w.cmd.Process.Signal(os.Interrupt))
	for s := next(); s != "PULSE n3 closed"; s = next() {
		require.Equal(t, "PULSE n3 open", s)
	}
	w.requireCleanExit()
}
