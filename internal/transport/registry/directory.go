// Package registry reports to the directory that lists this service.
package registry

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/session"
)

// An entry lapses 3 s after its last report. Where one in four is lost, that is
// once in a million times.
const pulseEvery = 300 * time.Millisecond

// What reports say.
const (
	open   = "open"
	closed = "closed"
)

// Reporter sends the reports.
type Reporter struct {
	session.Dependencies
	addr string
	name string
	sock *sock
	next *timerqueue.Timer
	open bool   // there are reports
	shut bool   // for good
	says string // what they say
	away bool   // the latest report was not taken
}

// sock is the socket to one address, nil until it is open; a Link that has moved
// leaves it.
type sock struct{ *eventloop.DatagramConn }

// New returns a Link that reports nothing yet, and never without an address.
func New(addr, name string, env session.Dependencies) *Reporter {
	return &Reporter{Dependencies: env, addr: addr, name: name, says: open}
}

// Open reports this service from now on, as open until it is told otherwise.
func (l *Reporter) Register() {
	if l.shut {
		return
	}
	l.open = true
	l.next = l.Timers.Schedule(l.Now()+pulseEvery, l.Register)
	if l.addr == "" {
		return
	}
	if l.sock != nil {
		l.pulse(l.says)
		return
	}
	s := &sock{}
	l.sock = s
	l.DialDatagram(l.addr, func(d *eventloop.DatagramConn, err error) {
		switch {
		case err != nil && l.sock == s:
			l.sock = nil // the next report opens another
			l.missed(err)
		case err != nil:
		case l.sock != s:
			d.Close()
		default:
			s.DatagramConn = d
			l.pulse(l.says)
		}
	})
}

// SetAddress reports to another address from now on.
func (l *Reporter) SetAddress(addr string) {
	if addr == l.addr {
		return
	}
	l.addr = addr
	if l.sock != nil && l.sock.DatagramConn != nil {
		l.sock.Close()
	}
	l.sock, l.away = nil, false
	if l.open && !l.shut {
		l.Timers.Cancel(l.next)
		l.Register()
	}
}

// Serves reports this service as open, or as listed and taking no work, from now on.
// Reports get lost: each that follows says the same.
func (l *Reporter) SetAvailable(ok bool) {
	was := l.says
	if l.says = open; !ok {
		l.says = closed
	}
	if l.open && !l.shut && l.says != was {
		l.pulse(l.says)
	}
}

// Shut reports this service as closed, and nothing after that: its entry lapses.
func (l *Reporter) Deregister() {
	l.shut = true
	l.Timers.Cancel(l.next)
	l.pulse(closed)
}

func (l *Reporter) pulse(state string) {
	if l.sock == nil || l.sock.DatagramConn == nil {
		return
	}
	if err := l.sock.Send([]byte("PULSE " + l.name + " " + state)); err != nil {
		l.missed(err)
	} else {
		l.away = false
	}
}

// missed says once that reports are not taken. The next one is sent all the same.
func (l *Reporter) missed(err error) {
	if !l.away {
		l.Log.Warn("directory not reached", zap.Error(err))
	}
	l.away = true
}
