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

// raw connects and writes all that it can of what is given.
func raw(t *testing.T, addr string, pieces ...[]byte) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	go func() {
		for _, p := range pieces {
			if _, err := c.Write(p); err != nil {
				return
			}
		}
	}()
	return c
}

func must(c *ajp, err error) *ajp {
	if err != nil {
		panic(err)
	}
	return c
}

// ended waits for the close of the connection.
func ended(t *testing.T, c net.Conn, what string) {
	_, err := io.Copy(io.Discard, c)
	if networkError := net.Error(nil); errors.As(err, &networkError) {
		require.False(t, networkError.Timeout(), "still open: %s", what)
	}
}

// TestHalfDone: connections that say nothing, or never finish what they began,
// are closed; one that is in use is not.
func TestHalfDone(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	whole := fcgiRequest(1, "/call/nom-submit", fieldsOf(newTrace()), []byte("ok"))
	forward := ajpForward("/call/nom-submit", "s3", fieldsOf(newTrace()), 10)
	var conns []net.Conn
	for _, tt := range []struct {
		addr string
		sent []byte
	}{
		{w.fcgi, nil}, {w.fcgi, whole[:3]}, {w.fcgi, whole[:30]}, {w.fcgi, whole[:len(whole)-11]},
		{w.ajp, nil}, {w.ajp, forward[:3]}, {w.ajp, forward}, {w.ajp, append(forward, ajpChunk([]byte("o"))...)},
	} {
		conns = append(conns, raw(t, tt.addr, tt.sent))
	}
	for i, c := range conns {
		ended(t, c, strconv.Itoa(i))
	}
	used, err := dialFCGI(w.fcgi)
	require.NoError(t, err)
	for range 3 {
		a, err := used.do("/call/nom-submit", fieldsOf(newTrace()), []byte("ok"))
		require.NoError(t, err)
		assert.Equal(t, 200, a.status)
		time.Sleep(1200 * time.Millisecond)
	}
}

// TestCrowd: callers that connect by the hundred and say nothing, or ask once and
// stay, keep no balancer out.
func TestCrowd(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(cfg object) { cfg["limits"].(object)["sockets"] = 80 }) // some 20 connections of each front
	for i := range 60 {
		raw(t, w.fcgi)
		raw(t, w.ajp)
		if i%10 == 9 {
			assert.Equal(t, 200, w.status("nom-submit", "ok"))
		}
	}
	for i := range 80 {
		for _, dial := range []func(*service, int) (client, error){protocols["fastcgi"], protocols["ajp"]} {
			c, err := dial(w.service, i)
			require.NoError(t, err)
			defer c.Close()
			a, err := c.do("/call/nom-submit", fieldsOf(newTrace()), []byte("ok"))
			require.NoError(t, err, "the %dth that asks once and stays", i)
			assert.Equal(t, 200, a.status)
		}
	}
}

// TestWithoutEnd: messages that never end are not read to their end.
func TestWithoutEnd(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	request := fcgiRequest(1, "/call/nom-submit", fieldsOf(newTrace()), nil)
	request = request[:len(request)-11] // without the end of its input
	repeat := func(b []byte) (all [][]byte) {
		for range (60 << 20) / len(b) {
			all = append(all, b)
		}
		return all
	}
	kb := bytes.Repeat([]byte("x"), 4096)
	for what, pieces := range map[string][][]byte{
		"body":       append([][]byte{request}, repeat(fcgiRecord(5, 1, kb))...),
		"parameters": append([][]byte{fcgiRecord(1, 1, []byte{0, 1, 1, 0, 0, 0, 0, 0})}, repeat(fcgiRecord(4, 1, kb))...),
		"management": repeat(fcgiRecord(77, 0, kb[:8])),
		"no request": repeat(fcgiRecord(5, 9, kb)),
		"aborted":    repeat(append(fcgiRecord(1, 1, []byte{0, 1, 1, 0, 0, 0, 0, 0}), fcgiRecord(8, 1, kb)...)),
	} {
		ended(t, raw(t, w.fcgi, pieces...), what)
	}
	ended(t, raw(t, w.ajp, append([][]byte{ajpForward("/call/nom-submit", "s3", fieldsOf(newTrace()), 60<<20)},
		repeat(ajpChunk(kb))...)...), "AJP body")
	assert.Equal(t, 200, w.status("nom-submit", "ok"))
	assert.Zero(t, w.engine.heardOf("HALT"))
}

// TestFigures: a request whose fields can't be right is failed and never runs;
// a caller that sends nothing else loses its connection.
func TestFigures(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	runs := w.engine.heardOf("RUN")
	for _, bad := range []string{"Trace-Id=", "Trace-Id=xyz", "Accepted-At-Ms=", "Accepted-At-Ms=soon", "Accepted-At-Ms=-5",
		"Accepted-At-Ms=0", "Accepted-At-Ms=99999999999999999", "Reserve-Kb=", "Reserve-Kb=0", "Reserve-Kb=2000", "Reserve-Kb=nan",
		"Reserve-Kb=1e12", "Reserve-Kb=-40", "Standing=1", "Standing=-1", "Standing=0x0p1", "Expected-Ms=inf", "Expected-Ms=1e99",
		"Is-Retry=yes", "Client-No=-1"} {
		for name, dial := range protocols {
			fields := fieldsOf(newTrace())
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
	assert.Equal(t, runs, w.engine.heardOf("RUN"))
	c, err := dialFCGI(w.fcgi)
	require.NoError(t, err)
	fields := fieldsOf(newTrace())
	fields["\x00CONTENT_LENGTH"] = "3" // of two
	a, err := c.do("/call/nom-submit", fields, []byte("ok"))
	require.NoError(t, err)
	assert.Equal(t, 400, a.status)
	for _, d := range []client{c, must(dialAJP(w.ajp))} {
		for i := range 20 { // a connection that serves others too is kept
			a, err := d.do("/call/other", fieldsOf(newTrace()), nil)
			require.NoError(t, err, i)
			assert.Equal(t, 400, a.status)
			a, err = d.do("/call/nom-submit", fieldsOf(newTrace()), []byte("ok"))
			require.NoError(t, err, i)
			assert.Equal(t, 200, a.status)
		}
	}
	runs = w.engine.heardOf("RUN")
	for i := 0; ; i++ {
		require.Less(t, i, 100, "a caller of nothing but faults")
		if _, err := c.do("/call/other", fieldsOf(newTrace()), nil); err != nil {
			break
		}
	}
	assert.Equal(t, runs, w.engine.heardOf("RUN"))
}

// TestUnknownToEngine: a request that the engine knows nothing of is failed, and
// its caller loses the connection if it sends nothing else.
func TestUnknownToEngine(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	for name, dial := range protocols {
		c, err := dial(w.service, 0)
		require.NoError(t, err)
		for i := 0; ; i++ {
			require.Less(t, i, 100, name)
			a, err := c.do("/call/nom-submit", fieldsOf(newTrace()), []byte("unknown"))
			if err != nil {
				break
			}
			assert.Equal(t, 500, a.status)
		}
	}
	assert.Equal(t, 200, w.status("nom-submit", "ok"))
}

// TestTakenBack: a request whose connection is lost, or that is taken back, is
// stopped, whether or not the site's callers say that they are gone.
func TestTakenBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	first, second := newTrace(), newTrace()
	c := raw(t, w.fcgi, fcgiRequest(1, "/call/nom-submit", fieldsOf(first), []byte("hold")))
	d := raw(t, w.ajp, append(ajpForward("/call/nom-submit", "s3", fieldsOf(second), 4), ajpChunk([]byte("hold"))...))
	await(t, "two runs", func() bool { return w.engine.held() == 2 })
	c.Close()
	d.Close()
	await(t, "both to be stopped", func() bool {
		return w.engine.heardOf("HALT "+first) == 1 && w.engine.heardOf("HALT "+second) == 1
	})
	assert.Equal(t, 200, w.status("nom-submit", "ok"))
}
