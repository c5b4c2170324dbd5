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

// Dependencies is what a link works with. A link lives in the core's goroutine, and what
// happens on its connections is brought there as a Step.
type Dependencies struct {
	Exchange *exchange.Exchange
	Loop     *eventloop.Loop
	Timers   *timerqueue.Queue
	Now      func() time.Duration
	Log      *zap.Logger
}

// Dial connects and has opened called in the core's goroutine.
func (e Dependencies) Dial(addr string, h eventloop.Handler, opened func(*eventloop.Conn, error)) {
	e.Loop.Dial(addr, dialTimeout, func(*eventloop.Conn) eventloop.Handler { return h }, func(c *eventloop.Conn, err error) {
		e.Exchange.Post(exchange.Callback(func() { opened(c, err) }))
	})
}

// DialDatagram opens a socket for datagrams and has opened called in the core's
// goroutine.
func (e Dependencies) DialDatagram(addr string, opened func(*eventloop.DatagramConn, error)) {
	eventloop.DialDatagram(addr, dialTimeout, func(d *eventloop.DatagramConn, err error) {
		e.Exchange.Post(exchange.Callback(func() { opened(d, err) }))
	})
}

// LineHandler is the socket.Handler of a connection that speaks in lines. It parses in
// the event loop; Read and Lost are called in the core's goroutine, and no more
// once Live says that the link has left the connection.
type LineHandler struct {
	Dependencies Dependencies
	Parser       lineproto.Parser
	Current      func() bool
	OnMessage    func(lineproto.Message)
	OnLost       func(error)
	bad          bool
}

func (l *LineHandler) step(do func()) {
	l.Dependencies.Exchange.Post(exchange.Callback(func() {
		if l.Current() {
			do()
		}
	}))
}

// OnData parses what came. After a malformed line nothing can be trusted, and the
// connection counts as lost.
func (l *LineHandler) OnData(b []byte) {
	if l.bad {
		return
	}
	if err := l.Parser.Feed(b, func(m lineproto.Message) { l.step(func() { l.OnMessage(m) }) }); err != nil {
		l.bad = true
		l.OnClose(err)
	}
}

// OnClose reports the loss.
func (l *LineHandler) OnClose(err error) { l.step(func() { l.OnLost(err) }) }
