// Package directory reports to the directory that lists this service.
package directory

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/deadline"
	"oxbowbridge/internal/exchange"
	"oxbowbridge/internal/link"
	"oxbowbridge/internal/socket"
)

// An entry lapses 3 s after its last report; two lost reports must not matter.
const pulseEvery = 700 * time.Millisecond

// Link sends the reports.
type Link struct {
	link.Env
	addr string
	name string
	conn *socket.Conn
	next *deadline.Entry
	shut bool
}

// New returns a Link that reports nothing yet.
func New(addr, name string, env link.Env) *Link {
	return &Link{Env: env, addr: addr, name: name}
}

// Open reports this service as open from now on.
func (l *Link) Open() {
	if l.shut {
		return
	}
	l.next = l.Due.At(l.Now()+pulseEvery, l.Open)
	if l.conn != nil {
		l.pulse("open")
		return
	}
	l.Dial("udp", l.addr, l, func(c *socket.Conn, err error) {
		switch {
		case err != nil:
			l.Log.Warn("directory not reached", zap.Error(err))
		case l.conn != nil || l.shut:
			c.Abandon()
		default:
			l.conn = c
			l.pulse("open")
		}
	})
}

// Shut reports this service as closed, and nothing after that: its entry lapses.
func (l *Link) Shut() {
	l.shut = true
	l.Due.Cancel(l.next)
	if l.conn != nil {
		l.pulse("closed")
	}
}

func (l *Link) pulse(state string) { l.conn.Write([]byte("PULSE " + l.name + " " + state)) }

// Data skips what comes: a report gets no answer.
func (l *Link) Data([]byte) {}

// Closed has the next report open a new socket: the directory was away.
func (l *Link) Closed(error) {
	l.Exchange.Post(exchange.Step(func() { l.conn = nil }))
}
