package frontend

import (
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
)

// Call is one request of a connection, from its first byte to its answer; a Codec embeds it in
// its own. It is guarded by the lock of the connection.
type Call struct {
	settled   bool              // answered, discarded, or its connection lost: nothing is written for it
	submitted *exchange.Request // nil until it was handed to the exchange
}

// Settled reports whether the request has its answer, or will get none.
func (call *Call) Settled() bool { return call.settled }

// Discard settles a request without an answer, and reports whether it was open until then.
func (call *Call) Discard() (wasOpen bool) {
	wasOpen = !call.settled
	call.settled = true
	return wasOpen
}

// Unanswered returns the request if it was submitted and is not settled, else nil.
func (call *Call) Unanswered() *exchange.Request {
	if call.settled {
		return nil
	}
	return call.submitted
}

// Submit hands a request to the exchange, and reports false if the process holds too many. A
// request that was settled meanwhile is not handed over: its connection was lost, and the exchange
// would be notified of that before it had the request. It is called on the event loop's goroutine.
func (c *Conn) Submit(call *Call, req *exchange.Request) bool {
	c.skippedBytes = 0
	accepted := c.submit(call, req)
	if !accepted {
		c.server.Log.Warn("request rejected: too many open requests")
	}
	return accepted
}

func (c *Conn) submit(call *Call, req *exchange.Request) bool {
	c.Lock()
	defer c.Unlock()
	if call.settled {
		return true
	}
	call.submitted = req
	return c.server.Exchange.Submit(req)
}

// WriteResponse writes the last bytes for a request, once; release has the Codec forget it. Without
// keepAlive the connection takes no further request.
func (c *Conn) WriteResponse(call *Call, encoded []byte, keepAlive bool, release func()) {
	c.Lock()
	defer c.Unlock()
	if call.settled {
		return
	}
	call.settled = true
	release()
	c.Write(encoded)
	c.draining = c.draining || !keepAlive
	c.requestSettled()
}

// Abandon notifies the exchange that the caller has aborted a request.
func (c *Conn) Abandon(call *Call) {
	c.Lock()
	req := call.submitted
	c.Unlock()
	if req != nil {
		c.server.Exchange.Post(exchange.ClientGone{Request: req})
	}
}

// LogFailedRequest logs a request that is answered with an error of the caller's.
func (c *Conn) LogFailedRequest(status int, err error) {
	c.server.Log.Warn("request failed", zap.Int("status", status), zap.Error(err))
}
