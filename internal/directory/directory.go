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

// An entry lapses 3 s after its last report. Where one in four is lost, that is
// once in a million times.
const pulseEvery = 300 * time.Millisecond

// Link sends the reports.
type Link struct {
	link.Env
	addr string
	name string
	conn *sock
	next *deadline.Entry
	open bool
	shut bool
}

// sock is the socket to one address; a Link that has moved leaves it.
type sock struct {
	*socket.Conn
	link *Link
}

// New returns a Link that reports nothing yet, and never without an address.
func New(addr, name string, env link.Env) *Link {
	return &Link{Env: env, addr: addr, name: name}
}

// Open reports this service as open from now on.
func (l *Link) Open() {
	if l.shut {
		return
	}
	l.open = true
	l.next = l.Due.At(l.Now()+pulseEvery, l.Open)
	if l.addr == "" {
		return
	}
	if l.conn != nil {
		l.pulse("open")
		return
	}
	s := &sock{link: l}
	l.conn = s
	l.Dial("udp", l.addr, s, func(c *socket.Conn, err error) {
		switch {
		case err != nil:
			l.Log.Warn("directory not reached", zap.Error(err))
			s.left()
		case l.conn != s:
			c.Abandon()
		default:
			s.Conn = c
			l.pulse("open")
		}
	})
}

// Move reports to another address from now on.
func (l *Link) Move(addr string) {
	if addr == l.addr {
		return
	}
	l.addr = addr
	if l.conn != nil && l.conn.Conn != nil {
		l.conn.Abandon()
	}
	l.conn = nil
	if l.open && !l.shut {
		l.Due.Cancel(l.next)
		l.Open()
	}
}

// Shut reports this service as closed, and nothing after that: its entry lapses.
func (l *Link) Shut() {
	l.shut = true
	l.Due.Cancel(l.next)
	l.pulse("closed")
}

func (l *Link) pulse(state string) {
	if l.conn != nil && l.conn.Conn != nil {
		l.conn.Write([]byte("PULSE " + l.name + " " + state))
	}
}

// Data skips what comes: a report gets no answer.
func (s *sock) Data([]byte) {}

// Closed has the next report open a new socket: the directory was away.
func (s *sock) Closed(error) { s.link.Exchange.Post(exchange.Step(s.left)) }

func (s *sock) left() {
	if s.link.conn == s {
		s.link.conn = nil
	}
}
