package frontend

import (
	"sync"
	"sync/atomic"
	"time"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/memquota"
	"oxbowbridge/internal/transport/eventloop"
)

// Codec is the protocol-specific part of one connection: its parser, and the requests that have started
// on the connection. The lock of the Conn guards the requests.
type Codec interface {
	// Feed parses received bytes and handles each complete message, up to the first malformed one. It calls
	// Conn.MessageHandled after each of them. It is called on the event loop's goroutine, and not again after an error.
	Feed(received []byte) error
	// HoldsPartialMessage reports whether the parser has buffered part of a message.
	// It is called on the event loop's goroutine.
	HoldsPartialMessage() bool
	// IncompleteSince returns when the oldest request started that was not received completely, or false
	// if there is none. The lock of the Conn must be held.
	IncompleteSince() (startedAt time.Time, incomplete bool)
	// HasCompleteRequest reports whether a request was received completely and has no response yet. The lock of
	// the Conn must be held.
	HasCompleteRequest() bool
	// RejectIncomplete removes the requests that were not received completely, and rejects those that
	// had no response. It returns how many it rejected. The lock of the Conn must be held.
	RejectIncomplete() (rejected int)
	// HeldBytes returns the memory of the parser's buffer and of the requests that were not received completely, in
	// bytes. It is called on the event loop's goroutine. The lock of the Conn must be held.
	HeldBytes() int
	// ReleaseInput frees the memory that HeldBytes counts, as far as it can, and rejects the requests that were not
	// received completely. It returns how many it rejected, and whether the connection can be used for further
	// requests. It is called on the event loop's goroutine. The lock of the Conn must be held.
	ReleaseInput() (rejected int, synchronized bool)
	// DiscardAll removes all requests after the connection was closed, and returns those that were
	// submitted and have no response. The lock of the Conn must be held.
	DiscardAll() (unanswered []*exchange.Request)
}

// Conn is one connection from a caller. It is closed in these cases:
//   - the caller closes it;
//   - it is idle for too long, or its caller makes no progress (reap.go, progress.go);
//   - it is evicted (evict.go);
//   - its caller exceeds a limit (limits.go);
//   - all connections together exceed their memory, and it holds much of it (memory.go);
//   - the process drains.
//
// Drain makes the connection reject further requests, each with a response: the caller does not know of
// the drain, and may send them while the connection waits for the responses to earlier ones. The connection is closed
// gracefully once the open requests are answered.
type Conn struct {
	// Mutex guards the fields below, unless noted otherwise, and the Codec's requests.
	sync.Mutex
	*eventloop.Conn
	server *Server
	codec  Codec
	input  *memquota.Holder // what the connection holds of incomplete messages and requests

	lastActive      time.Time // when the connection was opened or a request last ended; with AJP, or last started
	openRequests    int       // requests that have started and have no response
	rejectsRequests bool      // no more requests start; the connection is closed once the open ones are answered
	receivedRequest bool      // a complete request, or a keep-alive of the protocol, was received
	partialMessage  bool      // the parser had buffered part of a message after the latest bytes
	partialSince    time.Time // when the first byte of the partial message arrived
	tracker         progressTracker

	consecutiveInvalid atomic.Int32 // invalid requests since the latest valid one

	// Used on the event loop's goroutine only.
	malformed    bool      // the input was malformed; further input is dropped
	skippedBytes int       // bytes that belonged to no request, since the latest request
	receivedAt   time.Time // when the latest bytes arrived
	messageSince time.Time // when the first byte arrived of the message that is handled, or of the next one
}

// NewConn returns a Conn whose input is parsed by codec.
func NewConn(server *Server, c *eventloop.Conn, codec Codec) *Conn {
	conn := &Conn{Conn: c, server: server, codec: codec, lastActive: time.Now()}
	conn.input = server.quotas.Input.NewHolder(conn.releaseInput)
	return conn
}

// OnData passes received bytes to the parser, and sends the responses that they cause together. After malformed input,
// further bytes are dropped. Earlier requests are still answered, unless the caller floods the connection or does not
// read responses.
func (c *Conn) OnData(received []byte) {
	c.receivedAt = time.Now()
	if !c.codec.HoldsPartialMessage() {
		c.messageSince = c.receivedAt
	}
	c.BeginCombinedWrite()
	c.parse(received)
	c.EndCombinedWrite()
	partial := c.codec.HoldsPartialMessage()
	c.Lock()
	c.tracker.receivedInput = true
	c.partialMessage = partial && !c.rejectsRequests
	c.partialSince = c.messageSince
	held := c.codec.HeldBytes()
	c.Unlock()
	c.updateHeldInput(held)
}

// MessageHandled records that a complete message was handled, after which the next one begins. It is called on the event
// loop's goroutine.
func (c *Conn) MessageHandled() { c.messageSince = c.receivedAt }

// OnClose removes the closed connection and reports its open requests as aborted by the caller.
// Requests that were not received completely are discarded.
func (c *Conn) OnClose(error) {
	c.server.remove(c)
	c.input.Close()
	c.Lock()
	c.rejectsRequests = true
	unanswered := c.codec.DiscardAll()
	c.Unlock()
	for _, r := range unanswered {
		c.server.Exchange.Post(exchange.RequestCanceled{Request: r})
	}
}

// RejectsRequests reports whether the connection starts no more requests because it is being closed,
// with or without a drain of the service. The lock must be held.
func (c *Conn) RejectsRequests() bool { return c.rejectsRequests }

// OpenRequests returns the number of requests that have started and have no response. The lock must
// be held.
func (c *Conn) OpenRequests() int { return c.openRequests }

// RequestStarted counts another open request, which starts with the message that is handled. It is called on the event
// loop's goroutine. The lock must be held.
func (c *Conn) RequestStarted(open *OpenRequest) {
	open.startedAt = c.messageSince
	c.openRequests++
}

// MarkActive sets the time of the latest activity to now. The lock must be held.
func (c *Conn) MarkActive() { c.lastActive = time.Now() }

// RequestArrived records that a request, or a keep-alive of the protocol, was received completely, which
// shows that the caller is not stalled. The lock must be held.
func (c *Conn) RequestArrived() {
	c.receivedRequest = true
	c.tracker.silentSweeps = 0
}

// Drain rejects further requests and those that were not received completely, and closes the connection
// gracefully once the open requests are answered.
func (c *Conn) Drain() {
	c.Lock()
	defer c.Unlock()
	c.rejectsRequests = true
	c.partialMessage = false
	c.openRequests -= c.codec.RejectIncomplete()
	c.closeOnceAnswered()
}

// closeOnceAnswered rejects further requests, and closes the connection gracefully if no request is
// open. The lock must be held.
func (c *Conn) closeOnceAnswered() {
	c.rejectsRequests = true
	if c.openRequests <= 0 {
		c.CloseGracefully()
	}
}

// requestAnswered counts an open request as answered. The lock must be held.
func (c *Conn) requestAnswered() {
	c.openRequests--
	c.lastActive = time.Now()
	if c.rejectsRequests {
		c.closeOnceAnswered()
	}
}

// HasPartialMessage reports whether part of a message or of a request was received, parsed or not.
func (c *Conn) HasPartialMessage() bool {
	c.Lock()
	defer c.Unlock()
	return c.hasPartialMessage() || c.HasUnhandledInput()
}

// hasPartialMessage reports whether part of a message or of a request was parsed. The lock must be
// held.
func (c *Conn) hasPartialMessage() bool {
	_, incomplete := c.codec.IncompleteSince()
	return incomplete || c.partialMessage
}
