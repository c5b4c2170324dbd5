package records

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/lineproto"
	"oxbowbridge/internal/transport/session"
)

const (
	// maxIdleTime is for how long an idle connection is kept. The service closes one after 10 s,
	// and some hops on the way drop it earlier; a call that meets such an end proves nothing.
	maxIdleTime  = time.Second
	maxIdleConns = 16

	// Dials for one call: the service may be moving to another address. The delay doubles with each.
	maxDials       = 5
	dialRetryDelay = 20 * time.Millisecond

	// maxStrayReplies is how many replies without a call one call may bring with it.
	maxStrayReplies = 16
)

var (
	errMalformedReply = errors.New("reply not understood")
	errReplyTimeout   = errors.New("no reply")
)

// conn is a connection to the service.
type conn struct {
	client        *Client
	addr          string
	socket        *eventloop.Conn // nil while dialing
	state         connState
	call          *call  // while dialing or busy
	latestTraceID string // of its latest call, of which copies of the reply may still come
	strayReplies  int    // since its latest call
	sentAt        time.Duration
	timer         *timerqueue.Timer // of the reply, or of the end of idleness
}

// connect dials for a call, for which acquireConn has taken a place.
func (c *Client) connect(k *call) {
	cn := &conn{client: c, addr: c.addr, call: k}
	k.conn = cn
	c.Dial(cn.addr, &session.LineHandler{
		Config:    c.Config,
		Parser:    lineproto.Parser{HasPayload: hasPayload},
		IsCurrent: func() bool { return cn.state != connClosed },
		OnMessage: cn.receive,
		OnLost:    cn.connectionLost,
	}, cn.dialCompleted)
}

// dialCompleted sends the call, unless it was canceled meanwhile.
func (c *conn) dialCompleted(socket *eventloop.Conn, err error) {
	closed := c.state == connClosed
	switch {
	case err != nil && !closed:
		c.dialFailed(err)
	case err == nil && closed:
		socket.Abort()
	case err == nil:
		c.socket = socket
		c.sendCall(c.call)
	}
}

// dialFailed has the call placed again after a delay: it was not sent, and the service may come
// back or be moving to another address. A call that finds none in that time has failed.
func (c *conn) dialFailed(err error) {
	client := c.client
	k := c.call
	k.failedDials++
	if k.failedDials >= maxDials || client.Now() >= k.deadline || client.addr == "" {
		client.Log.Warn("records service not reached", zap.Error(err))
		c.closeAndFinish(exchange.ResultUnreachable)
		return
	}
	c.detachCall()
	client.assignConnAfter(k, dialRetryDelay<<(k.failedDials-1))
	c.discard()
}

// sendCall sends a call.
func (c *conn) sendCall(k *call) {
	client := c.client
	c.state = c.state.next(callSent)
	c.call = k
	k.conn = c
	k.sendCount++
	c.latestTraceID = k.TraceID
	c.strayReplies = 0
	c.sentAt = client.Now()
	timeout := strconv.FormatInt(timeoutMs(k.deadline-c.sentAt), 10)
	c.socket.Write(lineproto.AppendWithPayload(nil, k.Body, commandCall, k.TraceID, timeout))
	if k.mayResend() { // against replies that never come, or are never completed
		c.timer = client.Timers.Schedule(c.sentAt+client.latency.ReplyTimeout(), func() { c.connectionLost(errReplyTimeout) })
	}
}

// cancelCall gives up the call of the connection.
func (c *conn) cancelCall() {
	traceID := c.call.TraceID
	c.call = nil
	if c.socket != nil {
		c.socket.Write(lineproto.AppendLine(nil, commandCancel, traceID))
	}
	c.discard()
}

// receive handles one message of the service.
func (c *conn) receive(m lineproto.Message) {
	reply, err := parseReply(m)
	if err != nil { // nothing after it can be trusted
		c.connectionLost(err)
		return
	}
	if c.state != connBusy || c.call.TraceID != reply.traceID { // while dialing its call is not sent yet
		c.countStrayReply()
		return
	}
	if reply.result == exchange.ResultOK { // a rejection comes sooner
		c.client.latency.Observe(c.client.Now() - c.sentAt)
	}
	c.client.finishCall(c.detachCall(), reply.result, reply.body)
	c.release()
}

// countStrayReply counts a copy of a reply, or a reply without a call, against a service that sends
// them without end.
func (c *conn) countStrayReply() {
	c.strayReplies++
	if c.strayReplies > maxStrayReplies {
		c.connectionLost(fmt.Errorf("%w: %d that belong to no call", errMalformedReply, c.strayReplies))
	}
}

// release keeps the connection for the next call, unless the service has another address by now.
func (c *conn) release() {
	client := c.client
	if c.addr != client.addr {
		c.discard()
		return
	}
	c.state = c.state.next(callReplied)
	client.idleConns = append(client.idleConns, c)
	client.Timers.Cancel(c.timer)
	c.timer = client.Timers.Schedule(client.Now()+maxIdleTime, c.discard)
	if len(client.idleConns) > maxIdleConns {
		client.idleConns[0].discard()
	}
	client.assignConnToNext()
}

// connectionLost ends a connection that was closed, whose input was malformed, or whose reply did not
// come in time.
func (c *conn) connectionLost(err error) {
	if c.state == connDialing {
		c.dialFailed(err)
		return
	}
	if c.call != nil {
		if errors.Is(err, errReplyTimeout) { // it takes at least so long
			c.client.latency.Observe(c.client.Now() - c.sentAt)
		}
		c.client.Log.Warn("records connection lost", zap.String("trace_id", c.call.TraceID), zap.Error(err))
	}
	c.closeAndFinish(exchange.ResultConnectionLost)
}

// closeAndFinish closes the connection, ends its call with the result unless that may be sent again, and
// lets the next call connect.
func (c *conn) closeAndFinish(result exchange.Result) {
	client := c.client
	c.close()
	if c.call != nil {
		k := c.detachCall()
		if result == exchange.ResultConnectionLost && k.mayResend() && client.Now()+client.linger < k.deadline {
			client.resend(k)
		} else {
			client.finishCall(k, result, nil)
		}
	}
	client.assignConnToNext()
}

// discard closes a connection without a call, and lets the next call connect.
func (c *conn) discard() {
	c.close()
	c.client.assignConnToNext()
}

// resend places a call again that may have run, once the service has forgotten it.
func (c *Client) resend(k *call) {
	if c.linger == 0 {
		c.assignConn(k)
	} else {
		c.assignConnAfter(k, c.linger)
	}
}

// close closes the connection and gives its place back to the pool.
func (c *conn) close() {
	c.state = c.state.next(connEnded)
	c.client.connPool.ReleaseCall()
	c.client.removeIdle(c)
	if c.socket != nil {
		c.socket.CloseGracefully()
	}
}

// detachCall takes the call from the connection.
func (c *conn) detachCall() *call {
	k := c.call
	c.call = nil
	k.conn = nil
	return k
}
