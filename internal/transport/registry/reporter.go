// Package registry reports the availability of this service to the service registry, which lists it for
// its balancers. A Reporter is used on the dispatcher's goroutine only. Each socket is opened on its own
// goroutine (see package session).
package registry

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/transport/eventloop"
	"oxbowbridge/internal/transport/session"
)

// reportInterval is the time between reports. The registry removes an entry 3 s after its last report,
// which is 10 reports. If a quarter of the datagrams are lost, all 10 are lost with a probability of
// about one in a million.
const reportInterval = 300 * time.Millisecond

// state is the state of the registration. Register changes it to reporting, and Deregister changes it to
// deregistered, which is final.
type state uint8

const (
	unregistered state = iota
	reporting
	deregistered
)

// String returns the state's name.
func (s state) String() string {
	return [...]string{"unregistered", "reporting", "deregistered"}[s]
}

// Reporter sends the reports. Each is a datagram without a response.
type Reporter struct {
	session.Config
	addr         string // empty if there is no registry
	name         string // name of this service
	state        state
	availability availability // sent in the next report
	socket       *socket      // nil if the next report has to open one
	timer        *timerqueue.Timer
	unreachable  bool // the latest report could not be sent
}

// socket is a datagram socket to one address. The Reporter drops the socket when its address changes,
// even while the socket is being opened.
type socket struct {
	conn *eventloop.DatagramConn // nil until the socket is open
}

// New returns a Reporter that sends no reports before Register. Without an address it never sends any.
func New(addr, name string, deps session.Config) *Reporter {
	return &Reporter{Config: deps, addr: addr, name: name, availability: available}
}

// Register starts the periodic reports. The service is reported as available unless SetAvailable has
// changed that.
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

// openSocket opens a socket and sends a report once the socket is open.
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

// SetAddress sends the following reports to another address.
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

// SetAvailable changes whether this service is reported as available or as accepting no requests. The
// periodic reports repeat the value, since a datagram may be lost.
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

// Deregister reports this service as unavailable and stops the reports, so that the registry removes the
// entry. If a socket is still being opened, that report is sent once it is open.
func (r *Reporter) Deregister() {
	r.state = deregistered
	r.availability = unavailable
	r.Timers.Cancel(r.timer)
	r.sendReport(r.availability)
}

// sendReport sends a report if the socket is open.
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

// handleSendFailure logs that a report can't be sent, once until a report succeeds. The next report is
// still sent.
func (r *Reporter) handleSendFailure(err error) {
	if !r.unreachable {
		r.Log.Warn("registry unreachable", zap.Error(err))
	}
	r.unreachable = true
}
