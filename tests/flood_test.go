package tests

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	floodDuration = 1500 * time.Millisecond
	floodBatch    = 64 // messages that a flooding client writes at once
	// maxFloodDelay is how long a response may take beside a flood: half of the shortest deadline of the classes.
	maxFloodDelay = time.Second
)

// flood is what one client sends on one connection at full speed. It reads what it is sent.
type flood struct {
	protocol string
	message  func() []byte
}

// floods are small or unsound messages, and heads that cost more than their length.
var floods = map[string]flood{
	"health checks":                 {"fastcgi", func() []byte { return fcgiRequest(1, "/ping", nil, nil) }},
	"requests with an unknown role": {"fastcgi", func() []byte { return fcgiRecord(1, 1, []byte{0, 3, 1, 0, 0, 0, 0, 0}) }},
	"requests that are aborted": {"fastcgi", func() []byte {
		return append(fcgiBeginRequest(1), fcgiRecord(2, 1, nil)...)
	}},
	"queries of values": {"fastcgi", func() []byte { return fcgiRecord(9, 0, []byte("\x0e\x00FCGI_MAX_CONNS")) }},
	"heads of short fields": {"fastcgi", func() []byte {
		return fcgiRequestWithHead(1, shortParameters(), nil)
	}},
	"heads of one repeated field": {"fastcgi", func() []byte {
		return fcgiRequestWithHead(1, make([]byte, maxParameterBytes), nil)
	}},
	"requests with new ids": {"fastcgi", func() []byte {
		return fcgiRequest(1, "/call/cycle-check", requestHeaders(newTraceID()), []byte("ok"))
	}},
	"requests that the engine does not know": {"fastcgi", func() []byte {
		return fcgiRequest(1, "/call/nom-submit", requestHeaders(newTraceID()), []byte("unknown"))
	}},
	"unsound requests":  {"fastcgi", func() []byte { return fcgiRequest(1, "/call/none", requestHeaders(newTraceID()), nil) }},
	"AJP pings":         {"ajp", func() []byte { return ajpPacket("\x12\x34", []byte{10}) }},
	"AJP health checks": {"ajp", func() []byte { return ajpForwardRequest("/ping", "s3", nil, 0) }},
	"AJP requests with new ids": {"ajp", func() []byte {
		return append(ajpForwardRequest("/call/cycle-check", "s3", requestHeaders(newTraceID()), 2), ajpBodyChunk([]byte("ok"))...)
	}},
}

// TestFloodDelaysNobody guards against one client that delays all others or fills the memory, by small or unsound
// requests that it sends at full speed on one connection after another, also under ever new ids.
func TestFloodDelaysNobody(t *testing.T) {
	for name, f := range floods {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t, func(cfg object) { cfg["limits"].(object)["memory_mb"] = 32 })
			stopWatch := watchMemory(t, w.service)
			ctx, stop := context.WithTimeout(t.Context(), floodDuration)
			defer stop()
			ended := make(chan int, 1)
			go func() { ended <- f.send(ctx, w) }()
			var delays []time.Duration
			rejected := 0
			for ctx.Err() == nil {
				start := time.Now()
				a, err := w.sendRequest("cycle-check", "ok")
				require.NoError(t, err)
				if a.status != 200 {
					rejected++
				}
				delays = append(delays, time.Since(start))
				time.Sleep(5 * time.Millisecond)
			}
			sent := <-ended
			longest := slices.Max(delays)
			peak := stopWatch()
			t.Logf("%d kB sent, %d others, %d rejected, longest delay %v, memory %d kB", sent>>10, len(delays), rejected, longest, peak)
			assert.Less(t, longest, maxFloodDelay)
			assert.LessOrEqual(t, peak, 32<<10)
		})
	}
}

// send writes at full speed, and connects again whenever the service has closed the connection.
func (f flood) send(ctx context.Context, w *testbed) (sentBytes int) {
	address := map[string]string{"fastcgi": w.fcgiAddr, "ajp": w.ajpAddr}[f.protocol]
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		go io.Copy(io.Discard, c)
		for err == nil {
			var batch bytes.Buffer
			for range floodBatch {
				batch.Write(f.message())
			}
			var n int
			n, err = c.Write(batch.Bytes())
			sentBytes += n
		}
		stop()
		c.Close()
	}
	return sentBytes
}
