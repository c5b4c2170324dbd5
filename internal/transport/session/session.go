// Package session holds what the sessions with the services behind this one share: the engine,
// the records service, AJP upstreams and the registry. A session is what one of these packages
// keeps of its service: connections, or a datagram socket of the registry, which are replaced
// when they are lost or the address changes, and the runs or calls that outlive them.
//
// # Goroutines
//
// A session belongs to the dispatcher's goroutine. Dials run on goroutines of their own, and the
// event loop's goroutine parses what arrives; both post what is to be done to the exchange, as a
// callback that the dispatcher's goroutine carries out. Writes to a connection are made on the
// dispatcher's goroutine (see package eventloop).
package session

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
)

const dialTimeout = time.Second

// Config is what a session works with.
type Config struct {
	Exchange *exchange.Exchange   // receives outcomes and callbacks
	Loop     *eventloop.Loop      // of all connections
	Timers   *timerqueue.Queue    // of the dispatcher's goroutine
	Now      func() time.Duration // monotonic, since the start of the process
	Log      *zap.Logger
}

// Dial connects and has opened called on the dispatcher's goroutine.
func (d Config) Dial(addr string, h eventloop.Handler, opened func(*eventloop.Conn, error)) {
	handler := func(*eventloop.Conn) eventloop.Handler { return h }
	d.Loop.Dial(addr, dialTimeout, handler, func(c *eventloop.Conn, err error) {
		d.post(func() { opened(c, err) })
	})
}

// DialDatagram opens a socket for datagrams and has opened called on the dispatcher's goroutine.
func (d Config) DialDatagram(addr string, opened func(*eventloop.DatagramConn, error)) {
	eventloop.DialDatagram(addr, dialTimeout, func(c *eventloop.DatagramConn, err error) {
		d.post(func() { opened(c, err) })
	})
}

// post has f called on the dispatcher's goroutine.
func (d Config) post(f func()) { d.Exchange.Post(exchange.Callback(f)) }
