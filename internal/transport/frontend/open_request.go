package frontend

import (
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
)

// OpenRequest is one request of a connection, from its first byte to its answer; a Codec embeds it in
// its own. It is guarded by the lock of the connection.
type OpenRequest struct {
	settled   bool              // answered, discarded, or its connection lost: nothing is written for it
	submitted *exchange.Request // nil until it was handed to the exchange
}

// Settled reports whether the request has its answer, or will get none.
func (open *OpenRequest) Settled() bool { return open.settled }

// Discard settles a request without an answer, and reports whether it was open until then.
func (open *OpenRequest) Discard() (wasOpen bool) {
	wasOpen = !open.settled
	open.settled = true
	return wasOpen
}

// PendingRequest returns the request if it was submitted and is not settled, else nil.
func (open *OpenRequest) PendingRequest() *exchange.Request {
	if open.settled {
		return nil
	}
	return open.submitted
}

// Submit hands a request to the exchange, and reports false if the process holds too many. A
// request that was settled meanwhile is not handed over: its connection was lost, and the exchange
// would be notified of that before it had the request. It is called on the event loop's goroutine.
func (c *Conn) Submit(open *OpenRequest, req *exchange.Request) bool {
	c.skippedBytes = 0
	accepted := c.submit(open, req)
	if !accepted {
		c.server.Log.Warn("request rejected: too many open requests")
	}
	return accepted
}

func (c *Conn) submit(open *OpenRequest, req *exchange.Request) bool {
	c.Lock()
	defer c.Unlock()
	if open.settled {
		return true
	}
	open.submitted = req
	return c.server.Exchange.Submit(req)
}

// WriteResponse writes the last bytes for a request, once; release has the Codec forget it. Without
// keepAlive the connection takes no further request.
func (c *Conn) WriteResponse(open *OpenRequest, encoded []byte, keepAlive bool, release func()) {
	c.Lock()
	defer c.Unlock()
	if open.settled {
		return
	}
	open.settled = true
	release()
	c.Write(encoded)
	c.rejectsRequests = c.rejectsRequests || !keepAlive
	c.requestAnswered()
}

// ReportAborted notifies the exchange that the caller has aborted a request.
func (c *Conn) ReportAborted(open *OpenRequest) {
	c.Lock()
	req := open.submitted
	c.Unlock()
	if req != nil {
		c.server.Exchange.Post(exchange.CallerGone{Request: req})
	}
}

// LogFailedRequest logs a request that is answered with an error of the caller's.
func (c *Conn) LogFailedRequest(status int, err error) {
	c.server.Log.Warn("request failed", zap.Int("status", status), zap.Error(err))
}
