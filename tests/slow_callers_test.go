package tests

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeSlowly writes a message in equal pieces, the first at once and the last after the given time.
func writeSlowly(t *testing.T, c net.Conn, message []byte, pieces int, duration time.Duration) {
	t.Helper()
	start := time.Now()
	for i := range pieces {
		time.Sleep(time.Until(start.Add(duration * time.Duration(i) / time.Duration(pieces-1))))
		_, err := c.Write(message[len(message)*i/pieces : len(message)*(i+1)/pieces])
		require.NoError(t, err, "piece %d after %v", i, time.Since(start))
	}
}

// TestSlowlyWrittenRequestIsServed: a caller that writes its request evenly over seconds must not be taken for one
// that has stopped in the middle, nor may the requests that follow on its connection be dropped.
func TestSlowlyWrittenRequestIsServed(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	for what, tt := range map[string]struct {
		dial     func(*service, int) (protocolClient, error)
		used     bool // the connection has served a request before
		duration time.Duration
	}{
		"FastCGI, 2 s":                 {protocolDialers["fastcgi"], true, 2 * time.Second},
		"FastCGI, 4 s":                 {protocolDialers["fastcgi"], true, 4 * time.Second},
		"FastCGI, new connection, 2 s": {protocolDialers["fastcgi"], false, 2 * time.Second},
		"FastCGI, new connection, 4 s": {protocolDialers["fastcgi"], false, 4 * time.Second},
		"AJP, 2 s":                     {protocolDialers["ajp"], true, 2 * time.Second},
		"AJP, 4 s":                     {protocolDialers["ajp"], true, 4 * time.Second},
		"AJP, new connection, 2 s":     {protocolDialers["ajp"], false, 2 * time.Second},
		"AJP, new connection, 4 s":     {protocolDialers["ajp"], false, 4 * time.Second},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			c, err := tt.dial(w.service, 0)
			require.NoError(t, err)
			defer c.Close()
			if tt.used {
				a, err := c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
				require.NoError(t, err)
				require.Equal(t, 200, a.status)
			}
			trace := newTraceID()
			a := doSlowly(t, c, trace, tt.duration)
			assert.Equal(t, 200, a.status)
			assert.Equal(t, "result of "+trace, a.body)
			a, err = c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
			require.NoError(t, err, "the next request on the connection")
			assert.Equal(t, 200, a.status)
		})
	}
}

// doSlowly is protocolClient.do for a request that is written over the given time.
func doSlowly(t *testing.T, client protocolClient, trace string, duration time.Duration) response {
	t.Helper()
	const pieces = 21
	writeSlowly(t, client.(net.Conn), nomSubmit(client, trace, "ok"), pieces, duration)
	a, err := client.(messageConn).receive()
	require.NoError(t, err)
	return a
}

// maxSilence is the time after which a caller that stops in the middle of a request must have been dropped: ten sweeps of
// the service at 200 ms, the time until the next one, and a margin for a busy machine.
const maxSilence = 4 * time.Second

// TestStoppedWriterIsDropped: a caller that stops in the middle of a request must be dropped with a rejection, also after it
// has written slowly for a while, and on a connection that has served a request before.
func TestStoppedWriterIsDropped(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	for name, dial := range protocolDialers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := dial(w.service, 0)
			require.NoError(t, err)
			defer c.Close()
			a, err := c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
			require.NoError(t, err)
			require.Equal(t, 200, a.status)
			trace := newTraceID()
			message := nomSubmit(c, trace, "ok")
			writeSlowly(t, c.(net.Conn), message[:len(message)-5], 21, 3*time.Second)
			stoppedAt := time.Now()
			requireRejectedAndClosed(t, c)
			assert.Less(t, time.Since(stoppedAt), maxSilence)
			assert.Zero(t, w.engine.countReceived("RUN "+trace))
		})
	}
}

// TestEndlessWriterIsDropped: a caller that goes on writing a request and never ends it must not hold its connection for
// longer than the deadlines allow, or 5 s where all of them are shorter.
func TestEndlessWriterIsDropped(t *testing.T) {
	t.Parallel()
	const (
		minReceiveTime = 5 * time.Second // as in internal/transport/frontend
		writeInterval  = 100 * time.Millisecond
	)
	w := newTestbed(t, func(cfg object) {
		for _, class := range cfg["settings"].(object)["classes"].([]object) {
			class["aim_ns"], class["deadline_ns"] = 1e9, 1e9
		}
	})
	largeRecord := fcgiRecord(4, 1, make([]byte, 8000))
	for name, tt := range map[string]struct {
		protocol string
		begin    []byte
		repeated []byte // written until the connection ends
	}{
		"FastCGI, body that never ends":   {"fastcgi", fcgiRequestWithoutEnd(), fcgiRecord(5, 1, []byte("x"))},
		"FastCGI, record that never ends": {"fastcgi", append(fcgiBeginRequest(1), largeRecord[:20]...), []byte("x")},
		"FastCGI, first record":           {"fastcgi", largeRecord[:20], []byte("x")},
		"AJP, body that never ends":       {"ajp", ajpForwardRequest("/call/nom-submit", "s3", requestHeaders(newTraceID()), 2000), ajpBodyChunk([]byte("x"))},
		"AJP, packet that never ends":     {"ajp", ajpPacket("\x12\x34", make([]byte, 8000))[:20], []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := protocolDialers[tt.protocol](w.service, 0)
			require.NoError(t, err)
			defer c.Close()
			a, err := c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
			require.NoError(t, err)
			require.Equal(t, 200, a.status)
			startedAt := time.Now()
			go func() {
				conn := c.(net.Conn)
				for _, err := conn.Write(tt.begin); err == nil; _, err = conn.Write(tt.repeated) {
					time.Sleep(writeInterval)
				}
			}()
			_, err = io.Copy(io.Discard, c.(net.Conn))
			require.NoError(t, err, "still open, or reset")
			open := time.Since(startedAt)
			assert.Greater(t, open, minReceiveTime-writeInterval)
			assert.Less(t, open, minReceiveTime+maxSilence)
		})
	}
}

// TestForgottenRequestBesideOthers: a request that its caller begins and never ends must be rejected, also if other
// requests keep its connection busy, and none of those may be left without a response.
func TestForgottenRequestBesideOthers(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) {
		for _, class := range cfg["settings"].(object)["classes"].([]object) {
			class["deadline_ns"] = 5e9
		}
	})
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	defer c.Close()
	const forgotten = 99
	_, err = c.Write(fcgiBeginRequest(forgotten))
	require.NoError(t, err)
	served := 0
	for start := time.Now(); time.Since(start) < 15*time.Second; time.Sleep(200 * time.Millisecond) {
		_, err := c.Write(fcgiRequest(1, "/call/nom-submit", requestHeaders(newTraceID()), []byte("ok")))
		require.NoError(t, err)
		id, a, protocolStatus, err := c.readResponse()
		require.NoError(t, err, "a request beside the forgotten one has no response")
		if id == forgotten {
			require.Equal(t, fcgiOverloaded, protocolStatus)
			assert.Greater(t, served, 10, "requests beside the forgotten one")
			return
		}
		require.Equal(t, 200, a.status)
		served++
	}
	t.Fatal("the forgotten request has no response")
}

// nomSubmit returns the bytes of a complete request to the class nom-submit in the client's protocol.
func nomSubmit(client protocolClient, trace, body string) []byte {
	return client.(messageConn).encode("nom-submit", requestHeaders(trace), body)
}

// fcgiRequestWithoutEnd returns a request whose body has begun.
func fcgiRequestWithoutEnd() []byte {
	request := fcgiRequest(1, "/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
	return request[:len(request)-len(fcgiRecord(5, 1, nil))]
}

// requireRejectedAndClosed requires a response that rejects the request, and then an orderly close.
func requireRejectedAndClosed(t *testing.T, client protocolClient) {
	t.Helper()
	switch c := client.(type) {
	case *ajpConn:
		a, err := c.readResponse(nil)
		require.NoError(t, err)
		require.Equal(t, 503, a.status)
		requireOrderlyClose(t, c, c.r)
	case *fcgiConn:
		requireOverloaded(t, c, 1)
		requireOrderlyClose(t, c, c.r)
	}
}

// TestSlowWritersLeaveRoom: callers that write slowly for longer than a request usually takes must not keep others from
// connecting, not even after a complete request of their own.
func TestSlowWritersLeaveRoom(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) { cfg["limits"].(object)["sockets"] = 80 }) // about 20 connections per frontend
	for name, dial := range protocolDialers {
		var slow []protocolClient
		for i := range 60 {
			c, err := dial(w.service, i)
			require.NoError(t, err)
			defer c.Close()
			if _, err := c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok")); err == nil {
				slow = append(slow, c)
				go writeUntilClosed(c.(net.Conn), nomSubmit(c, newTraceID(), strings.Repeat("x", 200)))
			}
		}
		require.Greater(t, len(slow), 10, "connections that write slowly with %s", name)
		time.Sleep(3 * time.Second) // less than the time in which all of them are dropped
		for i := range 30 {
			c, err := dial(w.service, i)
			require.NoError(t, err)
			defer c.Close()
			a, err := c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("ok"))
			require.NoError(t, err, "connection %d with %s", i, name)
			assert.Equal(t, 200, a.status)
		}
		for _, c := range slow {
			c.Close()
		}
	}
}

// writeUntilClosed writes a byte of the message each 100 ms, until the message or the connection ends.
func writeUntilClosed(c net.Conn, message []byte) {
	for i := range message {
		if _, err := c.Write(message[i : i+1]); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
