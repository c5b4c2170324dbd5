package fastcgi

import (
	"errors"
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/frontend"
)

const (
	maxOpenRequests = 32      // of one connection
	maxParamsBytes  = 8 << 10 // of one request
)

var errTooManyOpen = fmt.Errorf("more than %d open requests", maxOpenRequests)

// conn is the frontend.Codec of one connection of a balancer.
type conn struct {
	*frontend.Conn
	server       *frontend.Server
	parser       parser                  // of the event loop's goroutine
	openRequests map[uint16]*openRequest // by request id, guarded by the lock of Conn
}

// Feed parses received bytes.
func (c *conn) Feed(received []byte) error { return c.parser.feed(received, c.record) }

// HoldsPartialMessage reports whether the parser holds part of a record.
func (c *conn) HoldsPartialMessage() bool { return len(c.parser.buf) > 0 }

// HasIncompleteRequest reports whether the input of a request has not ended.
func (c *conn) HasIncompleteRequest() bool {
	for _, open := range c.openRequests {
		if !open.inputEnded {
			return true
		}
	}
	return false
}

// DiscardIncomplete forgets the requests whose input has not ended. What is still to come of
// them is skipped.
func (c *conn) DiscardIncomplete() (unanswered int) {
	for _, open := range c.openRequests {
		if open.inputEnded {
			continue
		}
		open.inputEnded = true
		delete(c.openRequests, open.id)
		if open.Discard() {
			unanswered++
		}
	}
	return unanswered
}

// DiscardAll forgets all requests.
func (c *conn) DiscardAll() (unanswered []*exchange.Request) {
	for _, open := range c.openRequests {
		if req := open.PendingRequest(); req != nil {
			unanswered = append(unanswered, req)
		}
		open.Discard()
	}
	clear(c.openRequests)
	return unanswered
}

// record handles one record.
func (c *conn) record(r record) error {
	if r.id == managementID {
		return c.managementRecord(r)
	}
	c.Lock()
	open := c.openRequests[r.id]
	c.Unlock()
	switch {
	case r.kind == typeBeginRequest:
		return c.beginRequest(r, open)
	case open == nil: // input of a request that was rejected or aborted
		return c.CountSkippedBytes(len(r.content) + headerBytes)
	case r.kind == typeParams && !open.paramsEnded:
		return c.appendParams(open, r.content)
	case r.kind == typeStdin && open.paramsEnded && !open.inputEnded:
		return c.appendBody(open, r.content)
	case r.kind == typeAbortRequest:
		c.abort(open)
		return nil
	case r.kind == typeData:
		return c.CountSkippedBytes(len(r.content) + headerBytes)
	}
	return fmt.Errorf("unexpected record of type %d", r.kind)
}

// managementRecord answers a record that belongs to no request.
func (c *conn) managementRecord(r record) error {
	if r.kind != typeGetValues {
		c.Write(appendUnknownType(nil, r.kind))
		return c.CountSkippedBytes(len(r.content) + headerBytes)
	}
	return errors.Join(c.getValues(r.content), c.CountSkippedBytes(len(r.content)+headerBytes))
}

// getValues answers GET_VALUES with the variables that are known.
func (c *conn) getValues(content []byte) error {
	var result []byte
	err := readPairs(content, func(name, _ string) {
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

// beginRequest handles BEGIN_REQUEST; earlier is the request that had its id until now.
func (c *conn) beginRequest(r record, earlier *openRequest) error {
	if len(r.content) != beginRequestBytes {
		return fmt.Errorf("BEGIN_REQUEST of %d bytes", len(r.content))
	}
	role := int(r.content[0])<<8 | int(r.content[1])
	keepAlive := r.content[2]&flagKeepConnection != 0
	c.Lock()
	if c.RejectsRequests() {
		c.Unlock()
		return nil
	}
	if earlier != nil && !earlier.Settled() {
		c.Unlock()
		return fmt.Errorf("request %d begins twice", r.id)
	}
	full := c.OpenRequests() >= maxOpenRequests
	if !full && role == roleResponder {
		c.openRequests[r.id] = &openRequest{conn: c, id: r.id, keepAlive: keepAlive}
		c.RequestStarted()
	}
	c.Unlock()
	switch {
	case role != roleResponder:
		c.Write(appendEndRequest(nil, r.id, statusUnknownRole))
	case full:
		c.server.Log.Warn("request rejected", zap.Error(errTooManyOpen))
		c.Write(appendEndRequest(nil, r.id, statusOverloaded))
		return c.CountInvalidRequest()
	}
	return nil
}

// appendParams takes a record of the PARAMS stream, which an empty one ends.
func (c *conn) appendParams(open *openRequest, content []byte) error {
	open.paramsEnded = len(content) == 0
	if open.failed {
		return c.CountSkippedBytes(len(content))
	}
	if len(open.params)+len(content) > maxParamsBytes {
		return c.fail(open, http.StatusRequestHeaderFieldsTooLarge, fmt.Errorf("parameters of more than %d bytes", maxParamsBytes))
	}
	open.params = append(open.params, content...)
	return nil
}

// appendBody takes a record of the STDIN stream, which an empty one ends. The rest of the body
// of a request that has failed is skipped.
func (c *conn) appendBody(open *openRequest, content []byte) error {
	ended := len(content) == 0
	c.Lock()
	open.inputEnded = ended
	settled := open.Settled()
	if settled && ended {
		c.forget(open)
	}
	if ended {
		c.RequestArrived()
	}
	c.Unlock()
	switch {
	case settled:
		return c.CountSkippedBytes(len(content))
	case ended:
		return c.complete(open)
	case len(open.body)+len(content) > frontend.MaxBodyBytes:
		return c.fail(open, http.StatusRequestEntityTooLarge, fmt.Errorf("body of more than %d bytes", frontend.MaxBodyBytes))
	}
	open.body = append(open.body, content...)
	return nil
}

// abort ends a request whose caller takes it back.
func (c *conn) abort(open *openRequest) {
	c.ReportAborted(&open.OpenRequest)
	c.Lock()
	open.inputEnded = true
	c.Unlock()
	c.respond(open, appendEndRequest(nil, open.id, statusRequestComplete))
}

// forget forgets a request. The lock is held.
func (c *conn) forget(open *openRequest) {
	if c.openRequests[open.id] == open {
		delete(c.openRequests, open.id)
	}
}
