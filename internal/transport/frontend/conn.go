package frontend

import (
	"sync"
	"sync/atomic"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/transport/eventloop"
)

// Codec is a protocol's part of one connection: its parser, and the requests that have begun
// on the connection. Its requests are guarded by the lock of the Conn.
type Codec interface {
	// Feed parses received bytes and handles each message that they complete, until one is at
	// fault. It is called on the event loop's goroutine, and no more after an error.
	Feed(received []byte) error
	// HoldsPartialMessage reports whether part of a message waits in the parser for the rest.
	// It is called on the event loop's goroutine.
	HoldsPartialMessage() bool
	// HasIncompleteRequest reports whether a request has begun and not arrived completely. The
	// lock of the Conn is held.
	HasIncompleteRequest() bool
	// DiscardIncomplete forgets the requests that have not arrived completely, and returns how
	// many of them had no answer. The lock of the Conn is held.
	DiscardIncomplete() (unanswered int)
	// DiscardAll forgets all requests, since their connection is lost, and returns those that were
	// submitted and have no answer. The lock of the Conn is held.
	DiscardAll() (unanswered []*exchange.Request)
}

// Conn is one connection of a caller. It is open until its caller closes it, until it is idle
// or stalled for too long (see reap.go), until it is evicted (evict.go), until its caller breaks
// a limit (limits.go) or until the process drains. Drain makes it refuse further requests; it is
// closed gracefully once those that are open are answered.
type Conn struct {
	// Mutex guards the fields below, unless stated otherwise, and the Codec's requests.
	sync.Mutex
	*eventloop.Conn
	server *Server
	codec  Codec

	lastActive      time.Time // when a request last ended, or the connection was made; AJP: also when one began
	openRequests    int       // that have begun and have no answer
	rejectsRequests bool      // no request begins any more; closed once those that are open are answered
	receivedRequest bool      // a complete request, or a keep-alive of the protocol, has arrived
	partialMessage  bool      // the parser held part of a message after the latest bytes
	stall           stall

	consecutiveInvalid atomic.Int32 // faulty requests since the latest good one

	// Of the event loop's goroutine alone.
	malformed    bool // the input was at fault; what follows is dropped
	skippedBytes int  // input that belonged to no request, since the latest one that did
}

// NewConn returns the frontend's part of a connection whose messages codec parses.
func NewConn(server *Server, c *eventloop.Conn, codec Codec) *Conn {
	return &Conn{Conn: c, server: server, codec: codec, lastActive: time.Now()}
}

// OnData feeds the parser. After a fault nothing can be trusted and the rest is dropped, while
// the requests that came before it are answered, unless the caller floods the connection or
// does not read.
func (c *Conn) OnData(received []byte) {
	c.parse(received)
	partial := c.codec.HoldsPartialMessage()
	c.Lock()
	c.partialMessage = partial && !c.rejectsRequests
	c.Unlock()
}

// OnClose forgets the connection and reports its open requests as abandoned. What has not
// arrived to its end was never a request.
func (c *Conn) OnClose(error) {
	c.server.remove(c)
	c.Lock()
	c.rejectsRequests = true
	unanswered := c.codec.DiscardAll()
	c.Unlock()
	for _, r := range unanswered {
		c.server.Exchange.Post(exchange.CallerGone{Request: r})
	}
}

// RejectsRequests reports whether no request begins on the connection any more, as it is being
// closed. That may be so without a drain of the service. The lock is held.
func (c *Conn) RejectsRequests() bool { return c.rejectsRequests }

// OpenRequests is the number of requests that have begun and have no answer. The lock is held.
func (c *Conn) OpenRequests() int { return c.openRequests }

// RequestStarted counts a request as open. The lock is held.
func (c *Conn) RequestStarted() { c.openRequests++ }

// MarkActive marks the connection as active now. The lock is held.
func (c *Conn) MarkActive() { c.lastActive = time.Now() }

// RequestArrived notes that a request, or a keep-alive of the protocol, has arrived
// completely: the caller is not stalled. The lock is held.
func (c *Conn) RequestArrived() {
	c.receivedRequest = true
	c.stall.sweeps = 0
}

// Drain lets no request begin any more, forgets what has not arrived completely, and closes
// the connection gracefully once the open requests are answered.
func (c *Conn) Drain() {
	c.Lock()
	defer c.Unlock()
	c.rejectsRequests = true
	c.partialMessage = false
	c.openRequests -= c.codec.DiscardIncomplete()
	c.closeOnceAnswered()
}

// closeOnceAnswered lets no request begin any more, and closes the connection gracefully if
// none is open. The lock is held.
func (c *Conn) closeOnceAnswered() {
	c.rejectsRequests = true
	if c.openRequests <= 0 {
		c.CloseGracefully()
	}
}

// requestAnswered counts an open request as answered. The lock is held.
func (c *Conn) requestAnswered() {
	c.openRequests--
	c.lastActive = time.Now()
	if c.rejectsRequests {
		c.closeOnceAnswered()
	}
}

// HasPartialMessage reports whether part of a message or of a request has arrived, parsed or
// not.
func (c *Conn) HasPartialMessage() bool {
	c.Lock()
	defer c.Unlock()
	return c.hasPartialMessage() || c.HasUnread()
}

// hasPartialMessage reports whether part of a message or of a request has been parsed. The lock
// is held.
func (c *Conn) hasPartialMessage() bool {
	return c.codec.HasIncompleteRequest() || c.partialMessage
}
