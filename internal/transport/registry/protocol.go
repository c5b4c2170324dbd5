package registry

// commandReport is the first word of a report. The service's name and its availability follow. Only this
// file contains the protocol's names.
const commandReport = "PULSE"

// availability is the state of the service in a report.
type availability string

const (
	available   availability = "open"
	unavailable availability = "closed" // listed, but accepts no requests
)

// encodeReport returns a report as a datagram.
func encodeReport(name string, a availability) []byte {
	return []byte(commandReport + " " + name + " " + string(a))
}
