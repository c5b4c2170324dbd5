package ajp

import (
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/fdquota"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/frontend"
)

// Frontend takes requests in AJP13.
type Frontend struct {
	frontend.Server
	x       *exchange.Exchange
	log     *zap.Logger
	classes map[string]frontend.Class
	secret  string
}

// NewFrontend returns a Front that doesn't listen yet. Unless the secret is empty
// each request must carry it.
func NewFrontend(x *exchange.Exchange, classes map[string]frontend.Class, secret string, log *zap.Logger) *Frontend {
	return &Frontend{x: x, classes: classes, secret: secret, log: log}
}

// Listen takes connections on the address.
func (f *Frontend) Listen(loop *eventloop.Loop, addr string, most int, pool *fdquota.Pool) error {
	return f.Server.Listen(loop, addr, most, pool, f.log, func(s *eventloop.Conn) interface {
		frontend.Conn
		eventloop.Handler
	} {
		return &conn{front: f, Base: frontend.Base{Conn: s, Used: time.Now()}, parser: parser{magic: toServer}}
	})
}

// conn is one connection of a web server, which sends one request at a time.
type conn struct {
	front  *Frontend
	parser parser // of the loop's goroutine
	frontend.Base
	call *call // from the first byte of a request to its answer
	part bool  // of a packet has come
}

// call is one request.
type call struct {
	conn    *conn
	fields  frontend.RawRequest
	body    []byte
	left    int  // bytes of the body to come; negative if its length isn't told
	whole   bool // read
	request *exchange.Request
}

// CloseIdle ends the connection if no request is open and none was for long.
func (c *conn) CloseIdle(now time.Time, idle time.Duration) bool {
	c.Lock()
	defer c.Unlock()
	return c.EndIdle(now, idle, c.half())
}

// Overdue tells whether the caller owes the rest of a request.
func (c *conn) Overdue() (late, stuck bool) {
	c.Lock()
	defer c.Unlock()
	return c.LateBy(c.half())
}

// HasPartialMessage tells whether part of a packet or of a request has come, read or not.
func (c *conn) HasPartialMessage() bool {
	c.Lock()
	defer c.Unlock()
	return c.half() || c.HasUnread()
}

func (c *conn) half() bool { return c.part || c.call != nil && !c.call.whole }

// Drain ends the connection once what was read whole is answered.
func (c *conn) Drain() {
	c.Lock()
	defer c.Unlock()
	c.Shut, c.part = true, false
	if c.call != nil && !c.call.whole {
		c.call = nil
		c.Open--
	}
	c.ShutDown()
}

// OnData takes what came, in whatever pieces.
func (c *conn) OnData(b []byte) {
	c.Parse(c, b, func() error { return c.parser.feed(b, c.packet) }, c.front.log, "malformed AJP, connection closed")
	c.Lock()
	c.part = len(c.parser.buf) > 0 && !c.Shut
	c.Unlock()
}

// OnClose drops what was not read whole, which was never a request.
func (c *conn) OnClose(error) {
	c.front.Remove(c)
	c.Lock()
	k := c.call
	c.call, c.Shut = nil, true
	c.Unlock()
	if k != nil && k.request != nil {
		c.front.x.Post(exchange.ClientGone{Request: k.request})
	}
}

func (c *conn) packet(content []byte) error {
	c.Lock()
	k, shut := c.call, c.Shut
	c.Unlock()
	switch {
	case shut:
		return c.Skip(len(content) + 4)
	case k != nil && !k.whole:
		return c.chunk(k, content)
	case len(content) == 0:
		return errors.New("empty packet where none is due")
	case content[0] == codeCPing && k == nil:
		c.Lock()
		c.Came() // web servers keep connections in reserve, and see that they are alive
		c.Unlock()
		c.Write(packet(toWeb, []byte{codeCPong}))
		return nil
	case content[0] == codeShutdown || content[0] == codePing:
		return c.Skip(len(content) + 4) // the operators' signals stop the service, no caller does
	case content[0] == codeForward && k == nil:
		return c.forward(content[1:])
	}
	return fmt.Errorf("packet of code %d where none is due", content[0])
}

func (c *conn) forward(content []byte) error {
	f, err := readForward(content)
	if err != nil {
		return err
	}
	k := &call{conn: c, fields: frontend.RawRequest{Path: f.path, Method: f.method, Header: func(name string) string {
		return f.headers[strings.ToLower(name)]
	}}}
	c.Lock()
	if c.Shut { // since the packet was looked at
		c.Unlock()
		return c.Skip(len(content))
	}
	c.call, c.Used = k, time.Now()
	c.Open++
	c.Unlock()
	if subtle.ConstantTimeCompare([]byte(f.secret), []byte(c.front.secret)) != 1 {
		c.fault(k, 403, errors.New("secret: wrong or missing"))
		return nil
	}
	if t, ok := f.headers["content-length"]; ok {
		if k.left, err = strconv.Atoi(t); err != nil || k.left < 0 {
			c.fault(k, 400, fmt.Errorf("content-length %q", t))
			return nil
		}
	} else if f.headers["transfer-encoding"] != "" {
		k.left = -1
		c.ask() // the first piece comes unasked only where the length is told
	}
	if k.left > frontend.MaxBodyBytes {
		c.fault(k, 413, fmt.Errorf("body of %d bytes, %d at most", k.left, frontend.MaxBodyBytes))
		return nil
	}
	if k.left == 0 {
		return c.complete(k)
	}
	return nil
}

// ask has the caller send the next piece of the body.
func (c *conn) ask() {
	c.Write(packet(toWeb, binary.BigEndian.AppendUint16([]byte{codeGetBody}, chunkMost)))
}

// chunk takes a piece of the body.
func (c *conn) chunk(k *call, content []byte) error {
	r := reader{b: content}
	n := 0
	if len(content) > 0 {
		n = int(r.uint())
	}
	piece := r.take(n)
	switch {
	case n > 0 && r.err != nil:
		return fmt.Errorf("body chunk: %w", r.err)
	case n == 0 && k.left > 0:
		return fmt.Errorf("body ends %d bytes early", k.left)
	case k.left >= 0 && n > k.left:
		return errors.New("body is longer than was told")
	case len(k.body)+n > frontend.MaxBodyBytes:
		c.fault(k, 413, fmt.Errorf("body of more than %d bytes", frontend.MaxBodyBytes))
		return nil
	}
	k.body = append(k.body, piece...)
	if k.left > 0 {
		k.left -= n
	}
	if n == 0 || k.left == 0 {
		return c.complete(k)
	}
	c.ask()
	return nil
}

// complete hands a request over: only now is it one.
func (c *conn) complete(k *call) error {
	c.Lock()
	if c.call != k { // given up half done, just now: nobody would get its answer
		c.Unlock()
		return nil
	}
	k.whole = true
	c.Came()
	c.Unlock()
	if k.fields.IsHealthCheck() {
		c.reply(k, frontend.HealthResponse(c.front.x.Healthy()), true)
		return nil
	}
	req, err := k.fields.Decode(c.front.classes, time.Now())
	if err != nil {
		c.front.log.Warn("request failed", zap.Int("status", 400), zap.Error(err))
		c.reply(k, frontend.Response{Status: 400}, true)
		return c.Fault()
	}
	req.Body, req.Responder = k.body, k
	c.Read()
	c.handOver(k, req)
	return nil
}

// handOver submits a request, unless its connection was lost since it was read: the news
// of that would come before it.
func (c *conn) handOver(k *call, req *exchange.Request) {
	c.Lock()
	if c.call != k {
		c.Unlock()
		return
	}
	k.request = req
	taken := c.front.x.Submit(req)
	c.Unlock()
	if !taken {
		c.front.log.Warn("request turned down: no room")
		c.reply(k, frontend.Response{Status: 503}, true)
	}
}

// fault fails a request whose body was not read: the connection can't go on.
func (c *conn) fault(k *call, status int, err error) {
	c.front.log.Warn("request failed", zap.Int("status", status), zap.Error(err))
	c.reply(k, frontend.Response{Status: status}, false)
}

// Answer is called by the core.
func (k *call) Respond(a exchange.Response) {
	k.conn.reply(k, frontend.ResponseTo(a), true)
	k.conn.Answered(a)
}

// reply writes a response, once.
func (c *conn) reply(k *call, r frontend.Response, reuse bool) {
	headers := append([][2]string{{"Content-Type", "application/octet-stream"},
		{"Content-Length", strconv.Itoa(len(r.Body))}}, append(frontend.CommonHeaders(c.front.x), r.Headers...)...)
	c.Lock()
	defer c.Unlock()
	if c.call != k {
		return
	}
	c.call = nil
	c.Write(appendResponse(nil, r.Status, headers, r.Body, reuse))
	c.Shut = c.Shut || !reuse // the body may still be on its way
	c.Settled()
}
