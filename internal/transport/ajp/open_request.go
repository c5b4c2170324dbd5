package ajp

import (
	"net/http"
	"strconv"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/frontend"
)

// unknownLength is the remaining length of a body that is sent with a transfer encoding.
const unknownLength = -1

// afterReply says whether a connection goes on after a response.
type afterReply bool

const (
	keepOpen   afterReply = true
	closeAfter afterReply = false
)

// openRequest is one request.
type openRequest struct {
	frontend.OpenRequest
	conn           *conn
	raw            frontend.RawRequest
	body           []byte
	remainingBytes int  // of the body, or unknownLength
	complete       bool // all of it has arrived
}

// complete handles a request that has arrived to its end: it answers health checks and faulty
// requests, and hands others over.
func (c *conn) complete(open *openRequest) error {
	c.Lock()
	if open.Settled() { // discarded just now: nobody would get its answer
		c.Unlock()
		return nil
	}
	open.complete = true
	c.RequestArrived()
	c.Unlock()
	if open.raw.IsHealthCheck() {
		c.reply(open, frontend.HealthResponse(c.frontend.Exchange.Healthy()), keepOpen)
		return nil
	}
	req, err := open.raw.Decode(c.frontend.Classes, time.Now())
	if err != nil {
		c.LogFailedRequest(http.StatusBadRequest, err)
		c.reply(open, frontend.HTTPResponse{Status: http.StatusBadRequest}, keepOpen)
		return c.CountInvalidRequest()
	}
	req.Body = open.body
	req.Responder = open
	c.submit(open, req)
	return nil
}

// submit hands a request over, or rejects it if the process holds too many.
func (c *conn) submit(open *openRequest, req *exchange.Request) {
	if !c.Submit(&open.OpenRequest, req) {
		c.reply(open, frontend.HTTPResponse{Status: http.StatusServiceUnavailable}, keepOpen)
	}
}

// fail answers a request whose body is not read: it may still be on its way, so that the
// connection can't go on.
func (c *conn) fail(open *openRequest, status int, err error) {
	c.LogFailedRequest(status, err)
	c.reply(open, frontend.HTTPResponse{Status: status}, closeAfter)
}

// Respond writes the answer to the request. It is called on the dispatcher's goroutine.
func (open *openRequest) Respond(answer exchange.Response) {
	open.conn.reply(open, frontend.NewHTTPResponse(answer), keepOpen)
	open.conn.CountResponse(answer)
}

// reply writes a response, once.
func (c *conn) reply(open *openRequest, r frontend.HTTPResponse, after afterReply) {
	headers := []frontend.Header{
		{Name: headerContentType, Value: contentTypeBytes},
		{Name: headerContentLength, Value: strconv.Itoa(len(r.Body))},
	}
	headers = append(headers, frontend.CommonHeaders(c.frontend.Exchange)...)
	headers = append(headers, r.Headers...)
	packets := responsePackets(r.Status, headers, r.Body, after == keepOpen)
	c.WriteResponse(&open.OpenRequest, packets, after == keepOpen, func() { c.open = nil })
}
