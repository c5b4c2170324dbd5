package records

import (
	"slices"
	"time"

	"oxbowbridge/internal/proxy/exchange"
)

// place gives a call a connection, or queues it.
func (c *Client) place(k *call) {
	if !c.tryPlace(k) {
		c.queue = append(c.queue, k)
	}
}

// placeAfter places a call after a delay.
func (c *Client) placeAfter(k *call, delay time.Duration) {
	k.retryTimer = c.Timers.Schedule(c.Now()+delay, func() { c.place(k) })
}

// placeNext places the call that has queued for longest, if there is room.
func (c *Client) placeNext() {
	if len(c.queue) > 0 && c.tryPlace(c.queue[0]) {
		c.queue = c.queue[1:]
	}
}

// tryPlace gives a call an idle connection or a new one, for which an idle one may have to make
// room. It reports false if the call has to wait. Without an address the call ends here.
func (c *Client) tryPlace(k *call) bool {
	if i := c.reusable(k); i >= 0 {
		idle := c.idle[i]
		c.removeIdle(idle)
		idle.begin(k)
		return true
	}
	if c.addr == "" {
		c.finish(k, exchange.ResultUnreachable, nil)
		return true
	}
	if !c.acquireConn() {
		return false
	}
	c.connect(k)
	return true
}

// reusable returns the index of the idle connection, the latest used first, that may carry a
// call, -1 if there is none. Only idempotent calls reuse one: an idle connection may have been
// dropped on the way, and the call that finds out may have to be sent again. Nor may copies of an
// earlier reply to the same request pass for the reply to this call.
func (c *Client) reusable(k *call) int {
	if !k.Idempotent {
		return -1
	}
	for i, idle := range slices.Backward(c.idle) {
		if idle.latestTraceID != k.TraceID {
			return i
		}
	}
	return -1
}

// acquireConn takes the place of one connection from the pool. Where none is left, the
// connection that has been idle for longest gives up its own, to this call rather than to one
// that queues.
func (c *Client) acquireConn() bool {
	if c.pool.AcquireCall() {
		return true
	}
	if len(c.idle) == 0 {
		return false
	}
	c.idle[0].close()
	return c.pool.AcquireCall()
}

// removeIdle takes a connection from the idle ones.
func (c *Client) removeIdle(idle *conn) {
	c.Timers.Cancel(idle.timer)
	c.idle = slices.DeleteFunc(c.idle, func(x *conn) bool { return x == idle })
}
