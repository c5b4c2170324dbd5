package fdquota

import "sync"

// ConnPool counts the open connections of callers and calls, which share Quotas.Connections. Calls can
// always use ReservedForCalls connections, and beyond that free connections up to half of the quota.
// ConnPool is safe for concurrent use.
type ConnPool struct {
	quotas Quotas

	mu      sync.Mutex
	callers int
	calls   int
}

// NewConnPool returns a ConnPool with the given quotas and no open connections.
func NewConnPool(q Quotas) *ConnPool { return &ConnPool{quotas: q} }

// MaxCallers returns the maximum number of caller connections.
func (p *ConnPool) MaxCallers() int { return p.quotas.Connections - p.quotas.ReservedForCalls }

// HasCallerCapacity reports whether one more caller connection can be accepted.
func (p *ConnPool) HasCallerCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callers+max(p.calls, p.quotas.ReservedForCalls) < p.quotas.Connections
}

// AddCallers adds n, which may be negative, to the number of caller connections.
func (p *ConnPool) AddCallers(n int) {
	p.mu.Lock()
	p.callers += n
	p.mu.Unlock()
}

// AcquireCall adds a call connection if the quotas allow it, and reports whether it did.
func (p *ConnPool) AcquireCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	hasReservedCapacity := p.calls < p.quotas.ReservedForCalls
	hasSharedCapacity := p.calls+p.callers < p.quotas.Connections && p.calls < p.quotas.Connections/maxCallsDivisor
	if hasReservedCapacity || hasSharedCapacity {
		p.calls++
		return true
	}
	return false
}

// OpenCalls returns the number of call connections.
func (p *ConnPool) OpenCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ReleaseCall removes a call connection.
func (p *ConnPool) ReleaseCall() {
	p.mu.Lock()
	p.calls--
	p.mu.Unlock()
}
