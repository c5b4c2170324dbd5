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
type Use struct {
	Limit     int // descriptors that the process may have
	Open      int // that it has already, inherited ones included
	Listeners int // that it is about to open
	Others    int // to keep for other parts of the program, such as the replicated store
}

// Shares is how many connections of each kind may be open at a time.
type Shares struct {
	Conns int  // of callers and of calls to the records service together
	Calls int  // of these that are kept for calls
	Ended int  // that have ended on this side and wait for their peers; twice as many for a moment
	Short bool // the limit leaves less than these: descriptors may run out
}

// Divide returns the shares. Where the limit leaves too few for the least that the service
// can work with, it is given that, and told so: a service that may run out of descriptors
// is of more use than one that does not start.
func Divide(u Use) Shares {
	left := u.Limit - u.Open - u.Listeners - u.Others - reserve
	ended := max(left*endedParts/allParts, endedLeast)
	conns := left - 2*ended
	s := Shares{Conns: max(conns, connsLeast), Ended: ended, Short: conns < connsLeast}
	s.Calls = max(s.Conns/callsShare, callsLeast)
	return s
}

// Pool counts the connections of callers and calls, which share what there is: calls take
// what callers leave, and always find those that are kept for them. It is safe for
// concurrent use.
type Pool struct {
	shares Shares

	mu             sync.Mutex
	callers, calls int
}

// NewPool returns a Pool of which nothing is taken.
func NewPool(s Shares) *Pool { return &Pool{shares: s} }

// CallersMost is how many callers there may be at most.
func (p *Pool) CallersMost() int { return p.shares.Conns - p.shares.Calls }

// CallerFits tells whether one more caller fits beside the calls.
func (p *Pool) CallerFits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callers+max(p.calls, p.shares.Calls) < p.shares.Conns
}

// Callers counts so many callers more, or less.
func (p *Pool) Callers(n int) {
	p.mu.Lock()
	p.callers += n
	p.mu.Unlock()
}

// TakeCall counts one more call, if it fits. Calls take half of what there is at most.
func (p *Pool) TakeCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.calls < p.shares.Calls
	free := p.calls+p.callers < p.shares.Conns && p.calls < p.shares.Conns/2
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
func (p *Pool) EndCall() {
	p.mu.Lock()
	p.calls--
	p.mu.Unlock()
}
