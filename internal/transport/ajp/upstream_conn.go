package ajp

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/frontend"
)

const (
	pongTimeout    = time.Second
	maxResultBytes = 64 << 10
)

var (
	errConnectionLost = errors.New("connection to upstream lost")
	errResultTooLarge = fmt.Errorf("result exceeds the limit of %d bytes", maxResultBytes)
)

// upstreamConn is a connection to an upstream. All fields belong to the dispatcher's goroutine, except those of
// the parser, which belong to the event loop's goroutine.
type upstreamConn struct {
	pool   *UpstreamPool
	addr   string
	server *upstreamServer
	socket *eventloop.Conn // nil while dialing
	state  upstreamState
	run    *upstreamRun // nil if no run is assigned
	used   bool         // the upstream has answered a health check, or a request was sent
	timer  *timerqueue.Timer

	unsentBody []byte // rest of the request's body that was not sent yet
	status     int    // HTTP status of the response
	result     []byte // body of the response

	parser         parser // used only by the event loop's goroutine
	inputMalformed bool   // the parser has failed; used only by the event loop's goroutine
}

// attachRun assigns a run to the connection.
func (c *upstreamConn) attachRun(r *upstreamRun) {
	c.run = r
	r.conn = c
	c.server.runCount++
}

// detachRun removes the assigned run from the connection and returns it, or nil if there is none.
func (c *upstreamConn) detachRun() *upstreamRun {
	r := c.run
	if r != nil {
		c.run = nil
		r.conn = nil
		c.server.runCount--
	}
	return r
}

// handleDialResult is called when the dial has succeeded or failed.
func (c *upstreamConn) handleDialResult(socket *eventloop.Conn, err error) {
	c.socket = socket
	c.pool.recordDialResult(c.server, err)
	closed := c.state == upstreamClosed // the run was stopped while the dial was in progress
	switch {
	case err != nil && closed:
	case err != nil:
		c.pool.Log.Warn("upstream not reached", zap.String("address", c.addr), zap.Error(err))
		c.closeConn(err)
	case closed:
		socket.Abort()
	case c.run != nil && c.server.runCount > c.pool.quota(c.server):
		c.reassignRun()
	case c.run != nil:
		c.sendRequest()
	default:
		c.startHealthCheck()
	}
}

// reassignRun places the run, which was not sent yet, again and keeps the connection. It is called when the
// server started while the connection was being opened and its slow start does not allow as many runs.
func (c *upstreamConn) reassignRun() {
	r := c.detachRun()
	c.startHealthCheck()
	c.pool.placeRun(r)
}

// startHealthCheck sends CPING to check that the upstream responds. It closes the connection if no CPONG
// arrives within pongTimeout.
func (c *upstreamConn) startHealthCheck() {
	c.pool.Timers.Cancel(c.timer)
	c.state = c.state.next(upstreamPingSent)
	c.socket.Write(encodePacket(magicToServer, []byte{codeCPing}))
	c.timer = c.pool.Timers.Schedule(c.pool.Now()+pongTimeout, func() { c.closeConn(errConnectionLost) })
}

// handleCPong handles the answer to a health check. It sends the assigned run, if any, or makes the connection
// idle.
func (c *upstreamConn) handleCPong() {
	c.pool.Timers.Cancel(c.timer)
	c.used = true
	c.pool.reportReady()
	switch {
	case c.run != nil:
		c.sendRequest()
	case c.pool.isListed(c.addr):
		c.makeIdle()
	default: // removed from the list while the check was in progress
		c.closeConn(nil)
	}
}

// sendRequest sends the request of the assigned run.
func (c *upstreamConn) sendRequest() {
	r := c.run
	c.state = c.state.next(upstreamRequestSent)
	c.used = true
	c.unsentBody = r.Body
	r.sendCount++
	c.socket.Write(encodeForwardRequest(frontend.CallPathPrefix+r.Class, c.pool.secret, requestHeaders(r.Job)))
	if len(r.Body) > 0 {
		c.sendBodyChunk(maxChunkBytes)
	}
}

// requestHeaders returns the headers of a run's request.
func requestHeaders(job exchange.Job) []frontend.Header {
	return []frontend.Header{
		{Name: upstreamHeaderTraceID, Value: job.TraceID},
		{Name: upstreamHeaderContentLength, Value: strconv.Itoa(len(job.Body))},
	}
}

// sendBodyChunk sends the next chunk of the body, or an empty chunk if the whole body was sent.
func (c *upstreamConn) sendBodyChunk(maxBytes int) {
	n := min(len(c.unsentBody), maxBytes, maxChunkBytes)
	c.socket.Write(encodeRequestBodyChunk(c.unsentBody[:n]))
	c.unsentBody = c.unsentBody[n:]
}

// makeIdle makes the connection available for the next run. It is closed if unused for maxIdleTime.
func (c *upstreamConn) makeIdle() {
	c.state = c.state.next(upstreamFreed)
	c.pool.idle = append(c.pool.idle, c)
	c.timer = c.pool.Timers.Schedule(c.pool.Now()+maxIdleTime, func() { c.closeConn(nil) })
}

// completeRun finishes the run after its complete response has arrived.
func (c *upstreamConn) completeRun(reuse bool) {
	r := c.detachRun()
	status := c.status
	body := c.result
	c.unsentBody = nil
	c.status = 0
	c.result = nil
	result := exchange.ResultOK
	if status != http.StatusOK {
		result = exchange.ResultError
		c.pool.Log.Warn("upstream failed a run", zap.String("trace_id", r.TraceID), zap.Int("status", status))
	}
	c.pool.finishRun(r, result, body)
	if reuse && c.pool.isListed(c.addr) {
		c.makeIdle()
	} else {
		c.closeConn(nil)
	}
}

// closeConn closes the connection. It places the assigned run again if canRetry allows that. Otherwise the run
// fails.
func (c *upstreamConn) closeConn(err error) {
	if c.state == upstreamClosed {
		return
	}
	stateBefore := c.state
	c.state = c.state.next(upstreamConnLost)
	p := c.pool
	p.Timers.Cancel(c.timer)
	p.idle = slices.DeleteFunc(p.idle, func(idle *upstreamConn) bool { return idle == c })
	if c.socket != nil {
		c.socket.Abort()
	}
	c.server.connCount--
	if err != nil {
		c.reconnectAfterLoss()
	}
	r := c.detachRun()
	if r == nil {
		return
	}
	if stateBefore == upstreamDialing {
		r.failedDials++
	}
	if p.canRetry(r, stateBefore == upstreamBusy) {
		p.placeRun(r)
		return
	}
	p.Log.Warn("run failed", zap.String("trace_id", r.TraceID), zap.Error(err))
	p.finishRun(r, exchange.ResultError, nil)
}

// reconnectAfterLoss dials a server again after its last connection was lost. If the server has stopped, the dial
// is refused; the pool then probes the server and detects its next start.
func (c *upstreamConn) reconnectAfterLoss() {
	if c.used && c.server.connCount == 0 && !c.server.refusesConnections && c.pool.isListed(c.addr) {
		c.pool.connect(c.addr, nil)
	}
}

// canRetry reports whether a run whose connection was lost may be placed again. A run that was not sent may be
// retried until more dials have failed than there are addresses. A run that was sent may have been executed, and
// is sent again only if it is idempotent.
func (p *UpstreamPool) canRetry(r *upstreamRun, sent bool) bool {
	if sent {
		return r.Idempotent && r.sendCount < maxSendsPerRun
	}
	return r.failedDials <= len(p.addrs)
}

// OnData parses received bytes on the event loop's goroutine. Each packet is handled on the dispatcher's.
func (c *upstreamConn) OnData(received []byte) {
	if c.inputMalformed {
		return
	}
	err := c.parser.feed(received, func(content []byte) error {
		content = bytes.Clone(content)
		c.pool.Exchange.Post(exchange.Callback(func() { c.receivePacket(content) }))
		return nil
	})
	if err != nil {
		c.inputMalformed = true
		c.OnClose(err)
	}
}

// OnClose posts the loss of the connection to the dispatcher's goroutine.
func (c *upstreamConn) OnClose(err error) {
	c.pool.Exchange.Post(exchange.Callback(func() { c.closeConn(errors.Join(errConnectionLost, err)) }))
}

// receivePacket handles the content of a packet, and closes the connection if the packet is invalid.
func (c *upstreamConn) receivePacket(content []byte) {
	if err := c.handlePacket(content); err != nil && c.state != upstreamClosed {
		c.pool.Log.Warn("invalid AJP packet from upstream", zap.Error(err))
		c.closeConn(err)
	}
}

func (c *upstreamConn) handlePacket(content []byte) error {
	if c.state == upstreamClosed {
		return nil
	}
	if len(content) == 0 {
		return errTruncated
	}
	r := reader{rest: content[1:]}
	switch code := content[0]; {
	case code == codeCPong && c.state == upstreamChecking:
		c.handleCPong()
	case c.state != upstreamBusy:
		return fmt.Errorf("unexpected packet with code %d", code)
	case code == codeSendHeaders:
		c.status = int(r.uint16())
	case code == codeSendBodyChunk:
		c.result = append(c.result, r.bytes(int(r.uint16()))...)
		if len(c.result) > maxResultBytes {
			return errResultTooLarge
		}
	case code == codeGetBodyChunk:
		c.sendBodyChunk(int(r.uint16()))
	case code == codeEndResponse:
		reuse := r.uint8() == 1 && r.err == nil
		c.completeRun(reuse)
	default:
		return fmt.Errorf("unexpected packet with code %d", code)
	}
	return r.err
}
