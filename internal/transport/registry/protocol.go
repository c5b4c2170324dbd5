package registry

// commandReport begins a report, as the protocol names it; the service's name and its
// availability follow. These names appear in no other file.
const commandReport = "PULSE"

// availability is what a report says of the service.
type availability string

const (
	available   availability = "open"
	unavailable availability = "closed" // listed, and takes no work
)

// encodeReport returns the datagram of a encodeReport.
func encodeReport(name string, a availability) []byte {
	return []byte(commandReport + " " + name + " " + string(a))
}
