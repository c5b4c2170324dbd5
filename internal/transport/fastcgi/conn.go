package fastcgi

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/frontend"
)

const (
	maxOpenRequests = 32      // per connection
	maxParamsBytes  = 8 << 10 // per request
	// maxTrackedRequests is the maximum number of requests of a connection that are open, or are answered and not
	// received completely.
	maxTrackedRequests = 2 * maxOpenRequests
	// minDiscardedBytes is the length of a partial record above which its memory is worth freeing. Records that begin or
	// abort a request are shorter.
	minDiscardedBytes = 512
)

var errTooManyOpenRequests = fmt.Errorf("more than %d open requests", maxOpenRequests)

// conn implements frontend.Codec for the connection of a load balancer.
type conn struct {
	*frontend.Conn
	server       *frontend.Server
	parser       parser                  // used only by the event loop's goroutine
	openRequests map[uint16]*openRequest // by request id; guarded by the lock of Conn
}

// Feed parses received bytes.
func (c *conn) Feed(received []byte) error {
	return c.parser.feed(received, func(r record) error {
		defer c.MessageHandled()
		return c.handleRecord(r)
	})
}

// HoldsPartialMessage reports whether the parser holds part of a record.
func (c *conn) HoldsPartialMessage() bool { return c.parser.HasPartialFrame() }

// IncompleteSince returns when the oldest request started that has not arrived completely.
func (c *conn) IncompleteSince() (startedAt time.Time, incomplete bool) {
	for _, openReq := range c.openRequests {
		if openReq.inputEnded {
			continue
		}
		if !incomplete || openReq.StartedAt().Before(startedAt) {
			startedAt = openReq.StartedAt()
		}
		incomplete = true
	}
	return startedAt, incomplete
}

// HasCompleteRequest reports whether a request that has arrived completely has no response yet.
func (c *conn) HasCompleteRequest() bool {
	for _, openReq := range c.openRequests {
		if openReq.inputEnded && !openReq.Settled() {
			return true
		}
	}
	return false
}

// RejectIncomplete rejects the requests that have not arrived completely, and returns how many of them had no
// response. Further records of these requests are skipped.
func (c *conn) RejectIncomplete() (rejected int) {
	for _, openReq := range c.openRequests {
		if openReq.inputEnded {
			continue
		}
		openReq.inputEnded = true
		delete(c.openRequests, openReq.id)
		if openReq.Discard() {
			c.Write(appendEndRequest(nil, openReq.id, statusOverloaded))
			rejected++
		}
	}
	return rejected
}

// HeldBytes returns the memory of the parser and of the requests that have not arrived completely.
func (c *conn) HeldBytes() int {
	held := c.parser.HeldBytes()
	for _, openReq := range c.openRequests {
		if !openReq.inputEnded {
			held += frontend.OpenRequestOverheadBytes + cap(openReq.params) + cap(openReq.body)
		}
	}
	return held
}

// ReleaseInput rejects the requests that have not arrived completely, and discards a long partial record, which belongs to
// one of them. Further records of these requests are skipped.
func (c *conn) ReleaseInput() (rejected int, synchronized bool) {
	if c.parser.HeldBytes() > minDiscardedBytes {
		c.parser.DiscardPartialFrame()
	}
	return c.RejectIncomplete(), true
}

// DiscardAll discards all requests and returns the submitted ones that have no response yet.
func (c *conn) DiscardAll() (unanswered []*exchange.Request) {
	for _, openReq := range c.openRequests {
		if req := openReq.PendingRequest(); req != nil {
			unanswered = append(unanswered, req)
		}
		openReq.Discard()
	}
	clear(c.openRequests)
	return unanswered
}

// handleRecord handles one record.
func (c *conn) handleRecord(r record) error {
	if r.id == managementID {
		return c.handleManagementRecord(r)
	}
	c.Lock()
	openReq := c.openRequests[r.id]
	c.Unlock()
	switch {
	case r.recordType == typeBeginRequest:
		return c.handleBeginRequest(r, openReq)
	case openReq == nil: // the request was rejected or aborted
		return c.CountSkippedBytes(len(r.content) + headerBytes)
	case r.recordType == typeParams && !openReq.paramsEnded:
		return c.appendParams(openReq, r.content)
	case r.recordType == typeStdin && openReq.paramsEnded && !openReq.inputEnded:
		return c.appendBody(openReq, r.content)
	case r.recordType == typeAbortRequest:
		c.abortRequest(openReq)
		return nil
	case r.recordType == typeData:
		return c.CountSkippedBytes(len(r.content) + headerBytes)
	}
	return fmt.Errorf("unexpected record of type %d", r.recordType)
}

// handleManagementRecord answers a record that does not belong to a request.
func (c *conn) handleManagementRecord(r record) error {
	if r.recordType != typeGetValues {
		c.Write(appendUnknownType(nil, r.recordType))
		return c.CountSkippedBytes(len(r.content) + headerBytes)
	}
	return errors.Join(c.sendValues(r.content), c.CountSkippedBytes(len(r.content)+headerBytes))
}

// sendValues answers GET_VALUES with the requested variables that this server defines.
func (c *conn) sendValues(content []byte) error {
	var result []byte
	err := parsePairs(content, func(name, _ string) {
		if value, known := managementValues[name]; known {
			result = appendPair(result, name, value)
		}
	})
	if err != nil {
		return err
	}
	c.Write(append(appendHeader(nil, typeGetValuesResult, managementID, len(result)), result...))
	return nil
}

// handleBeginRequest handles BEGIN_REQUEST. The argument existing is the known request with the same id, or nil.
func (c *conn) handleBeginRequest(r record, existing *openRequest) error {
	if len(r.content) != beginRequestBytes {
		return fmt.Errorf("BEGIN_REQUEST record has %d bytes, want %d", len(r.content), beginRequestBytes)
	}
	role := int(r.content[0])<<8 | int(r.content[1])
	keepAlive := r.content[2]&flagKeepConnection != 0
	c.Lock()
	if c.RejectsRequests() {
		c.Unlock()
		c.RequestRejected()
		c.Write(appendEndRequest(nil, r.id, statusOverloaded))
		return nil
	}
	if existing != nil && !existing.Settled() {
		c.Unlock()
		return fmt.Errorf("BEGIN_REQUEST for request id %d, which is still in use", r.id)
	}
	tooManyOpen := c.OpenRequests() >= maxOpenRequests || len(c.openRequests) >= maxTrackedRequests
	if !tooManyOpen && role == roleResponder {
		started := &openRequest{conn: c, id: r.id, keepAlive: keepAlive}
		c.openRequests[r.id] = started
		c.RequestStarted(&started.OpenRequest)
	}
	c.Unlock()
	switch {
	case role != roleResponder:
		c.Write(appendEndRequest(nil, r.id, statusUnknownRole))
		return c.CountInvalidRequest()
	case tooManyOpen:
		c.server.Log.Warn("request rejected", zap.Error(errTooManyOpenRequests))
		c.Write(appendEndRequest(nil, r.id, statusOverloaded))
		return c.CountInvalidRequest()
	}
	return nil
}

// appendParams adds a record of the PARAMS stream to the parameters. An empty record ends the stream.
func (c *conn) appendParams(openReq *openRequest, content []byte) error {
	openReq.paramsEnded = len(content) == 0
	if openReq.failed {
		return c.CountSkippedBytes(len(content))
	}
	if len(openReq.params)+len(content) > maxParamsBytes {
		return c.failRequest(openReq, http.StatusRequestHeaderFieldsTooLarge, fmt.Errorf("parameters exceed %d bytes", maxParamsBytes))
	}
	openReq.params = append(openReq.params, content...)
	return nil
}

// appendBody adds a record of the STDIN stream to the body. An empty record ends the stream. The body of a
// request that is already answered or discarded is skipped.
func (c *conn) appendBody(openReq *openRequest, content []byte) error {
	ended := len(content) == 0
	c.Lock()
	openReq.inputEnded = ended
	settled := openReq.Settled()
	if settled && ended {
		c.removeRequest(openReq)
	}
	if ended {
		c.RequestArrived()
	}
	c.Unlock()
	switch {
	case settled:
		return c.CountSkippedBytes(len(content))
	case ended:
		return c.completeRequest(openReq)
	case len(openReq.body)+len(content) > frontend.MaxBodyBytes:
		return c.failRequest(openReq, http.StatusRequestEntityTooLarge, fmt.Errorf("body exceeds %d bytes", frontend.MaxBodyBytes))
	}
	openReq.body = append(openReq.body, content...)
	return nil
}

// abortRequest ends a request that the caller has aborted.
func (c *conn) abortRequest(openReq *openRequest) {
	c.ReportAborted(&openReq.OpenRequest)
	c.Lock()
	openReq.inputEnded = true
	c.Unlock()
	c.writeFinalRecords(openReq, appendEndRequest(nil, openReq.id, statusRequestComplete))
}

// removeRequest removes a request from openRequests. The caller must hold the lock of Conn.
func (c *conn) removeRequest(openReq *openRequest) {
	if c.openRequests[openReq.id] == openReq {
		delete(c.openRequests, openReq.id)
	}
}
