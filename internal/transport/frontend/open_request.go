package frontend

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
)

// OpenRequest is the state of one request on a connection, from its first byte to its response. A Codec
// embeds it in its own request type. The lock of the connection guards it.
type OpenRequest struct {
	startedAt time.Time         // when the first byte of the request arrived
	settled   bool              // answered or discarded, or the connection is closed: nothing more is written for it
	submitted *exchange.Request // nil until the request was submitted to the exchange
}

// StartedAt returns when the first byte of the request arrived.
func (open *OpenRequest) StartedAt() time.Time { return open.startedAt }

// Settled reports whether the request has its response, or will get none.
func (open *OpenRequest) Settled() bool { return open.settled }

// Discard settles a request without a response, and reports whether it was open until then.
func (open *OpenRequest) Discard() (wasOpen bool) {
	wasOpen = !open.settled
	open.settled = true
	return wasOpen
}

// PendingRequest returns the submitted request if it is not settled, else nil.
func (open *OpenRequest) PendingRequest() *exchange.Request {
	if open.settled {
		return nil
	}
	return open.submitted
}

// Submit submits a request to the exchange, and reports false if the process has too many open requests.
// A request that is already settled is not submitted. Its connection is closed, and the exchange would
// be notified of the aborted request before it received the request. A request whose caller has left is not
// submitted either: it could run before the event loop reads the end of the connection. Submit is called on the
// event loop's goroutine.
func (c *Conn) Submit(open *OpenRequest, req *exchange.Request) bool {
	c.skippedBytes = 0
	if c.PeerClosed() {
		return true // OnClose follows and settles the request
	}
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

// WriteResponse writes the response to a request and settles the request, unless it is settled already.
// It calls release, with which the Codec removes the request. Without keepAlive the connection rejects
// further requests.
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

// ReportAborted notifies the exchange that the caller has aborted a submitted request.
func (c *Conn) ReportAborted(open *OpenRequest) {
	c.Lock()
	req := open.submitted
	c.Unlock()
	if req != nil {
		c.server.Exchange.Post(exchange.RequestCanceled{Request: req})
	}
}

// LogFailedRequest logs a request that failed because of an error of the caller.
func (c *Conn) LogFailedRequest(status int, err error) {
	c.server.Log.Warn("request failed", zap.Int("status", status), zap.Error(err))
}
