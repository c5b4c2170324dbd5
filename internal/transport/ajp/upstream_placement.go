package ajp

import (
	"slices"

	"oxbowbridge/internal/transport/eventloop"
)

// place gives a run a connection: an idle one, the latest used first, or a new one. It queues
// the run if no server has a slot for it. A server that refuses connections is tried last: its
// refusal ends a run that finds no other.
func (p *UpstreamPool) place(r *upstreamRun) {
	if p.placeOnIdle(r) || p.placeOnReachable(r) || p.placeOnRefusing(r) {
		return
	}
	p.queue = append(p.queue, r)
	p.scheduleQueue()
}

// placeOnIdle gives a run an idle connection, which is checked first: it may have been closed
// meanwhile.
func (p *UpstreamPool) placeOnIdle(r *upstreamRun) bool {
	for i, c := range slices.Backward(p.idle) {
		if p.hasSlot(c.server) {
			p.idle = slices.Delete(p.idle, i, i+1)
			c.attach(r)
			c.check()
			return true
		}
	}
	return false
}

// placeOnReachable gives a run a new connection to a server that did not refuse the latest one.
func (p *UpstreamPool) placeOnReachable(r *upstreamRun) bool { return p.placeOnNew(r, false) }

// placeOnRefusing gives a run a new connection to a server that refused the latest one.
func (p *UpstreamPool) placeOnRefusing(r *upstreamRun) bool { return p.placeOnNew(r, true) }

// placeOnNew connects to the next server that has a slot, of those that refuse or the others.
func (p *UpstreamPool) placeOnNew(r *upstreamRun, refusing bool) bool {
	for range p.addrs {
		s := p.server(p.takeAddress())
		if s.refusing == refusing && p.hasSlot(s) {
			p.connect(s.addr, r)
			return true
		}
	}
	return false
}

// scheduleQueue places the queued runs after a while.
func (p *UpstreamPool) scheduleQueue() {
	if p.queueTimer {
		return
	}
	p.queueTimer = true
	p.Timers.Schedule(p.Now()+placementRetry, func() {
		p.queueTimer = false
		queue := p.queue
		p.queue = nil
		for _, r := range queue {
			p.place(r)
		}
	})
}

// takeAddress returns the listed address whose turn it is.
func (p *UpstreamPool) takeAddress() string {
	addr := p.addrs[p.nextAddress%len(p.addrs)]
	p.nextAddress++
	return addr
}

// connect makes a connection for a run, or without one to see whether the server is there.
func (p *UpstreamPool) connect(addr string, r *upstreamRun) {
	c := &upstreamConn{pool: p, addr: addr, server: p.server(addr), parser: parser{magic: magicToWebServer}}
	c.server.conns++
	if r != nil {
		c.attach(r)
	}
	p.Dial(addr, c, func(socket *eventloop.Conn, err error) { c.opened(socket, err) })
}
