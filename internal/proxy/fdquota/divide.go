package fdquota

const (
	// serviceDescriptors is what the service opens for itself after its start: the event loop
	// (2), the engine's connection and its successor (2), the registry's socket and its
	// successor (2), a connection that has two descriptors while the event loop takes it
	// over (2), one that a closing listener accepts (2), and files that are read (2).
	serviceDescriptors = 12

	// The quota of lingering connections is a sixteenth of the remaining descriptors. There
	// may be twice as many for a moment, so an eighth is set aside.
	lingeringDivisor = 16
	// An eighth of the connections is reserved for calls.
	reservedCallsDivisor = 8
	// Calls use at most half of the connections.
	callsDivisor = 2

	// With fewer than these the service could not do its work.
	minConnections   = 10
	minReservedCalls = 2
	minLingering     = 1
)

// Usage is what a process knows of its descriptors when it is about to listen. All fields
// are numbers of descriptors.
type Usage struct {
	// Limit is how many the process may have.
	Limit int
	// OpenDescriptors are open at this time, inherited ones included.
	OpenDescriptors int
	// Listeners are about to be opened.
	Listeners int
	// Reserved are left to other parts of the program, such as the replicated store.
	Reserved int
}

// Quotas are how many connections of each kind may be open at a time.
type Quotas struct {
	// Connections is for callers and calls together.
	Connections int
	// ReservedForCalls is the part of Connections that only calls may use.
	ReservedForCalls int
	// Lingering is for connections that this side has shut down and that wait for their
	// peers. There may be twice as many for a moment.
	Lingering int
	// BelowMinimum says that the limit leaves fewer than these: the process may run out of
	// descriptors.
	BelowMinimum bool
}

// Divide returns the quotas. Where the limit leaves fewer than the minimum that the service
// can work with, they are the minimum, and BelowMinimum is set: a service that may run out
// of descriptors is of more use than one that does not start.
func Divide(u Usage) Quotas {
	remaining := u.Limit - u.OpenDescriptors - u.Listeners - u.Reserved - serviceDescriptors
	lingering := max(remaining/lingeringDivisor, minLingering)
	connections := remaining - 2*lingering
	q := Quotas{
		Connections:  max(connections, minConnections),
		Lingering:    lingering,
		BelowMinimum: connections < minConnections,
	}
	q.ReservedForCalls = max(q.Connections/reservedCallsDivisor, minReservedCalls)
	return q
}
