// Package registry reports this service to the registry that lists it for its balancers. It
// belongs to the dispatcher's goroutine; sockets are opened on goroutines of their own (see
// package session).
package registry

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/session"
)

// reportInterval is the time between reports. An entry lapses 3 s after its last one, which is 10
// reports: with a quarter of them lost on the way, all 10 are lost once in a million times.
const reportInterval = 300 * time.Millisecond

// state is how far the registration is. It goes one way: reporting by Register, deregistered by
// Deregister.
type state uint8

const (
	unregistered state = iota
	reporting
	deregistered
)

// String returns the name of s.
func (s state) String() string {
	return [...]string{"unregistered", "reporting", "deregistered"}[s]
}

// Reporter sends the reports, each a datagram that gets no answer.
type Reporter struct {
	session.Config
	addr         string // "" without a registry
	name         string // of this service
	state        state
	availability availability // in the next report
	socket       *socket      // nil if the next report is to open one
	timer        *timerqueue.Timer
	unreachable  bool // the latest report could not be sent
}

// socket is a socket to one address. A Reporter whose address changes leaves it, also while it
// is being opened.
type socket struct {
	conn *eventloop.DatagramConn // nil until it is open
}

// New returns a Reporter that reports nothing yet, and nothing ever without an address.
func New(addr, name string, deps session.Config) *Reporter {
	return &Reporter{Config: deps, addr: addr, name: name, availability: available}
}

// Register reports this service from now on, as available until SetAvailable says otherwise.
func (r *Reporter) Register() {
	if r.state == deregistered {
		return
	}
	r.state = reporting
	r.reportPeriodically()
}

// reportPeriodically sends one report and schedules the next, until Deregister.
func (r *Reporter) reportPeriodically() {
	if r.state == deregistered {
		return
	}
	r.timer = r.Timers.Schedule(r.Now()+reportInterval, r.reportPeriodically)
	switch {
	case r.addr == "":
	case r.socket == nil:
		r.openSocket()
	default:
		r.sendReport(r.availability)
	}
}

// openSocket opens a socket and sends a report once it is openSocket.
func (r *Reporter) openSocket() {
	s := &socket{}
	r.socket = s
	r.DialDatagram(r.addr, func(conn *eventloop.DatagramConn, err error) {
		current := r.socket == s
		switch {
		case err != nil && current:
			r.socket = nil
			r.handleSendFailure(err)
		case err != nil:
		case !current:
			conn.Close()
		default:
			s.conn = conn
			r.sendReport(r.availability)
		}
	})
}

// SetAddress reports to another address from now on.
func (r *Reporter) SetAddress(addr string) {
	if addr == r.addr {
		return
	}
	r.addr = addr
	if r.socket != nil && r.socket.conn != nil {
		r.socket.conn.Close()
	}
	r.socket = nil
	r.unreachable = false
	if r.state == reporting {
		r.Timers.Cancel(r.timer)
		r.Register()
	}
}

// SetAvailable reports from now on that this service is available, or that it is listed and
// takes no work. Reports get lost: each that follows says the same.
func (r *Reporter) SetAvailable(isAvailable bool) {
	if r.state == deregistered {
		return
	}
	before := r.availability
	r.availability = available
	if !isAvailable {
		r.availability = unavailable
	}
	if r.state == reporting && r.availability != before {
		r.sendReport(r.availability)
	}
}

// Deregister reports this service as unavailable, and nothing after that: its entry lapses. Where a
// socket is being opened, that report is its first.
func (r *Reporter) Deregister() {
	r.state = deregistered
	r.availability = unavailable
	r.Timers.Cancel(r.timer)
	r.sendReport(r.availability)
}

// sendReport sends a report, if the socket is open.
func (r *Reporter) sendReport(availability availability) {
	if r.socket == nil || r.socket.conn == nil {
		return
	}
	if err := r.socket.conn.Send(encodeReport(r.name, availability)); err != nil {
		r.handleSendFailure(err)
	} else {
		r.unreachable = false
	}
}

// handleSendFailure logs once that reports can't be sent. The next one is sent all the same.
func (r *Reporter) handleSendFailure(err error) {
	if !r.unreachable {
		r.Log.Warn("registry not reached", zap.Error(err))
	}
	r.unreachable = true
}
