package tests

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// registryMode is how the registry handles reports.
type registryMode string

const (
	registryHealthy      registryMode = "well"
	registryClosed       registryMode = "gone"    // its socket is closed
	registrySlow         registryMode = "slow"    // it reads one report every slowRegistryDelay
	registrySendsGarbage registryMode = "garbled" // it answers reports with bytes that are not a message
	registryMoved        registryMode = "moved"   // it works, at another address
)

var registryModes = []registryMode{registryHealthy, registryClosed, registrySlow, registrySendsGarbage, registryMoved}

const (
	slowRegistryDelay = 500 * time.Millisecond
	// registryReportTimeout is how long after its last report a service is removed from the endpoint list.
	registryReportTimeout = 3 * time.Second
	maxGarbageBytes       = 1400
)

// soakRegistry is a stand-in service registry that records all reports.
type soakRegistry struct {
	t    *testing.T
	addr string

	mu      sync.Mutex
	mode    registryMode
	socket  net.PacketConn // nil while closed
	reports []soakReport
}

type soakReport struct {
	text string
	at   time.Time
}

func newSoakRegistry(t *testing.T) *soakRegistry {
	r := &soakRegistry{t: t}
	r.changeAddress()
	t.Cleanup(func() { r.setMode(registryClosed) })
	return r
}

// changeAddress moves the registry to another address.
func (r *soakRegistry) changeAddress() {
	r.setMode(registryClosed)
	r.addr = "127.0.0.1:0"
	r.setMode(registryHealthy)
}

func (r *soakRegistry) setMode(mode registryMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	switch {
	case mode == registryClosed && r.socket != nil:
		r.socket.Close()
		r.socket = nil
	case mode != registryClosed && r.socket == nil:
		r.listen()
	}
}

// listen opens the socket, at its previous address if there is one. The caller holds the lock.
func (r *soakRegistry) listen() {
	require.Eventually(r.t, func() bool {
		socket, err := net.ListenPacket("udp", r.addr)
		if err != nil {
			return false
		}
		r.socket = socket
		return true
	}, relistenTimeout, time.Millisecond)
	r.addr = r.socket.LocalAddr().String()
	go r.read(r.socket)
}

func (r *soakRegistry) read(socket net.PacketConn) {
	buffer := make([]byte, 100)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		r.reports = append(r.reports, soakReport{string(buffer[:n]), time.Now()})
		mode := r.mode
		r.mu.Unlock()
		switch mode {
		case registrySlow:
			time.Sleep(slowRegistryDelay)
		case registrySendsGarbage:
			socket.WriteTo(make([]byte, maxGarbageBytes), from)
		}
	}
}

func (r *soakRegistry) allReports() []soakReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reports[:len(r.reports):len(r.reports)]
}

// awaitReport requires that a registry that works again gets a report before it would remove the service from
// its list.
func (r *soakRegistry) awaitReport(t *testing.T) {
	reportsBefore := len(r.allReports())
	require.Eventually(t, func() bool { return len(r.allReports()) > reportsBefore }, registryReportTimeout, time.Millisecond, "no report to the registry")
}

// check requires that each report is valid, that the last state reported is closed, and that no report lists
// the service as open after it.
func (r *soakRegistry) check() {
	reports := r.allReports()
	closed := false
	for _, report := range reports {
		switch report.text {
		case "PULSE n3 open":
			if closed {
				r.t.Errorf("reported as open after closed, at %v", report.at)
			}
		case "PULSE n3 closed":
			closed = true
		default:
			r.t.Errorf("invalid report: %q", report.text)
		}
	}
	if !closed {
		r.t.Errorf("closed state never reported")
	}
}
