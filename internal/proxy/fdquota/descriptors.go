// Package fdquota divides a process's file descriptors among what the service opens, so
// that callers can never take those that it needs for its own links. It does no I/O.
package fdquota

import "sync"

const (
	// reserve is what the service opens for itself after its start: the event loop (2), the
	// engine link and its successor (2), the directory's socket and its successor (2), a
	// connection that is handed to the event loop and has two descriptors meanwhile (2), one
	// that a closing listener takes (2), and files that are read (2).
	reserve = 12

	// The parts of what remains, in sixteenths. Ended connections may be twice as many as
	// wanted for a moment. The rest is for callers and calls together, an eighth of it for
	// calls alone.
	endedParts = 1
	allParts   = 16
	callsShare = 8

	// Least of each: with fewer the service could not do its work.
	connsLeast = 10
	callsLeast = 2
	endedLeast = 1
)

// Use is what a process knows of its descriptors when it starts to listen.
type Usage struct {
	Limit       int // descriptors that the process may have
	AlreadyOpen int // that it has already, inherited ones included
	Listeners   int // that it is about to open
	Reserved    int // to keep for other parts of the program, such as the replicated store
}

// Shares is how many connections of each kind may be open at a time.
type Quotas struct {
	Connections   int  // of callers and of calls to the records service together
	ReservedCalls int  // of these that are kept for calls
	Lingering     int  // that have ended on this side and wait for their peers; twice as many for a moment
	BelowMinimum  bool // the limit leaves less than these: descriptors may run out
}

// Divide returns the shares. Where the limit leaves too few for the least that the service
// can work with, it is given that, and told so: a service that may run out of descriptors
// is of more use than one that does not start.
func Divide(u Usage) Quotas {
	left := u.Limit - u.AlreadyOpen - u.Listeners - u.Reserved - reserve
	ended := max(left*endedParts/allParts, endedLeast)
	conns := left - 2*ended
	s := Quotas{Connections: max(conns, connsLeast), Lingering: ended, BelowMinimum: conns < connsLeast}
	s.ReservedCalls = max(s.Connections/callsShare, callsLeast)
	return s
}

// Pool counts the connections of callers and calls, which share what there is: calls take
// what callers leave, and always find those that are kept for them. It is safe for
// concurrent use.
type Pool struct {
	shares Quotas

	mu             sync.Mutex
	callers, calls int
}

// NewPool returns a Pool of which nothing is taken.
func NewPool(s Quotas) *Pool { return &Pool{shares: s} }

// CallersMost is how many callers there may be at most.
func (p *Pool) MaxCallers() int { return p.shares.Connections - p.shares.ReservedCalls }

// CallerFits tells whether one more caller fits beside the calls.
func (p *Pool) HasCallerCapacity() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callers+max(p.calls, p.shares.ReservedCalls) < p.shares.Connections
}

// Callers counts so many callers more, or less.
func (p *Pool) AddCallers(n int) {
	p.mu.Lock()
	p.callers += n
	p.mu.Unlock()
}

// TakeCall counts one more call, if it fits. Calls take half of what there is at most.
func (p *Pool) AcquireCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.calls < p.shares.ReservedCalls
	free := p.calls+p.callers < p.shares.Connections && p.calls < p.shares.Connections/2
	if kept || free {
		p.calls++
		return true
	}
	return false
}

// Calls is how many calls there are.
func (p *Pool) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// EndCall counts one call less.
func (p *Pool) ReleaseCall() {
	p.mu.Lock()
	p.calls--
	p.mu.Unlock()
}
