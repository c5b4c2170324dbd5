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
	// maxIdleTime is how long an idle connection is cached. The service closes idle connections after
	// 10 s, and some network hops drop them earlier. The failure of a call on a dropped connection
	// does not indicate a fault of the service.
	maxIdleTime  = time.Second
	maxIdleConns = 16

	// Maximum number of dials for one call, and the delay before the second dial. Dials are retried
	// since the service may be moving to another address. The delay doubles with each dial.
	maxDials       = 5
	dialRetryDelay = 20 * time.Millisecond

	// maxStrayReplies is how many replies that match no call are tolerated per call.
	maxStrayReplies = 16
)

var (
	errMalformedReply = errors.New("malformed reply")
	errReplyTimeout   = errors.New("timeout while waiting for the reply")
)

// conn is a connection to the service.
type conn struct {
	client        *Client
	addr          string
	socket        *eventloop.Conn // nil while dialing
	state         connState
	call          *call  // set while dialing or busy
	latestTraceID string // trace id of the latest call; duplicate replies to it may still arrive
	strayReplies  int    // since the latest call
	sentAt        time.Duration
	timer         *timerqueue.Timer // reply timeout while busy, idle timeout while idle
}

// connect dials a connection for a call. The caller has acquired a slot with acquireConnSlot.
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

// dialCompleted sends the call, unless it was canceled during the dial.
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

// dialFailed schedules another dial for the call after a delay, since the service may be restarting or
// moving to another address. That is safe because the call was not sent. After maxDials dials, or at
// its deadline, the call ends as unreachable.
func (c *conn) dialFailed(err error) {
	client := c.client
	k := c.call
	k.failedDials++
	if k.failedDials >= maxDials || client.Now() >= k.deadline || client.addr == "" {
		client.Log.Warn("records service unreachable", zap.Error(err))
		c.closeAndFinish(exchange.ResultUnreachable)
		return
	}
	c.detachCall()
	client.assignConnAfter(k, dialRetryDelay<<(k.failedDials-1))
	c.discard()
}

// sendCall sends a call on the connection.
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
	if k.mayResend() { // the reply may never arrive, or never be complete
		c.timer = client.Timers.Schedule(c.sentAt+client.latency.ReplyTimeout(), func() { c.connectionLost(errReplyTimeout) })
	}
}

// cancelCall cancels the call of the connection and closes the connection.
func (c *conn) cancelCall() {
	traceID := c.call.TraceID
	c.call = nil
	if c.socket != nil {
		c.socket.Write(lineproto.AppendLine(nil, commandCancel, traceID))
	}
	c.discard()
}

// receive handles one message from the service.
func (c *conn) receive(m lineproto.Message) {
	reply, err := parseReply(m)
	if err != nil { // the input after a malformed reply can't be trusted
		c.connectionLost(err)
		return
	}
	if c.state != connBusy || c.call.TraceID != reply.traceID { // while dialing, the call is not sent yet
		c.countStrayReply()
		return
	}
	if reply.result == exchange.ResultOK { // rejections arrive faster and would lower the estimate
		c.client.latency.Observe(c.client.Now() - c.sentAt)
	}
	c.client.finishCall(c.detachCall(), reply.result, reply.body)
	c.release()
}

// countStrayReply counts a duplicate reply or a reply without a call. It closes the connection if the
// service sends too many of them.
func (c *conn) countStrayReply() {
	c.strayReplies++
	if c.strayReplies > maxStrayReplies {
		c.connectionLost(fmt.Errorf("%w: %d replies that belong to no call", errMalformedReply, c.strayReplies))
	}
}

// release makes the connection idle for the next call, or closes it if the service's address has changed.
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

// connectionLost handles a connection that was closed, had malformed input or timed out while waiting
// for the reply.
func (c *conn) connectionLost(err error) {
	if c.state == connDialing {
		c.dialFailed(err)
		return
	}
	if c.call != nil {
		if errors.Is(err, errReplyTimeout) { // the elapsed time is a lower bound of the latency
			c.client.latency.Observe(c.client.Now() - c.sentAt)
		}
		c.client.Log.Warn("records connection lost", zap.String("trace_id", c.call.TraceID), zap.Error(err))
	}
	c.closeAndFinish(exchange.ResultConnectionLost)
}

// closeAndFinish closes the connection and assigns a connection to the next queued call. Its call is
// sent again if the connection was lost and the call may be resent; else the call ends with the result.
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

// discard closes a connection without a call, and assigns a connection to the next queued call.
func (c *conn) discard() {
	c.close()
	c.client.assignConnToNext()
}

// resend assigns another connection to a call that the service may have run, after the linger time for
// which the service may still count the call.
func (c *Client) resend(k *call) {
	if c.linger == 0 {
		c.assignConn(k)
	} else {
		c.assignConnAfter(k, c.linger)
	}
}

// close closes the connection and releases its slot in the pool.
func (c *conn) close() {
	c.state = c.state.next(connEnded)
	c.client.connPool.ReleaseCall()
	c.client.removeIdle(c)
	if c.socket != nil {
		c.socket.CloseGracefully()
	}
}

// detachCall removes the call from the connection and returns it.
func (c *conn) detachCall() *call {
	k := c.call
	c.call = nil
	k.conn = nil
	return k
}
