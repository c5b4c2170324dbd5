package ajp

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/frontend"
)

// conn is the frontend.Codec of one connection of a web server, which sends one request at a
// time.
type conn struct {
	*frontend.Conn
	frontend *Frontend
	parser   parser       // of the event loop's goroutine
	open     *openRequest // from the first byte of a request to its answer; guarded by the lock of Conn
}

// Feed parses received bytes.
func (c *conn) Feed(received []byte) error { return c.parser.feed(received, c.packet) }

// HoldsPartialMessage reports whether the parser holds part of a packet.
func (c *conn) HoldsPartialMessage() bool { return len(c.parser.buf) > 0 }

// HasIncompleteRequest reports whether part of a request's body is still to come.
func (c *conn) HasIncompleteRequest() bool { return c.open != nil && !c.open.complete }

// DiscardIncomplete forgets the request if part of its body is still to come.
func (c *conn) DiscardIncomplete() (unanswered int) {
	if !c.HasIncompleteRequest() {
		return 0
	}
	c.open.Discard()
	c.open = nil
	return 1
}

// DiscardAll forgets the request, if there is one.
func (c *conn) DiscardAll() (unanswered []*exchange.Request) {
	if c.open == nil {
		return nil
	}
	if req := c.open.PendingRequest(); req != nil {
		unanswered = append(unanswered, req)
	}
	c.open.Discard()
	c.open = nil
	return unanswered
}

// packet handles the content of one packet.
func (c *conn) packet(content []byte) error {
	c.Lock()
	open := c.open
	refusing := c.RejectsRequests()
	c.Unlock()
	switch {
	case refusing:
		return c.CountSkippedBytes(len(content) + frameBytes)
	case open != nil && !open.complete:
		return c.bodyChunk(open, content)
	case len(content) == 0:
		return errors.New("unexpected empty packet")
	case content[0] == codeCPing && open == nil:
		c.cping()
		return nil
	case content[0] == codeShutdown || content[0] == codePing: // no caller may stop the service
		return c.CountSkippedBytes(len(content) + frameBytes)
	case content[0] == codeForwardRequest && open == nil:
		return c.forwardRequest(content[1:])
	}
	return fmt.Errorf("unexpected packet of code %d", content[0])
}

// cping answers a web server that checks a connection which it keeps in reserve.
func (c *conn) cping() {
	c.Lock()
	c.RequestArrived()
	c.Unlock()
	c.Write(packet(magicToWebServer, []byte{codeCPong}))
}

// forwardRequest handles FORWARD_REQUEST, the first packet of a request.
func (c *conn) forwardRequest(content []byte) error {
	f, err := readForwardRequest(content)
	if err != nil {
		return err
	}
	header := func(name string) string { return f.headers[strings.ToLower(name)] }
	open := &openRequest{conn: c, raw: frontend.RawRequest{Path: f.path, Method: f.method, Header: header}}
	if !c.begin(open) {
		return c.CountSkippedBytes(len(content))
	}
	if subtle.ConstantTimeCompare([]byte(f.secret), []byte(c.frontend.secret)) != 1 {
		c.fail(open, http.StatusForbidden, errors.New("secret: wrong or missing"))
		return nil
	}
	if length, told := f.headers[strings.ToLower(headerContentLength)]; told {
		if open.remainingBytes, err = strconv.Atoi(length); err != nil || open.remainingBytes < 0 {
			c.fail(open, http.StatusBadRequest, fmt.Errorf("content-length %q", length))
			return nil
		}
	} else if header(headerTransferEncoding) != "" {
		open.remainingBytes = unknownLength
		c.Write(getBodyChunkPacket()) // without a length the web server sends the first piece only on request
	}
	if open.remainingBytes > frontend.MaxBodyBytes {
		c.fail(open, http.StatusRequestEntityTooLarge, fmt.Errorf("body of %d bytes, %d at most", open.remainingBytes, frontend.MaxBodyBytes))
		return nil
	}
	if open.remainingBytes == 0 {
		return c.complete(open)
	}
	return nil
}

// begin makes open the request of the connection, unless that refuses requests by now.
func (c *conn) begin(open *openRequest) bool {
	c.Lock()
	defer c.Unlock()
	if c.RejectsRequests() {
		return false
	}
	c.open = open
	c.MarkActive()
	c.RequestStarted()
	return true
}

// bodyChunk takes a piece of the body. An empty one ends a body of unknown length.
func (c *conn) bodyChunk(open *openRequest, content []byte) error {
	r := reader{rest: content}
	n := 0
	if len(content) > 0 {
		n = int(r.uint16())
	}
	piece := r.bytes(n)
	switch {
	case n > 0 && r.err != nil:
		return fmt.Errorf("body chunk: %w", r.err)
	case n == 0 && open.remainingBytes > 0:
		return fmt.Errorf("body ends %d bytes early", open.remainingBytes)
	case open.remainingBytes != unknownLength && n > open.remainingBytes:
		return errors.New("body is longer than its content-length")
	case len(open.body)+n > frontend.MaxBodyBytes:
		c.fail(open, http.StatusRequestEntityTooLarge, fmt.Errorf("body of more than %d bytes", frontend.MaxBodyBytes))
		return nil
	}
	open.body = append(open.body, piece...)
	if open.remainingBytes > 0 {
		open.remainingBytes -= n
	}
	if n == 0 || open.remainingBytes == 0 {
		return c.complete(open)
	}
	c.Write(getBodyChunkPacket())
	return nil
}
