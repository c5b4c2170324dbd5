package ajp

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/frontend"
)

// conn implements frontend.Codec for the connection of a web server. The web server sends one request at a
// time.
type conn struct {
	*frontend.Conn
	frontend *Frontend
	parser   parser       // used only by the event loop's goroutine
	openReq  *openRequest // set from the first packet of a request until its response; guarded by the lock of Conn
}

// Feed parses received bytes.
func (c *conn) Feed(received []byte) error {
	return c.parser.feed(received, func(content []byte) error {
		defer c.MessageHandled()
		return c.handlePacket(content)
	})
}

// HoldsPartialMessage reports whether the parser holds part of a packet.
func (c *conn) HoldsPartialMessage() bool { return c.parser.HasPartialFrame() }

// IncompleteSince returns when the request started if its body has not arrived completely.
func (c *conn) IncompleteSince() (startedAt time.Time, incomplete bool) {
	if c.openReq == nil || c.openReq.complete {
		return time.Time{}, false
	}
	return c.openReq.StartedAt(), true
}

// HasCompleteRequest reports whether the request has arrived completely and has no response yet.
func (c *conn) HasCompleteRequest() bool { return c.openReq != nil && c.openReq.complete }

// RejectIncomplete rejects the request if its body has not arrived completely, and returns the number of
// rejected requests.
func (c *conn) RejectIncomplete() (rejected int) {
	if _, incomplete := c.IncompleteSince(); !incomplete {
		return 0
	}
	c.openReq.Discard()
	c.openReq = nil
	c.Write(c.encodeResponse(frontend.HTTPResponse{Status: http.StatusServiceUnavailable}, closeAfter))
	return 1
}

// HeldBytes returns the memory of the parser and of a request whose body has not arrived completely.
func (c *conn) HeldBytes() int {
	held := c.parser.HeldBytes()
	if _, incomplete := c.IncompleteSince(); incomplete {
		held += frontend.OpenRequestOverheadBytes + c.openReq.headBytes + cap(c.openReq.body)
	}
	return held
}

// ReleaseInput rejects a request whose body has not arrived completely, and discards a partial packet. The rest of a body
// may still arrive, so the connection can't be used for further requests.
func (c *conn) ReleaseInput() (rejected int, synchronized bool) {
	c.parser.DiscardPartialFrame()
	return c.RejectIncomplete(), false
}

// DiscardAll discards the open request, if any, and returns it if it was submitted and has no response yet.
func (c *conn) DiscardAll() (unanswered []*exchange.Request) {
	if c.openReq == nil {
		return nil
	}
	if req := c.openReq.PendingRequest(); req != nil {
		unanswered = append(unanswered, req)
	}
	c.openReq.Discard()
	c.openReq = nil
	return unanswered
}

// handlePacket handles the content of one packet.
func (c *conn) handlePacket(content []byte) error {
	c.Lock()
	openReq := c.openReq
	rejecting := c.RejectsRequests()
	c.Unlock()
	switch {
	case rejecting:
		return c.CountSkippedBytes(len(content) + packetHeaderBytes)
	case openReq != nil && !openReq.complete:
		return c.handleBodyChunk(openReq, content)
	case len(content) == 0:
		return errors.New("unexpected empty packet")
	case content[0] == codeCPing && openReq == nil:
		c.sendCPong()
		return nil
	case content[0] == codeShutdown || content[0] == codePing: // ignored: no caller may stop the service
		return c.CountSkippedBytes(len(content) + packetHeaderBytes)
	case content[0] == codeForwardRequest && openReq == nil:
		return c.handleForwardRequest(content[1:])
	}
	return fmt.Errorf("unexpected packet with code %d", content[0])
}

// sendCPong answers a CPING packet, with which a web server checks a pooled connection.
func (c *conn) sendCPong() {
	c.Lock()
	c.RequestArrived()
	c.Unlock()
	c.Write(encodePacket(magicToWebServer, []byte{codeCPong}))
}

// handleForwardRequest handles FORWARD_REQUEST, the first packet of a request.
func (c *conn) handleForwardRequest(content []byte) error {
	fwd, err := parseForwardRequest(content)
	if err != nil {
		return err
	}
	header := func(name string) string { return fwd.headers[strings.ToLower(name)] }
	raw := frontend.RawRequest{Path: fwd.path, Method: fwd.method, Header: header}
	openReq := &openRequest{conn: c, raw: raw, headBytes: fwd.heldBytes()}
	if !c.startRequest(openReq) {
		return c.CountSkippedBytes(len(content))
	}
	if subtle.ConstantTimeCompare([]byte(fwd.secret), []byte(c.frontend.secret)) != 1 {
		c.failRequest(openReq, http.StatusForbidden, errors.New("secret is wrong or missing"))
		return nil
	}
	if length, found := fwd.headers[strings.ToLower(headerContentLength)]; found {
		if openReq.remainingBytes, err = strconv.Atoi(length); err != nil || openReq.remainingBytes < 0 {
			c.failRequest(openReq, http.StatusBadRequest, fmt.Errorf("invalid content-length %q", length))
			return nil
		}
	} else if header(headerTransferEncoding) != "" {
		openReq.remainingBytes = unknownLength
		c.Write(encodeGetBodyChunk()) // without a length the web server sends the first chunk only on request
	}
	if openReq.remainingBytes > frontend.MaxBodyBytes {
		c.failRequest(openReq, http.StatusRequestEntityTooLarge, fmt.Errorf("body of %d bytes, limit is %d", openReq.remainingBytes, frontend.MaxBodyBytes))
		return nil
	}
	if openReq.remainingBytes == 0 {
		return c.completeRequest(openReq)
	}
	return nil
}

// startRequest sets the connection's open request. It reports false if the connection rejects requests.
func (c *conn) startRequest(openReq *openRequest) bool {
	c.Lock()
	defer c.Unlock()
	if c.RejectsRequests() {
		return false
	}
	c.openReq = openReq
	c.MarkActive()
	c.RequestStarted(&openReq.OpenRequest)
	return true
}

// handleBodyChunk appends a chunk to the body. An empty chunk ends a body of unknown length.
func (c *conn) handleBodyChunk(openReq *openRequest, content []byte) error {
	r := reader{rest: content}
	n := 0
	if len(content) > 0 {
		n = int(r.uint16())
	}
	chunk := r.bytes(n)
	switch {
	case n > 0 && r.err != nil:
		return fmt.Errorf("read body chunk: %w", r.err)
	case n == 0 && openReq.remainingBytes > 0:
		return fmt.Errorf("body is %d bytes shorter than its content-length", openReq.remainingBytes)
	case openReq.remainingBytes != unknownLength && n > openReq.remainingBytes:
		return errors.New("body is longer than its content-length")
	case len(openReq.body)+n > frontend.MaxBodyBytes:
		c.failRequest(openReq, http.StatusRequestEntityTooLarge, fmt.Errorf("body exceeds the limit of %d bytes", frontend.MaxBodyBytes))
		return nil
	}
	openReq.body = append(openReq.body, chunk...)
	if openReq.remainingBytes > 0 {
		openReq.remainingBytes -= n
	}
	if n == 0 || openReq.remainingBytes == 0 {
		return c.completeRequest(openReq)
	}
	c.Write(encodeGetBodyChunk())
	return nil
}
