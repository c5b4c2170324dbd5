package records

import (
	"slices"
	"time"

	"oxbowbridge/internal/proxy/exchange"
)

// assignConn assigns a connection to a call, or queues the call.
func (c *Client) assignConn(k *call) {
	if !c.tryAssignConn(k) {
		c.queue = append(c.queue, k)
	}
}

// assignConnAfter calls assignConn after a delay.
func (c *Client) assignConnAfter(k *call, delay time.Duration) {
	k.retryTimer = c.Timers.Schedule(c.Now()+delay, func() { c.assignConn(k) })
}

// assignConnToNext assigns a connection to the oldest queued call, if one is available.
func (c *Client) assignConnToNext() {
	if len(c.queue) > 0 && c.tryAssignConn(c.queue[0]) {
		c.queue = c.queue[1:]
	}
}

// tryAssignConn assigns an idle connection or a new one to a call. To open a new one, it may close an
// idle connection. It reports false if the call has to wait. Without an address the call ends as
// unreachable.
func (c *Client) tryAssignConn(k *call) bool {
	if i := c.reusableConn(k); i >= 0 {
		idle := c.idleConns[i]
		c.removeIdle(idle)
		idle.sendCall(k)
		return true
	}
	if c.addr == "" {
		c.finishCall(k, exchange.ResultUnreachable, nil)
		return true
	}
	if !c.acquireConnSlot() {
		return false
	}
	c.connect(k)
	return true
}

// reusableConn returns the index of the most recently used idle connection that a call may use, -1 if
// there is none. Only idempotent calls reuse a connection: the network may have dropped an idle
// connection, and the call may then have to be sent again. A connection is not reused for the request
// of its latest call, since a duplicate reply to that call could be taken for the reply to this one.
func (c *Client) reusableConn(k *call) int {
	if !k.Idempotent {
		return -1
	}
	for i, idle := range slices.Backward(c.idleConns) {
		if idle.latestTraceID != k.TraceID {
			return i
		}
	}
	return -1
}

// acquireConnSlot acquires a slot for one connection from the pool. If none is left, it closes the
// connection that has been idle for longest and acquires its slot, ahead of any queued call.
func (c *Client) acquireConnSlot() bool {
	if c.connPool.AcquireCall() {
		return true
	}
	if len(c.idleConns) == 0 {
		return false
	}
	c.idleConns[0].close()
	return c.connPool.AcquireCall()
}

// removeIdle removes a connection from idleConns and stops its timer.
func (c *Client) removeIdle(idle *conn) {
	c.Timers.Cancel(idle.timer)
	c.idleConns = slices.DeleteFunc(c.idleConns, func(x *conn) bool { return x == idle })
}
