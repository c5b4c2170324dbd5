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
	parser   parser // of the event loop's goroutine
	call     *call  // from the first byte of a request to its answer; guarded by the lock of Conn
}

// Feed parses received bytes.
func (c *conn) Feed(received []byte) error { return c.parser.feed(received, c.packet) }

// HoldsPartialMessage reports whether the parser holds part of a packet.
func (c *conn) HoldsPartialMessage() bool { return len(c.parser.buf) > 0 }

// HasIncompleteRequest reports whether part of a request's body is still to come.
func (c *conn) HasIncompleteRequest() bool { return c.call != nil && !c.call.complete }

// DiscardIncomplete forgets the request if part of its body is still to come.
func (c *conn) DiscardIncomplete() (unanswered int) {
	if !c.HasIncompleteRequest() {
		return 0
	}
	c.call.Discard()
	c.call = nil
	return 1
}

// DiscardAll forgets the request, if there is one.
func (c *conn) DiscardAll() (unanswered []*exchange.Request) {
	if c.call == nil {
		return nil
	}
	if req := c.call.Unanswered(); req != nil {
		unanswered = append(unanswered, req)
	}
	c.call.Discard()
	c.call = nil
	return unanswered
}

// packet handles the content of one packet.
func (c *conn) packet(content []byte) error {
	c.Lock()
	k := c.call
	draining := c.Draining()
	c.Unlock()
	switch {
	case draining:
		return c.Skip(len(content) + frameBytes)
	case k != nil && !k.complete:
		return c.bodyChunk(k, content)
	case len(content) == 0:
		return errors.New("unexpected empty packet")
	case content[0] == codeCPing && k == nil:
		c.cping()
		return nil
	case content[0] == codeShutdown || content[0] == codePing: // no caller may stop the service
		return c.Skip(len(content) + frameBytes)
	case content[0] == codeForwardRequest && k == nil:
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
	k := &call{conn: c, raw: frontend.RawRequest{Path: f.path, Method: f.method, Header: header}}
	if !c.begin(k) {
		return c.Skip(len(content))
	}
	if subtle.ConstantTimeCompare([]byte(f.secret), []byte(c.frontend.secret)) != 1 {
		c.fail(k, http.StatusForbidden, errors.New("secret: wrong or missing"))
		return nil
	}
	if length, told := f.headers[strings.ToLower(headerContentLength)]; told {
		if k.remainingBytes, err = strconv.Atoi(length); err != nil || k.remainingBytes < 0 {
			c.fail(k, http.StatusBadRequest, fmt.Errorf("content-length %q", length))
			return nil
		}
	} else if header(headerTransferEncoding) != "" {
		k.remainingBytes = unknownLength
		c.Write(getBodyChunkPacket()) // without a length the web server sends the first piece only on request
	}
	if k.remainingBytes > frontend.MaxBodyBytes {
		c.fail(k, http.StatusRequestEntityTooLarge, fmt.Errorf("body of %d bytes, %d at most", k.remainingBytes, frontend.MaxBodyBytes))
		return nil
	}
	if k.remainingBytes == 0 {
		return c.complete(k)
	}
	return nil
}

// begin makes k the request of the connection, unless that has begun to drain meanwhile.
func (c *conn) begin(k *call) bool {
	c.Lock()
	defer c.Unlock()
	if c.Draining() {
		return false
	}
	c.call = k
	c.Touch()
	c.RequestBegan()
	return true
}

// bodyChunk takes a piece of the body. An empty one ends a body of unknown length.
func (c *conn) bodyChunk(k *call, content []byte) error {
	r := reader{b: content}
	n := 0
	if len(content) > 0 {
		n = int(r.uint16())
	}
	piece := r.bytes(n)
	switch {
	case n > 0 && r.err != nil:
		return fmt.Errorf("body chunk: %w", r.err)
	case n == 0 && k.remainingBytes > 0:
		return fmt.Errorf("body ends %d bytes early", k.remainingBytes)
	case k.remainingBytes != unknownLength && n > k.remainingBytes:
		return errors.New("body is longer than its content-length")
	case len(k.body)+n > frontend.MaxBodyBytes:
		c.fail(k, http.StatusRequestEntityTooLarge, fmt.Errorf("body of more than %d bytes", frontend.MaxBodyBytes))
		return nil
	}
	k.body = append(k.body, piece...)
	if k.remainingBytes > 0 {
		k.remainingBytes -= n
	}
	if n == 0 || k.remainingBytes == 0 {
		return c.complete(k)
	}
	c.Write(getBodyChunkPacket())
	return nil
}
