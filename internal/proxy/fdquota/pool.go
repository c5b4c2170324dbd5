package fdquota

import "sync"

// ConnPool counts the open connections of callers and calls, which share Quotas.Connections.
// Calls may use what callers leave, up to half of all, and always have ReservedForCalls. It is
// safe for concurrent use.
type ConnPool struct {
	quotas Quotas

	mu      sync.Mutex
	callers int
	calls   int
}

// NewConnPool returns a ConnPool without open connections.
func NewConnPool(q Quotas) *ConnPool { return &ConnPool{quotas: q} }

// MaxCallers is the maximum of caller connections.
func (p *ConnPool) MaxCallers() int { return p.quotas.Connections - p.quotas.ReservedForCalls }

// HasCallerCapacity tells whether there is room for one more caller.
func (p *ConnPool) HasCallerCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callers+max(p.calls, p.quotas.ReservedForCalls) < p.quotas.Connections
}

// AddCallers counts n callers more; less if n is negative.
func (p *ConnPool) AddCallers(n int) {
	p.mu.Lock()
	p.callers += n
	p.mu.Unlock()
}

// AcquireCall counts one more call, if there is room for it.
func (p *ConnPool) AcquireCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reserved := p.calls < p.quotas.ReservedForCalls
	free := p.calls+p.callers < p.quotas.Connections && p.calls < p.quotas.Connections/callsDivisor
	if reserved || free {
		p.calls++
		return true
	}
	return false
}

// OpenCalls is the number of open calls.
func (p *ConnPool) OpenCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ReleaseCall counts one call less.
func (p *ConnPool) ReleaseCall() {
	p.mu.Lock()
	p.calls--
	p.mu.Unlock()
}
