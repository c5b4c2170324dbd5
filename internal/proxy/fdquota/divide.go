package fdquota

const (
	// serviceDescriptors is the number of descriptors that the service opens for itself after its
	// start: the event loop (2), the engine connection and its replacement (2), the registry socket and
	// its replacement (2), a connection with two descriptors during its handover to the event loop (2),
	// a connection that a closing listener accepts (2), and files being read (2).
	serviceDescriptors = 12

	// The quota of lingering connections is 1/16 of the remaining descriptors. Because their number may
	// briefly be twice the quota, 1/8 of the descriptors is reserved for them.
	lingeringDivisor = 16
	// 1/8 of the connections is reserved for calls.
	reservedCallsDivisor = 8
	// Calls use at most 1/2 of the connections.
	maxCallsDivisor = 2

	// The service can't work with fewer connections than these minimums.
	minConnections   = 10
	minReservedCalls = 2
	minLingering     = 1
)

// Usage describes a process's use of file descriptors just before it opens its listeners. All fields
// are numbers of descriptors.
type Usage struct {
	// Limit is the maximum number of descriptors of the process.
	Limit int
	// OpenDescriptors is the number of open descriptors, including inherited ones.
	OpenDescriptors int
	// Listeners is the number of listeners that will be opened.
	Listeners int
	// Reserved is the number reserved for other parts of the program, such as the replicated store.
	Reserved int
}

// Quotas are the maximum numbers of open connections of each kind.
type Quotas struct {
	// Connections is the quota of callers and calls together.
	Connections int
	// ReservedForCalls is the part of Connections that only calls may use.
	ReservedForCalls int
	// Lingering is the quota of connections that this process has shut down and that wait for their
	// peers to close. Their number may briefly be twice the quota.
	Lingering int
	// BelowMinimum says that the limit is too low for the minimum number of connections: the process
	// may run out of descriptors.
	BelowMinimum bool
}

// Divide returns the quotas for the given usage. If the descriptor limit leaves fewer connections than
// the service needs, Divide returns the minimum quotas and sets BelowMinimum, because a service that
// may run out of descriptors is more useful than one that does not start.
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
