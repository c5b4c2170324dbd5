// Package session contains the code that is shared by the sessions with outside services: the engine,
// the records service, AJP upstreams and the service registry. A session holds the connections to its
// service (for the registry a datagram socket) and replaces them when they are lost or the address
// changes. It also holds the runs or calls, which outlive a connection.
//
// # Goroutines
//
// A session is used on the dispatcher's goroutine only. Each dial runs on its own goroutine, and the
// event loop's goroutine parses the input. Both post callbacks to the exchange, which the
// dispatcher's goroutine runs. Writes to a connection are made on the dispatcher's goroutine (see
// package eventloop).
package session

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
)

const dialTimeout = time.Second

// Config contains the dependencies of a session.
type Config struct {
	Exchange *exchange.Exchange   // receives outcomes and callbacks
	Loop     *eventloop.Loop      // serves all connections
	Timers   *timerqueue.Queue    // run by the dispatcher's goroutine
	Now      func() time.Duration // monotonic, since the start of the process
	Log      *zap.Logger
}

// Dial connects to addr and calls opened with the result on the dispatcher's goroutine.
func (d Config) Dial(addr string, h eventloop.Handler, opened func(*eventloop.Conn, error)) {
	handler := func(*eventloop.Conn) eventloop.Handler { return h }
	d.Loop.Dial(addr, dialTimeout, handler, func(c *eventloop.Conn, err error) {
		d.post(func() { opened(c, err) })
	})
}

// DialDatagram opens a datagram socket to addr and calls opened with the result on the dispatcher's
// goroutine.
func (d Config) DialDatagram(addr string, opened func(*eventloop.DatagramConn, error)) {
	eventloop.DialDatagram(addr, dialTimeout, func(c *eventloop.DatagramConn, err error) {
		d.post(func() { opened(c, err) })
	})
}

// post makes the dispatcher's goroutine call f.
func (d Config) post(f func()) { d.Exchange.Post(exchange.Callback(f)) }
