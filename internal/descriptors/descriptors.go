// Package descriptors divides a process's file descriptors among what the service opens, so
// that callers can never take those that it needs for its own links. It does no I/O.
package descriptors

const (
	// reserve is what the service opens for itself after its start: the event loop (2), the
	// engine link and its successor (2), the directory's socket and its successor (2), a
	// connection that is handed to the event loop and has two descriptors meanwhile (2), one
	// that a closing listener takes (2), and files that are read (2).
	reserve = 12

	// The parts of what remains, in sixteenths. Ended connections may be twice as many as
	// wanted for a moment, so that all parts together are 16.
	callerParts = 12
	callParts   = 2
	endedParts  = 1
	allParts    = 16

	// Least of each share: with fewer the service could not do its work.
	callersLeast = 8
	callsLeast   = 2
	endedLeast   = 1
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
	Callers int  // of all fronts together
	Calls   int  // to the records service
	Ended   int  // that have ended on this side and wait for their peers; twice as many for a moment
	Short   bool // the limit leaves less than these: descriptors may run out
}

// Divide returns the shares. Where the limit leaves too few for the least that the service
// can work with, it is given that, and told so: a service that may run out of descriptors
// is of more use than one that does not start.
func Divide(u Use) Shares {
	left := u.Limit - u.Open - u.Listeners - u.Others - reserve
	s := Shares{Callers: left * callerParts / allParts, Calls: left * callParts / allParts, Ended: left * endedParts / allParts}
	s.Short = s.Callers < callersLeast || s.Calls < callsLeast || s.Ended < endedLeast
	s.Callers = max(s.Callers, callersLeast)
	s.Calls = max(s.Calls, callsLeast)
	s.Ended = max(s.Ended, endedLeast)
	return s
}
