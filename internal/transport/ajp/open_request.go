package ajp

import (
	"net/http"
	"strconv"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/frontend"
)

// unknownLength is the value of remainingBytes for a body that is sent with a transfer encoding.
const unknownLength = -1

// afterResponse states whether a connection stays open or is closed after a response.
type afterResponse bool

const (
	keepOpen   afterResponse = true
	closeAfter afterResponse = false
)

// openRequest is a request that has no response yet.
type openRequest struct {
	frontend.OpenRequest
	conn           *conn
	raw            frontend.RawRequest // until the request is complete
	headBytes      int                 // memory of raw
	body           []byte
	remainingBytes int  // bytes of the body that have not arrived, or unknownLength
	complete       bool // the request has arrived completely
}

// completeRequest handles a request that has arrived completely. It responds to health checks and invalid
// requests, and submits all others to the dispatcher.
func (c *conn) completeRequest(openReq *openRequest) error {
	c.Lock()
	if openReq.Settled() { // already discarded: its response could not be sent
		c.Unlock()
		return nil
	}
	openReq.complete = true
	c.RequestArrived()
	c.Unlock()
	raw := openReq.raw
	openReq.raw = frontend.RawRequest{}
	if raw.IsHealthCheck() {
		c.sendResponse(openReq, frontend.HealthResponse(c.frontend.Exchange.Healthy()), keepOpen)
		return nil
	}
	req, err := raw.Decode(c.frontend.Classes, time.Now())
	if err != nil {
		c.LogFailedRequest(http.StatusBadRequest, err)
		c.sendResponse(openReq, frontend.HTTPResponse{Status: http.StatusBadRequest}, keepOpen)
		return c.CountInvalidRequest()
	}
	req.Body = openReq.body
	req.Responder = openReq
	c.submitOrReject(openReq, req)
	return nil
}

// submitOrReject submits a request to the dispatcher, or rejects it if the process has too many requests.
func (c *conn) submitOrReject(openReq *openRequest, req *exchange.Request) {
	if !c.Submit(&openReq.OpenRequest, req) {
		c.sendResponse(openReq, frontend.HTTPResponse{Status: http.StatusServiceUnavailable}, keepOpen)
	}
}

// failRequest responds to a request before its body is read, and closes the connection, since the rest of
// the body may still arrive on it.
func (c *conn) failRequest(openReq *openRequest, status int, err error) {
	c.LogFailedRequest(status, err)
	c.sendResponse(openReq, frontend.HTTPResponse{Status: status}, closeAfter)
}

// Respond writes the response to the request. It is called on the dispatcher's goroutine.
func (openReq *openRequest) Respond(response exchange.Response) {
	openReq.conn.sendResponse(openReq, frontend.NewHTTPResponse(response), keepOpen)
	openReq.conn.CountResponse(response)
}

// sendResponse writes the response to a request. A second call for the same request has no effect. The response tells the
// web server not to reuse a connection that is being closed.
func (c *conn) sendResponse(openReq *openRequest, r frontend.HTTPResponse, after afterResponse) {
	c.Lock()
	if c.RejectsRequests() {
		after = closeAfter
	}
	c.Unlock()
	c.WriteResponse(&openReq.OpenRequest, c.encodeResponse(r, after), after == keepOpen, func() { c.openReq = nil })
}

// encodeResponse returns the packets of a response.
func (c *conn) encodeResponse(r frontend.HTTPResponse, after afterResponse) []byte {
	headers := []frontend.Header{
		{Name: headerContentType, Value: contentTypeOctetStream},
		{Name: headerContentLength, Value: strconv.Itoa(len(r.Body))},
	}
	headers = append(headers, frontend.CommonHeaders(c.frontend.Exchange)...)
	headers = append(headers, r.Headers...)
	return encodeResponse(r.Status, headers, r.Body, after == keepOpen)
}
