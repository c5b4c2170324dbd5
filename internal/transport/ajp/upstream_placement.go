package ajp

import (
	"slices"

	"oxbowbridge/internal/transport/eventloop"
)

// placeRun assigns a run to a connection: the most recently used idle one if possible, otherwise a new one. It
// queues the run if no server has a free slot. A server that refuses connections is used only if no other
// server has a slot; if it refuses again, the run may fail (see canRetry).
func (p *UpstreamPool) placeRun(r *upstreamRun) {
	if p.placeOnIdle(r) || p.placeOnReachable(r) || p.placeOnRefusing(r) {
		return
	}
	p.queue = append(p.queue, r)
	p.schedulePlacement()
}

// placeOnIdle assigns a run to an idle connection. It first starts a health check, since the upstream may have
// closed the connection.
func (p *UpstreamPool) placeOnIdle(r *upstreamRun) bool {
	for i, c := range slices.Backward(p.idle) {
		if p.hasSlot(c.server) {
			p.idle = slices.Delete(p.idle, i, i+1)
			c.attachRun(r)
			c.startHealthCheck()
			return true
		}
	}
	return false
}

// placeOnReachable assigns a run to a new connection to a server that did not refuse the latest dial.
func (p *UpstreamPool) placeOnReachable(r *upstreamRun) bool { return p.placeOnNew(r, false) }

// placeOnRefusing assigns a run to a new connection to a server that refused the latest dial.
func (p *UpstreamPool) placeOnRefusing(r *upstreamRun) bool { return p.placeOnNew(r, true) }

// placeOnNew assigns a run to a new connection to the next server that has a slot and whose
// refusesConnections equals refusing.
func (p *UpstreamPool) placeOnNew(r *upstreamRun, refusing bool) bool {
	for range p.addrs {
		s := p.server(p.takeNextAddress())
		if s.refusesConnections == refusing && p.hasSlot(s) {
			p.connect(s.addr, r)
			return true
		}
	}
	return false
}

// schedulePlacement sets a timer that places the queued runs after placementRetryDelay.
func (p *UpstreamPool) schedulePlacement() {
	if p.placementScheduled {
		return
	}
	p.placementScheduled = true
	p.Timers.Schedule(p.Now()+placementRetryDelay, func() {
		p.placementScheduled = false
		queue := p.queue
		p.queue = nil
		for _, r := range queue {
			p.placeRun(r)
		}
	})
}

// takeNextAddress returns the next listed address in round-robin order.
func (p *UpstreamPool) takeNextAddress() string {
	addr := p.addrs[p.takenAddrCount%len(p.addrs)]
	p.takenAddrCount++
	return addr
}

// connect dials a server for a run. If r is nil, the connection only checks that the server is available.
func (p *UpstreamPool) connect(addr string, r *upstreamRun) {
	c := &upstreamConn{pool: p, addr: addr, server: p.server(addr), parser: newParser(magicToWebServer)}
	c.server.connCount++
	if r != nil {
		c.attachRun(r)
	}
	p.Dial(addr, c, func(socket *eventloop.Conn, err error) { c.handleDialResult(socket, err) })
}
