package records

import (
	"slices"
	"time"

	"oxbowbridge/internal/proxy/exchange"
)

// assignConn gives a call a connection, or queues it.
func (c *Client) assignConn(k *call) {
	if !c.tryAssignConn(k) {
		c.queue = append(c.queue, k)
	}
}

// assignConnAfter places a call after a delay.
func (c *Client) assignConnAfter(k *call, delay time.Duration) {
	k.retryTimer = c.Timers.Schedule(c.Now()+delay, func() { c.assignConn(k) })
}

// assignConnToNext places the call that has queued for longest, if there is room.
func (c *Client) assignConnToNext() {
	if len(c.queue) > 0 && c.tryAssignConn(c.queue[0]) {
		c.queue = c.queue[1:]
	}
}

// tryAssignConn gives a call an idle connection or a new one, for which an idle one may have to make
// room. It reports false if the call has to wait. Without an address the call ends here.
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

// reusableConn returns the index of the idle connection, the latest used first, that may carry a
// call, -1 if there is none. Only idempotent calls reuse one: an idle connection may have been
// dropped on the way, and the call that finds out may have to be sent again. Nor may copies of an
// earlier reply to the same request pass for the reply to this call.
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

// acquireConnSlot takes the place of one connection from the pool. Where none is left, the
// connection that has been idle for longest gives up its own, to this call rather than to one
// that queues.
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

// removeIdle takes a connection from the idle ones.
func (c *Client) removeIdle(idle *conn) {
	c.Timers.Cancel(idle.timer)
	c.idleConns = slices.DeleteFunc(c.idleConns, func(x *conn) bool { return x == idle })
}
