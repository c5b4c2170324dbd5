package registry

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/proxy/timerqueue"
	"oxbowbridge/internal/testrig/protocolfuzz"
	"oxbowbridge/internal/transport/session"
)

const (
	socketOpenDelay = 200 * time.Microsecond // time for a socket to open
	registryCount   = 2
)

// reporterFixture holds a Reporter and two registries. The test acts as the dispatcher and as the
// registries.
type reporterFixture struct {
	t            *testing.T
	reporter     *Reporter
	exchange     *exchange.Exchange
	now          time.Duration
	addrs        []string
	registries   []net.PacketConn // nil while the registry is stopped
	reporterAddr net.Addr         // source address of the latest report
	available    bool             // latest argument of SetAvailable
	deregistered bool
}

func newReporterFixture(t *testing.T) protocolfuzz.Scenario {
	f := &reporterFixture{t: t, exchange: exchange.New(100), available: true}
	for range registryCount {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		f.registries = append(f.registries, socket)
		f.addrs = append(f.addrs, socket.LocalAddr().String())
	}
	f.reporter = New(f.addrs[0], "n3", session.Config{Exchange: f.exchange, Timers: &timerqueue.Queue{},
		Now: func() time.Duration { return f.now }, Log: zap.NewNop()})
	t.Cleanup(func() {
		for i := range f.registries {
			f.stopRegistry(i)
		}
	})
	return f
}

func (f *reporterFixture) stopRegistry(i int) {
	if f.registries[i] != nil {
		f.registries[i].Close()
		f.registries[i] = nil
	}
}

// restartRegistry makes a stopped registry listen at its address again.
func (f *reporterFixture) restartRegistry(i int) {
	if f.registries[i] != nil {
		return
	}
	require.Eventually(f.t, func() bool {
		socket, err := net.ListenPacket("udp", f.addrs[i])
		f.registries[i] = socket
		if err != nil {
			f.registries[i] = nil
		}
		return err == nil
	}, 10*time.Second, time.Millisecond)
}

// ProcessEvents runs due timers and the posted callbacks.
func (f *reporterFixture) ProcessEvents() {
	time.Sleep(socketOpenDelay)
	f.reporter.Timers.RunDue(f.now)
	for _, e := range f.exchange.Dequeue(nil) {
		e.(exchange.Callback)()
	}
}

// readReports returns the reports that a registry has not read yet, and checks that each is valid.
func (f *reporterFixture) readReports(i int) (reports []string) {
	if f.registries[i] == nil {
		return nil
	}
	buffer := make([]byte, 100)
	for {
		require.NoError(f.t, f.registries[i].SetReadDeadline(time.Now().Add(time.Millisecond)))
		n, from, err := f.registries[i].ReadFrom(buffer)
		if err != nil {
			return reports
		}
		f.reporterAddr = from
		text := string(buffer[:n])
		require.Contains(f.t, []string{"PULSE n3 open", "PULSE n3 closed"}, text)
		reports = append(reports, text)
	}
}

// Step executes one action of a dispatcher or a registry, which action selects.
func (f *reporterFixture) Step(action, value byte) {
	i := int(value) % registryCount
	switch action % 10 {
	case 0, 1:
		f.reporter.Register()
	case 2:
		if !f.deregistered {
			f.available = value%3 > 0
		}
		f.reporter.SetAvailable(value%3 > 0)
	case 3:
		f.reporter.SetAddress(f.addrs[i])
	case 4:
		f.stopRegistry(i)
	case 5:
		f.restartRegistry(i)
	case 6, 7:
		f.now += reportInterval
	case 8:
		f.readReports(i)
		if f.reporterAddr != nil && f.registries[i] != nil {
			f.registries[i].WriteTo(make([]byte, value), f.reporterAddr)
		}
	default:
		if value < 8 {
			f.reporter.Deregister()
			f.deregistered = true
		}
	}
}

// FuzzRegistryUnexpectedMessages checks that the reports continue after a registry was stopped, restarted,
// moved to another address, or has sent unexpected datagrams. A restarted registry receives the availability
// that the dispatcher set last, and only "closed" after Deregister.
func FuzzRegistryUnexpectedMessages(f *testing.F) {
	protocolfuzz.Fuzz(f, newReporterFixture)
}

// VerifyRecovery restarts all registries and checks the reports of one more interval.
func (f *reporterFixture) VerifyRecovery() {
	for i := range f.registries {
		f.restartRegistry(i)
	}
	f.reporter.SetAddress(f.addrs[0])
	f.reporter.SetAddress(f.addrs[1])
	f.ProcessEvents()
	f.readReports(0)
	f.readReports(1)
	if !f.deregistered {
		f.reporter.Register()
	}
	var reports []string
	reportReceived := func() bool {
		f.now += reportInterval
		f.ProcessEvents()
		reports = append(reports, f.readReports(1)...)
		return len(reports) > 0
	}
	if f.deregistered {
		reportReceived()
		require.NotContains(f.t, reports, "PULSE n3 open")
		return
	}
	require.Eventually(f.t, reportReceived, 10*time.Second, time.Millisecond)
	want := "PULSE n3 open"
	if !f.available {
		want = "PULSE n3 closed"
	}
	require.Equal(f.t, want, reports[0])
	require.Empty(f.t, f.readReports(0), "reports at the earlier address")
}
