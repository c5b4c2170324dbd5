package tests

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// dialAndWrite connects and writes the pieces in the background, until a write fails.
func dialAndWrite(t *testing.T, addr string, pieces ...[]byte) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(awaitTimeout))
	go func() {
		for _, p := range pieces {
			if _, err := c.Write(p); err != nil {
				return
			}
		}
	}()
	return c
}

func mustDialAJP(c *ajpConn, err error) *ajpConn {
	if err != nil {
		panic(err)
	}
	return c
}

// requireClosed requires that the service closes the connection.
func requireClosed(t *testing.T, c net.Conn, what string) {
	_, err := io.Copy(io.Discard, c)
	if networkError := net.Error(nil); errors.As(err, &networkError) {
		require.False(t, networkError.Timeout(), "still open: %s", what)
	}
}

// TestHalfDone: connections that send nothing or an incomplete message are closed; a connection in use is not.
func TestHalfDone(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	fullRequest := fcgiRequest(1, "/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
	forward := ajpForwardRequest("/call/nom-submit", "s3", requestHeaders(newTraceID()), 10)
	var conns []net.Conn
	for _, tt := range []struct {
		addr string
		sent []byte
	}{
		{w.fcgiAddr, nil}, {w.fcgiAddr, fullRequest[:3]}, {w.fcgiAddr, fullRequest[:30]}, {w.fcgiAddr, fullRequest[:len(fullRequest)-11]},
		{w.ajpAddr, nil}, {w.ajpAddr, forward[:3]}, {w.ajpAddr, forward}, {w.ajpAddr, append(forward, ajpBodyChunk([]byte("o"))...)},
	} {
		conns = append(conns, dialAndWrite(t, tt.addr, tt.sent))
	}
	for i, c := range conns {
		requireClosed(t, c, strconv.Itoa(i))
	}
	usedConn, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	for range 3 {
		a, err := usedConn.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
		require.NoError(t, err)
		assert.Equal(t, 200, a.status)
		time.Sleep(1200 * time.Millisecond)
	}
}

// TestCrowd: hundreds of callers that connect and send nothing, or one request, must not keep balancers from
// connecting.
func TestCrowd(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) { cfg["limits"].(object)["sockets"] = 80 }) // about 20 connections per frontend
	for i := range 60 {
		dialAndWrite(t, w.fcgiAddr)
		dialAndWrite(t, w.ajpAddr)
		if i%10 == 9 {
			assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
		}
	}
	for i := range 80 {
		for _, dial := range []func(*service, int) (protocolClient, error){protocolDialers["fastcgi"], protocolDialers["ajp"]} {
			c, err := dial(w.service, i)
			require.NoError(t, err)
			defer c.Close()
			a, err := c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
			require.NoError(t, err, "connection %d, which sends one request and stays open", i)
			assert.Equal(t, 200, a.status)
		}
	}
}

// TestWithoutEnd: endless messages are not read to their end; the connection is closed.
func TestWithoutEnd(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	request := fcgiRequest(1, "/call/nom-submit", requestHeaders(newTraceID()), nil)
	request = request[:len(request)-11] // drops the record that ends the request's input
	repeat := func(b []byte) (all [][]byte) {
		for range (60 << 20) / len(b) {
			all = append(all, b)
		}
		return all
	}
	kb := bytes.Repeat([]byte("x"), 4096)
	for what, pieces := range map[string][][]byte{
		"body":       append([][]byte{request}, repeat(fcgiRecord(5, 1, kb))...),
		"parameters": append([][]byte{fcgiBeginRequest(1)}, repeat(fcgiRecord(4, 1, kb))...),
		"management": repeat(fcgiRecord(77, 0, kb[:8])),
		"no request": repeat(fcgiRecord(5, 9, kb)),
		"aborted":    repeat(append(fcgiBeginRequest(1), fcgiRecord(8, 1, kb)...)),
	} {
		requireClosed(t, dialAndWrite(t, w.fcgiAddr, pieces...), what)
	}
	requireClosed(t, dialAndWrite(t, w.ajpAddr, append([][]byte{ajpForwardRequest("/call/nom-submit", "s3", requestHeaders(newTraceID()), 60<<20)},
		repeat(ajpBodyChunk(kb))...)...), "AJP body")
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	assert.Zero(t, w.engine.countReceived("HALT"))
}

// TestInvalidHeaders: a request with an invalid header fails without running. A connection that sends nothing but such
// requests is closed.
func TestInvalidHeaders(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	runs := w.engine.countReceived("RUN")
	for _, bad := range []string{"Trace-Id=", "Trace-Id=xyz", "Accepted-At-Ms=", "Accepted-At-Ms=soon", "Accepted-At-Ms=-5",
		"Accepted-At-Ms=0", "Accepted-At-Ms=99999999999999999", "Reserve-Kb=", "Reserve-Kb=0", "Reserve-Kb=2000", "Reserve-Kb=nan",
		"Reserve-Kb=1e12", "Reserve-Kb=-40", "Standing=1", "Standing=-1", "Standing=0x0p1", "Expected-Ms=inf", "Expected-Ms=1e99",
		"Is-Retry=yes", "Client-No=-1"} {
		for name, dial := range protocolDialers {
			fields := requestHeaders(newTraceID())
			key, value, _ := strings.Cut(bad, "=")
			fields[key] = value
			c, err := dial(w.service, 0)
			require.NoError(t, err)
			a, err := c.do("/call/nom-submit", fields, []byte("ok"))
			require.NoError(t, err)
			assert.Equal(t, 400, a.status, "%s in %s", bad, name)
			c.Close()
		}
	}
	assert.Equal(t, runs, w.engine.countReceived("RUN"))
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	fields := requestHeaders(newTraceID())
	fields["\x00CONTENT_LENGTH"] = "3" // wrong, as the body has two bytes
	a, err := c.do("/call/nom-submit", fields, []byte("ok"))
	require.NoError(t, err)
	assert.Equal(t, 400, a.status)
	for _, d := range []protocolClient{c, mustDialAJP(dialAJP(w.ajpAddr))} {
		for i := range 20 { // a connection that also sends valid requests stays open
			a, err := d.do("/call/other", requestHeaders(newTraceID()), nil)
			require.NoError(t, err, i)
			assert.Equal(t, 400, a.status)
			a, err = d.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
			require.NoError(t, err, i)
			assert.Equal(t, 200, a.status)
		}
	}
	runs = w.engine.countReceived("RUN")
	for i := 0; ; i++ {
		require.Less(t, i, 100, "a connection with nothing but malformed requests")
		if _, err := c.do("/call/other", requestHeaders(newTraceID()), nil); err != nil {
			break
		}
	}
	assert.Equal(t, runs, w.engine.countReceived("RUN"))
}

// TestUnknownToEngine: a request that the engine does not know fails, and a connection that sends nothing but
// such requests is closed.
func TestUnknownToEngine(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	for name, dial := range protocolDialers {
		c, err := dial(w.service, 0)
		require.NoError(t, err)
		for i := 0; ; i++ {
			require.Less(t, i, 100, name)
			a, err := c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("unknown"))
			if err != nil {
				break
			}
			assert.Equal(t, 500, a.status)
		}
	}
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
}

// TestTakenBack: a run whose connection is lost is stopped, whether or not the settings say that callers report
// cancelled requests.
func TestTakenBack(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	first, second := newTraceID(), newTraceID()
	c := dialAndWrite(t, w.fcgiAddr, fcgiRequest(1, "/call/nom-submit", requestHeaders(first), []byte("hold")))
	d := dialAndWrite(t, w.ajpAddr, append(ajpForwardRequest("/call/nom-submit", "s3", requestHeaders(second), 4), ajpBodyChunk([]byte("hold"))...))
	await(t, "two runs to start", func() bool { return w.engine.heldRuns() == 2 })
	c.Close()
	d.Close()
	await(t, "both runs to be stopped", func() bool {
		return w.engine.countReceived("HALT "+first) == 1 && w.engine.countReceived("HALT "+second) == 1
	})
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
}
