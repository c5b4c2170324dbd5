package tests

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	crowdDuration      = 4 * time.Second
	memoryPollInterval = 5 * time.Millisecond
	openPerConnection  = 32       // requests that one FastCGI connection may have open
	maxParameterBytes  = 8 << 10  // of one FastCGI request
	maxRecordBytes     = 16 << 10 // of one FastCGI record
)

// crowdBehavior is what each client of a crowd does with each of its connections.
type crowdBehavior struct {
	protocol string        // "fastcgi" or "ajp"
	message  func() []byte // is written first
	repeated []byte        // is then written again and again, until the service takes no more
	interval time.Duration // pause before each repetition
	unread   bool          // the client reads nothing
	overload bool          // the requests are valid and more than the engine can do, so that others may be rejected
}

// crowdBehaviors hold memory of the service in every way that a connection can.
var crowdBehaviors = map[string]crowdBehavior{
	"half of the parameters of many requests": {protocol: "fastcgi", message: func() []byte {
		return incompleteRequests(openPerConnection, func(id uint16) []byte { return fcgiRecord(4, id, largeParameters(8000)) })
	}},
	"all but the end of many requests": {protocol: "fastcgi", message: func() []byte {
		return incompleteRequests(openPerConnection, func(id uint16) []byte {
			return append(append(fcgiRecord(4, id, largeParameters(8000)), fcgiRecord(4, id, nil)...), fcgiRecord(5, id, make([]byte, 2<<10))...)
		})
	}},
	"many requests that are written slowly": {protocol: "fastcgi", interval: 100 * time.Millisecond, repeated: fcgiRecord(4, 1, []byte("x")),
		message: func() []byte {
			return incompleteRequests(openPerConnection, func(id uint16) []byte { return fcgiRecord(4, id, largeParameters(7000)) })
		}},
	"half of a large record": {protocol: "fastcgi", message: func() []byte {
		return incompleteRequests(1, func(id uint16) []byte { return fcgiRecord(4, id, make([]byte, maxRecordBytes))[:maxRecordBytes] })
	}},
	"complete requests with heads of short fields": {protocol: "fastcgi", message: func() []byte {
		head := shortParameters()
		var message []byte
		for id := range uint16(openPerConnection) {
			message = append(message, fcgiRequestWithHead(id+1, head, nil)...)
		}
		return message
	}},
	"complete requests with long names": {protocol: "fastcgi", overload: true, message: func() (message []byte) {
		fields := requestHeaders("")
		fields["Project"] = strings.Repeat("p", 7<<10)
		for id := range uint16(openPerConnection) {
			fields["Trace-Id"] = newTraceID()
			message = append(message, fcgiRequest(id+1, "/call/nom-update", fields, bytes.Repeat([]byte("x"), 2<<10))...)
		}
		return message
	}},
	"half of a head with many fields": {protocol: "ajp", message: func() []byte {
		packet := ajpForwardRequest("/call/nom-submit", "s3", shortHeaders(), 2000)
		return packet[:len(packet)-1]
	}},
	"head with many fields without its body": {protocol: "ajp", message: func() []byte {
		return ajpForwardRequest("/call/nom-submit", "s3", shortHeaders(), 2000)
	}},
	"unread answers to health checks": {protocol: "fastcgi", unread: true,
		message: func() []byte { return nil }, repeated: bytes.Repeat(fcgiRequest(1, "/ping", nil, nil), 100)},
	"unread answers to AJP pings": {protocol: "ajp", unread: true,
		message: func() []byte { return nil }, repeated: bytes.Repeat(ajpPacket("\x12\x34", []byte{10}), 1000)},
	"unread answers to AJP health checks": {protocol: "ajp", unread: true,
		message: func() []byte { return nil }, repeated: bytes.Repeat(ajpForwardRequest("/ping", "s3", nil, 0), 100)},
}

// incompleteRequests returns the beginning of several requests, each followed by the given records.
func incompleteRequests(count int, records func(id uint16) []byte) (message []byte) {
	for id := range uint16(count) {
		message = append(message, fcgiBeginRequest(id+1)...)
		message = append(message, records(id+1)...)
	}
	return message
}

// largeParameters returns one parameter of about the given size.
func largeParameters(size int) []byte {
	params := append([]byte{11}, binary.BigEndian.AppendUint32(nil, uint32(size)|1<<31)...)
	return append(append(params, "HTTP_COOKIE"...), make([]byte, size)...)
}

// shortParameters returns as many parameters as one request may have, each with a name of two bytes.
func shortParameters() (params []byte) {
	for i := range uint16(maxParameterBytes / 4) {
		params = binary.BigEndian.AppendUint16(append(params, 2, 0), i)
	}
	return params
}

// shortHeaders returns nearly as many headers as an AJP request may have.
func shortHeaders() map[string]string {
	headers := requestHeaders(newTraceID())
	for i := range 90 {
		headers["x"+strconv.Itoa(i)] = strings.Repeat("v", 70)
	}
	return headers
}

// TestCrowdsDoNotExceedTheMemory guards against a service that is killed for its memory: whatever the connections of a
// crowd hold, in incomplete and complete requests and in unread responses, must stay below limits.memory_mb, and the
// requests of others must be served meanwhile, also those that are written slowly.
func TestCrowdsDoNotExceedTheMemory(t *testing.T) {
	for _, limits := range []struct{ memoryMB, sockets int }{{32, 384}, {32, 1024}, {64, 512}, {192, 1024}} {
		for name, behavior := range crowdBehaviors {
			t.Run(fmt.Sprintf("%s, %d MB, %d descriptors", name, limits.memoryMB, limits.sockets), func(t *testing.T) {
				t.Parallel()
				playCrowd(t, behavior, limits.memoryMB, limits.sockets)
			})
		}
	}
}

// playCrowd lets a crowd connect to a service while a balancer sends requests. The crowd leaves descriptors for the balancer.
func playCrowd(t *testing.T, behavior crowdBehavior, memoryMB, sockets int) {
	w := newTestbed(t, func(cfg object) {
		limits := cfg["limits"].(object)
		limits["memory_mb"], limits["sockets"] = memoryMB, sockets
		if behavior.protocol == "fastcgi" {
			delete(cfg, "ajp")
		}
	})
	size := sockets * 5 / 8
	if behavior.protocol == "ajp" {
		size /= 2 // the frontends divide the descriptors
	}
	stopWatch := watchMemory(t, w.service)
	balancer := startBalancer(w, behavior.protocol, behavior.overload)
	address := map[string]string{"fastcgi": w.fcgiAddr, "ajp": w.ajpAddr}[behavior.protocol]
	ctx, stop := context.WithTimeout(t.Context(), crowdDuration)
	defer stop()
	var crowd sync.WaitGroup
	for range size {
		crowd.Go(func() { runCrowdClient(ctx, address, behavior) })
	}
	crowd.Wait()
	balancer.stop()
	peak := stopWatch()
	t.Logf("most memory: %d kB of %d kB; balancer: %d answered, %d written slowly and answered", peak, memoryMB<<10, balancer.answered.Load(), balancer.answeredSlowly.Load())
	assert.LessOrEqual(t, peak, memoryMB<<10, "kB of anonymous memory")
	assert.Positive(t, balancer.answered.Load())
	assert.Positive(t, balancer.answeredSlowly.Load())
	assert.Empty(t, balancer.failures)
}

// runCrowdClient connects again whenever the service has closed its connection.
func runCrowdClient(ctx context.Context, address string, behavior crowdBehavior) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { c.Close() })
			behavior.use(ctx, c.(*net.TCPConn))
			stop()
			c.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// use writes and reads on a connection until the service closes it or the context ends.
func (b crowdBehavior) use(ctx context.Context, c *net.TCPConn) {
	var reading sync.WaitGroup
	if b.unread {
		c.SetReadBuffer(4 << 10)
	} else {
		reading.Go(func() { io.Copy(io.Discard, c) })
	}
	_, err := c.Write(b.message())
	for err == nil && b.repeated != nil && ctx.Err() == nil {
		time.Sleep(b.interval)
		_, err = c.Write(b.repeated)
	}
	reading.Wait()
}

// watchMemory records the most anonymous and shared memory of a process, as the platform counts it, until stop is called,
// which returns it in kB.
func watchMemory(t *testing.T, s *service) (stop func() int) {
	end, peak := make(chan struct{}), make(chan int, 1)
	go func() {
		most := 0
		for ended := false; !ended; {
			select {
			case <-end:
				ended = true
			case <-time.After(memoryPollInterval):
			}
			most = max(most, anonymousMemory(s.cmd.Process.Pid))
		}
		peak <- most
	}()
	stop = sync.OnceValue(func() int {
		close(end)
		return <-peak
	})
	t.Cleanup(func() { stop() })
	return stop
}

// anonymousMemory returns the anonymous and shared memory of a process in kB.
func anonymousMemory(pid int) (kilobytes int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		words := strings.Fields(line)
		if len(words) >= 2 && (words[0] == "RssAnon:" || words[0] == "RssShmem:") {
			n, _ := strconv.Atoi(words[1])
			kilobytes += n
		}
	}
	return kilobytes
}

// balancerLoad is a balancer that keeps its connections and sends requests on them.
type balancerLoad struct {
	dial           func() (protocolClient, error)
	mayBeRejected  bool // responses 503 are not failures
	answered       atomic.Int32
	answeredSlowly atomic.Int32 // requests that were written over two seconds
	ended          chan struct{}
	callers        sync.WaitGroup
	mu             sync.Mutex
	failures       []string
}

// startBalancer starts callers that send complete requests, and others that write each request over two seconds.
func startBalancer(w *testbed, protocol string, mayBeRejected bool) *balancerLoad {
	b := &balancerLoad{mayBeRejected: mayBeRejected, ended: make(chan struct{})}
	b.dial = func() (protocolClient, error) { return protocolDialers[protocol](w.service, 0) }
	for range 4 {
		for answered, pieces := range map[*atomic.Int32]int{&b.answered: 1, &b.answeredSlowly: 20} {
			c, err := b.dial()
			require.NoError(w.t, err)
			b.callers.Go(func() { b.run(c, answered, pieces) })
		}
	}
	return b
}

// run sends one request after another, each in the given number of pieces.
func (b *balancerLoad) run(c protocolClient, answered *atomic.Int32, pieces int) {
	defer func() { c.Close() }()
	for {
		request := nomSubmit(c, newTraceID(), "ok")
		response, err := sendInPieces(c, request, pieces)
		if err != nil { // crossed the close of an idle connection: it is sent one more time
			var next protocolClient
			if next, err = b.dial(); err == nil {
				c.Close()
				c = next
				response, err = sendInPieces(c, request, 1)
			}
		}
		if err != nil || response.status != 200 && !(b.mayBeRejected && response.status == 503) {
			b.mu.Lock()
			b.failures = append(b.failures, fmt.Sprintf("status %d, error %v", response.status, err))
			b.mu.Unlock()
			return
		}
		answered.Add(1)
		select {
		case <-b.ended:
			return
		default:
		}
	}
}

// sendInPieces writes a request with a pause after each piece, and reads the response.
func sendInPieces(c protocolClient, request []byte, pieces int) (response, error) {
	for i := range pieces {
		c.(net.Conn).Write(request[len(request)*i/pieces : len(request)*(i+1)/pieces])
		time.Sleep(100 * time.Millisecond)
	}
	return c.(messageConn).receive()
}

// stop waits for the responses to the requests that are open.
func (b *balancerLoad) stop() {
	close(b.ended)
	b.callers.Wait()
}
