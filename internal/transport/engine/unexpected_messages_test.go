package engine

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/testrig/protocolfuzz"
)

const (
	dispatcherSteps    = 60
	invalidConnections = 5
)

// unexpectedMessages are valid and invalid messages from an engine. %n stands for a notification number, %t
// for a trace id.
var unexpectedMessages = []string{
	"HELLO WARM 20000\r\n", "HELLO COLD 3\r\n", "HELLO\r\n", "HELLO WARM x\r\n", "STATS sync 1\r\n", "STATS gauges 1 1 1 1\r\n",
	"STATS gauges x\r\n", "STATS\r\n", "NO RUN %t\r\n", "NO HALT %t\r\n", "NO\r\n", "NOTE %n x\r\n",
	"DONE %n %t OK 1 2\r\nab\r\n", "DONE %n %t STOPPED 1 0\r\n\r\n", "DONE %n %t MOOT 0 0\r\n\r\n",
	"DONE %n %t WHAT x 0\r\n\r\n", "DONE 0\r\n", "NEED %n %t 1\r\nc\r\n", "NEED x y 0\r\n\r\n", "\r\n", "\x00\xff\r\n",
	"DONE 1 2 3 4 -1\r\n", "HEL", "DONE %n %t OK 1 99\r\nshort",
}

// TestEngineUnexpectedMessages checks that an engine does not crash the process when it sends messages that
// the protocol does not allow at that time. The messages are sent before ATTACH, after the end of a run and
// in fragments, with closed connections in between. Afterwards the next connection to a correct engine works.
func TestEngineUnexpectedMessages(t *testing.T) {
	for seed := range uint64(protocolfuzz.SeedCount) {
		runUnexpectedMessages(t, seed, seed%2 == 0)
	}
}

func runUnexpectedMessages(t *testing.T, seed uint64, pausesOnStop bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newSessionFixture(t, pausesOnStop)
	engineDone := make(chan struct{})
	go func() {
		defer close(engineDone)
		protocolfuzz.SendRandomMessages(f.listener, seed, invalidConnections, randomMessage)
	}()
	f.session.Open()
	submitted := 0
	for step := 0; !isClosed(engineDone); step++ {
		if step < dispatcherSteps {
			submitted = f.callRandomMethod(rng, submitted)
		}
		f.session.Timers.RunDue(f.session.Now())
		f.handleEvents()
		time.Sleep(100 * time.Microsecond)
	}
	require.LessOrEqual(t, len(f.session.runs), submitted, "seed %d", seed)

	var c net.Conn
	go func() {
		conn, err := f.listener.Accept()
		if err == nil {
			f.exchange.Post(exchange.Callback(func() { c = conn }))
		}
	}()
	f.waitFor("another connection from the session", func() bool { f.session.Timers.RunDue(f.session.Now()); return c != nil })
	t.Cleanup(func() { c.Close() })
	f.engineReads(c, fmt.Sprintf("ATTACH %d\r\n", f.session.lastNotification))
	const lastTraceID = "ffffffffffffffff"
	f.session.Run(exchange.Job{TraceID: lastTraceID, Class: "c", Timeout: time.Minute})
	nextNotification := f.session.lastNotification + 1
	_, err := io.WriteString(c, fmt.Sprintf("HELLO WARM 30000\r\nDONE %d %s OK 1 0\r\n\r\n", nextNotification, lastTraceID))
	require.NoError(t, err)
	f.waitFor("the end of the last run", func() bool { return f.session.runs[lastTraceID] == nil })
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// callRandomMethod calls a random method of the session, as the dispatcher may, and returns how many runs
// were submitted so far.
func (f *sessionFixture) callRandomMethod(rng *rand.Rand, submitted int) int {
	traceID := fmt.Sprintf("%016x", 1+rng.IntN(1+submitted))
	switch rng.IntN(7) {
	case 0, 1:
		submitted++
		f.session.Run(exchange.Job{TraceID: fmt.Sprintf("%016x", submitted), Class: "c", Timeout: time.Minute, Idempotent: rng.IntN(2) == 0})
	case 2:
		f.session.Stop(traceID, rng.IntN(2) == 0)
	case 3:
		f.session.Resume(traceID)
	case 4:
		f.session.DeliverReply(traceID, []byte("r"))
	case 5:
		f.session.RequestGauges()
	case 6:
		f.session.Discard(traceID)
	}
	return submitted
}

// randomMessage returns a random element of unexpectedMessages with its placeholders filled in.
func randomMessage(rng *rand.Rand) string {
	text := unexpectedMessages[rng.IntN(len(unexpectedMessages))]
	number := 1 + rng.IntN(9)
	traceID := fmt.Sprintf("%016x", 1+rng.IntN(9))
	return strings.NewReplacer("%n", fmt.Sprint(number), "%t", traceID).Replace(text)
}
