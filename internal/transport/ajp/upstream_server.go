package ajp

import (
	"errors"
	"math"
	"syscall"

	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/slowstart"
)

// upstreamServer is the pool's state for the server at one address.
type upstreamServer struct {
	addr               string
	connCount          int                  // connections that are open or being opened
	runCount           int                  // runs assigned to these connections
	refusesConnections bool                 // the latest dial was refused
	slowStart          *slowstart.SlowStart // slow start of the latest detected server start, or nil
}

func (p *UpstreamPool) server(addr string) *upstreamServer {
	s := p.servers[addr]
	if s == nil {
		s = &upstreamServer{addr: addr}
		p.servers[addr] = s
	}
	return s
}

// startSlowStart starts the slow start of a server that appears to have just started.
func (p *UpstreamPool) startSlowStart(s *upstreamServer) {
	s.slowStart = slowstart.New(p.slowStart, p.seed, p.Now())
	p.Log.Info("upstream in slow start", zap.String("address", s.addr))
}

// quota returns the number of runs that a server may have from this process now.
func (p *UpstreamPool) quota(s *upstreamServer) int {
	if s.slowStart == nil {
		return math.MaxInt
	}
	return s.slowStart.Quota(p.Now())
}

// hasSlot reports whether a server may get another run from this process.
func (p *UpstreamPool) hasSlot(s *upstreamServer) bool { return s.runCount < p.quota(s) }

// recordDialResult records whether a server accepted or refused a connection. A server that accepts after it
// refused has just started.
func (p *UpstreamPool) recordDialResult(s *upstreamServer, err error) {
	switch {
	case err == nil && s.refusesConnections:
		s.refusesConnections = false
		p.startSlowStart(s)
	case errors.Is(err, syscall.ECONNREFUSED) && !s.refusesConnections:
		s.refusesConnections = true
		p.scheduleProbe(s)
	}
}

// probeServer dials a server that refuses connections, and schedules the next probe. Probing ends when the
// server accepts or is no longer listed.
func (p *UpstreamPool) probeServer(s *upstreamServer) {
	if !s.refusesConnections || !p.isListed(s.addr) {
		return
	}
	p.connect(s.addr, nil)
	p.scheduleProbe(s)
}

func (p *UpstreamPool) scheduleProbe(s *upstreamServer) {
	p.Timers.Schedule(p.Now()+probeInterval, func() { p.probeServer(s) })
}
