package ajp

import (
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/slowstart"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/testrig/golden"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/frontend"
	"oxbowbridge/internal/transport/session"
)

// Bytes at the start and the end of all responses.
const (
	contentTypeHeader = "\x00\x0cContent-Type\x00\x00\x18application/octet-stream\x00"
	endResponseReuse  = "AB\x00\x02\x05\x01"
	endResponseClose  = "AB\x00\x02\x05\x00"
)

// TestGoldenAnswers compares the bytes of the response for each kind of result, and of health checks.
func TestGoldenAnswers(t *testing.T) {
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	defer loop.Stop()
	x := exchange.New(10)
	f := NewFrontend(x, map[string]frontend.Class{"nom-submit": {}}, "s3", zap.NewNop())
	ln, err := loop.Listen("127.0.0.1:0", func(s *eventloop.Conn) eventloop.Handler {
		return f.newConn(s)
	}, func(err error) { t.Error(err) })
	require.NoError(t, err)
	defer ln.Close()
	send := func(path, secret string) net.Conn {
		peer, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { peer.Close() })
		request := encodeForwardRequest(path, secret, newHeaders("trace-id", "0123456789abcdef", "content-length", "2",
			"reserve-kb", "1", "accepted-at-ms", strconv.FormatInt(time.Now().UnixMilli(), 10)))
		_, err = peer.Write(append(request, encodeRequestBodyChunk([]byte("ok"))...))
		require.NoError(t, err)
		return peer
	}
	respondWith := func(response exchange.Response) net.Conn {
		peer := send("/call/nom-submit", "s3")
		var events []exchange.Event
		require.Eventually(t, func() bool { events = append(events, x.Dequeue(nil)...); return len(events) > 0 }, 10*time.Second, time.Millisecond)
		events[0].(*exchange.Request).Responder.Respond(response)
		x.ReleaseRequest()
		return peer
	}

	succeeded := exchange.Response{Kind: exchange.Succeeded, Body: []byte("abc")}
	golden.RequireBytes(t, respondWith(succeeded), "AB\x00\x49\x04\x00\xc8\x00\x02OK\x00\x00\x02"+contentTypeHeader+
		"\x00\x0eContent-Length\x00\x00\x013\x00"+"AB\x00\x07\x03\x00\x03abc\x00"+endResponseReuse, "served")
	golden.RequireBytes(t, respondWith(exchange.Response{Kind: exchange.Failed}), "AB\x00\x47\x04\x01\xf4\x00\x00\x00\x00\x02"+contentTypeHeader+
		"\x00\x0eContent-Length\x00\x00\x010\x00"+endResponseReuse, "failed")
	golden.RequireBytes(t, respondWith(exchange.Response{Kind: exchange.Rejected}), "AB\x00\x47\x04\x01\xf7\x00\x00\x00\x00\x02"+contentTypeHeader+
		"\x00\x0eContent-Length\x00\x00\x010\x00"+endResponseReuse, "rejected")
	golden.RequireBytes(t, respondWith(exchange.Response{Kind: exchange.Rejected, RetryAfter: 1500*time.Millisecond + 1}),
		"AB\x00\x5c\x04\x01\xf7\x00\x00\x00\x00\x03"+contentTypeHeader+"\x00\x0eContent-Length\x00\x00\x010\x00"+
			"\x00\x0bHold-Off-Ms\x00\x00\x041501\x00"+endResponseReuse, "rejected with a retry time")
	golden.RequireBytes(t, respondWith(exchange.Response{Kind: exchange.Rejected, RetryAfter: time.Second, NoRetryElsewhere: true}),
		"AB\x00\x72\x04\x01\xf7\x00\x00\x00\x00\x04"+contentTypeHeader+"\x00\x0eContent-Length\x00\x00\x010\x00"+
			"\x00\x0bHold-Off-Ms\x00\x00\x041000\x00"+"\x00\x0fNo-Other-Server\x00\x00\x011\x00"+endResponseReuse, "rejected without retry at another server")
	golden.RequireBytes(t, send("/call/unknown", "s3"), "AB\x00\x47\x04\x01\x90\x00\x00\x00\x00\x02"+contentTypeHeader+
		"\x00\x0eContent-Length\x00\x00\x010\x00"+endResponseReuse, "unknown class")
	golden.RequireBytes(t, send("/call/nom-submit", "s4"), "AB\x00\x47\x04\x01\x93\x00\x00\x00\x00\x02"+contentTypeHeader+
		"\x00\x0eContent-Length\x00\x00\x010\x00"+endResponseClose, "wrong secret")
	golden.RequireBytes(t, send("/ping", "s3"), "AB\x00\x47\x04\x01\xf7\x00\x00\x00\x00\x02"+contentTypeHeader+
		"\x00\x0eContent-Length\x00\x00\x010\x00"+endResponseReuse, "failed health check")
	x.SetHealthy(true)
	golden.RequireBytes(t, send("/ping", "s3"), "AB\x00\x49\x04\x00\xc8\x00\x02OK\x00\x00\x02"+contentTypeHeader+
		"\x00\x0eContent-Length\x00\x00\x010\x00"+endResponseReuse, "successful health check")
	x.SetAdvertisedValue(0.25)
	golden.RequireBytes(t, respondWith(succeeded), "AB\x00\x5b\x04\x00\xc8\x00\x02OK\x00\x00\x03"+contentTypeHeader+
		"\x00\x0eContent-Length\x00\x00\x013\x00"+"\x00\x08Feedback\x00\x00\x040.25\x00"+"AB\x00\x07\x03\x00\x03abc\x00"+endResponseReuse, "advertised value")

	peer, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer peer.Close()
	_, err = peer.Write([]byte("\x12\x34\x00\x01\x0a"))
	require.NoError(t, err)
	golden.RequireBytes(t, peer, "AB\x00\x01\x09", "CPONG")
	for range 10 {
		x.Submit(&exchange.Request{})
	}
	golden.RequireBytes(t, send("/call/nom-submit", "s3"), "AB\x00\x59\x04\x01\xf7\x00\x00\x00\x00\x03"+contentTypeHeader+
		"\x00\x0eContent-Length\x00\x00\x010\x00"+"\x00\x08Feedback\x00\x00\x040.25\x00"+endResponseReuse, "too many requests in the process")
}

// TestGoldenUpstream compares the bytes that an upstream receives for a run, and checks the outcome of its
// response.
func TestGoldenUpstream(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	loop, err := eventloop.New(4)
	require.NoError(t, err)
	defer loop.Stop()
	x, start := exchange.New(10), time.Now()
	pool := NewUpstreamPool([]string{ln.Addr().String()}, "s3", []string{"core_use", "on_cores", "links"}, slowstart.Config{Cores: 4}, 1,
		session.Config{Exchange: x, Loop: loop, Timers: &timerqueue.Queue{}, Now: func() time.Duration { return time.Since(start) }, Log: zap.NewNop()})
	var events []exchange.Event
	handleEvents := func() {
		for _, e := range x.Dequeue(nil) {
			if callback, ok := e.(exchange.Callback); ok {
				callback()
			} else {
				events = append(events, e)
			}
		}
	}
	pool.Run(exchange.Job{TraceID: "0123456789abcdef", Class: "nom-submit", Body: []byte("ok")})
	pool.RequestGauges()
	handleEvents()
	require.Equal(t, []exchange.Event{exchange.Gauges{0.25, 1, -1}}, events)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	var peer net.Conn
	require.Eventually(t, func() bool {
		handleEvents()
		select {
		case peer = <-accepted:
			return true
		default:
			return false
		}
	}, 10*time.Second, time.Millisecond)
	defer peer.Close()
	run := pool.runs["0123456789abcdef"]
	require.Eventually(t, func() bool { handleEvents(); return run.sendCount == 1 }, 10*time.Second, time.Millisecond)
	golden.RequireBytes(t, peer, "\x12\x34\x00\x83\x02\x04\x00\x08HTTP/1.1\x00\x00\x10/call/nom-submit\x00\x00\x09127.0.0.1\x00"+
		"\x00\x09localhost\x00\x00\x09localhost\x00\x00\x50\x00\x00\x02"+
		"\x00\x08trace-id\x00\x00\x100123456789abcdef\x00\x00\x0econtent-length\x00\x00\x012\x00\x0c\x00\x02s3\x00\xff"+
		"\x12\x34\x00\x04\x00\x02ok", "request of a run")
	_, err = peer.Write([]byte("AB\x00\x0a\x04\x00\xc8\x00\x02OK\x00\x00\x00" + "AB\x00\x07\x03\x00\x03abc\x00" + "AB\x00\x02\x05\x01"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { handleEvents(); return len(events) == 2 }, 10*time.Second, time.Millisecond)
	outcome := events[1].(exchange.Outcome)
	outcome.Duration = 0
	require.Equal(t, exchange.Outcome{TraceID: "0123456789abcdef", Stage: exchange.RunEnded, Result: exchange.ResultOK, Body: []byte("abc")}, outcome)
	pool.Run(exchange.Job{TraceID: "0123456789abcde0", Class: "nom-submit"})
	golden.RequireBytes(t, peer, "\x12\x34\x00\x01\x0a", "CPING before a connection is reused")
}
