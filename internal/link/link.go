// Package link holds what the links of the client side share.
package link

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/deadline"
	"oxbowbridge/internal/exchange"
	"oxbowbridge/internal/lines"
	"oxbowbridge/internal/socket"
)

const dialTimeout = time.Second

// Env is what a link works with. A link lives in the core's goroutine, and what
// happens on its connections is brought there as a Step.
type Env struct {
	Exchange *exchange.Exchange
	Loop     *socket.Loop
	Due      *deadline.Set
	Now      func() time.Duration
	Log      *zap.Logger
}

// Dial connects and has opened called in the core's goroutine.
func (e Env) Dial(addr string, h socket.Handler, opened func(*socket.Conn, error)) {
	e.Loop.Dial(addr, dialTimeout, func(*socket.Conn) socket.Handler { return h }, func(c *socket.Conn, err error) {
		e.Exchange.Post(exchange.Step(func() { opened(c, err) }))
	})
}

// DialDatagrams opens a socket for datagrams and has opened called in the core's
// goroutine.
func (e Env) DialDatagrams(addr string, opened func(*socket.Datagrams, error)) {
	socket.DialDatagrams(addr, dialTimeout, func(d *socket.Datagrams, err error) {
		e.Exchange.Post(exchange.Step(func() { opened(d, err) }))
	})
}

// Lines is the socket.Handler of a connection that speaks in lines. It parses in
// the event loop; Read and Lost are called in the core's goroutine, and no more
// once Live says that the link has left the connection.
type Lines struct {
	Env    Env
	Parser lines.Parser
	Live   func() bool
	Read   func(lines.Message)
	Lost   func(error)
	bad    bool
}

func (l *Lines) step(do func()) {
	l.Env.Exchange.Post(exchange.Step(func() {
		if l.Live() {
			do()
		}
	}))
}

// Data parses what came. After a malformed line nothing can be trusted, and the
// connection counts as lost.
func (l *Lines) Data(b []byte) {
	if l.bad {
		return
	}
	if err := l.Parser.Feed(b, func(m lines.Message) { l.step(func() { l.Read(m) }) }); err != nil {
		l.bad = true
		l.Closed(err)
	}
}

// Closed reports the loss.
func (l *Lines) Closed(err error) { l.step(func() { l.Lost(err) }) }
