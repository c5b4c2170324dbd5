// Package session holds what the links of the client side share.
package session

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/lineproto"
)

const dialTimeout = time.Second

// Env is what a link works with. A link lives in the core's goroutine, and what
// happens on its connections is brought there as a Step.
type Env struct {
	Exchange *exchange.Exchange
	Loop     *eventloop.Loop
	Due      *timerqueue.Queue
	Now      func() time.Duration
	Log      *zap.Logger
}

// Dial connects and has opened called in the core's goroutine.
func (e Env) Dial(addr string, h eventloop.Handler, opened func(*eventloop.Conn, error)) {
	e.Loop.Dial(addr, dialTimeout, func(*eventloop.Conn) eventloop.Handler { return h }, func(c *eventloop.Conn, err error) {
		e.Exchange.Post(exchange.Callback(func() { opened(c, err) }))
	})
}

// DialDatagrams opens a socket for datagrams and has opened called in the core's
// goroutine.
func (e Env) DialDatagrams(addr string, opened func(*eventloop.Datagrams, error)) {
	eventloop.DialDatagrams(addr, dialTimeout, func(d *eventloop.Datagrams, err error) {
		e.Exchange.Post(exchange.Callback(func() { opened(d, err) }))
	})
}

// Lines is the socket.Handler of a connection that speaks in lines. It parses in
// the event loop; Read and Lost are called in the core's goroutine, and no more
// once Live says that the link has left the connection.
type Lines struct {
	Env    Env
	Parser lineproto.Parser
	Live   func() bool
	Read   func(lineproto.Message)
	Lost   func(error)
	bad    bool
}

func (l *Lines) step(do func()) {
	l.Env.Exchange.Post(exchange.Callback(func() {
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
	if err := l.Parser.Feed(b, func(m lineproto.Message) { l.step(func() { l.Read(m) }) }); err != nil {
		l.bad = true
		l.Closed(err)
	}
}

// Closed reports the loss.
func (l *Lines) Closed(err error) { l.step(func() { l.Lost(err) }) }
