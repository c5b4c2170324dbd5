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
	"oxbowbridge/internal/testrig/outofturn"
)

const (
	outOfTurnSteps       = 60
	outOfTurnConnections = 5
)

// saidOutOfTurn are messages of an engine, valid and not; %n is a number, %t a trace id.
var saidOutOfTurn = []string{
	"HELLO WARM 20000\r\n", "HELLO COLD 3\r\n", "HELLO\r\n", "HELLO WARM x\r\n", "STATS sync 1\r\n", "STATS gauges 1 1 1 1\r\n",
	"STATS gauges x\r\n", "STATS\r\n", "NO RUN %t\r\n", "NO HALT %t\r\n", "NO\r\n", "NOTE %n x\r\n",
	"DONE %n %t OK 1 2\r\nab\r\n", "DONE %n %t STOPPED 1 0\r\n\r\n", "DONE %n %t MOOT 0 0\r\n\r\n",
	"DONE %n %t WHAT x 0\r\n\r\n", "DONE 0\r\n", "NEED %n %t 1\r\nc\r\n", "NEED x y 0\r\n\r\n", "\r\n", "\x00\xff\r\n",
	"DONE 1 2 3 4 -1\r\n", "HEL", "DONE %n %t OK 1 99\r\nshort",
}

// TestEngineOutOfTurn: an engine that says anything at any moment, before ATTACH, after the end of
// a run, in pieces, and closes in between, does not end the process, and the next connection to a
// good one serves.
func TestEngineOutOfTurn(t *testing.T) {
	for seed := range uint64(outofturn.Seeds) {
		playOutOfTurn(t, seed, seed%2 == 0)
	}
}

func playOutOfTurn(t *testing.T, seed uint64, pauses bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newFixture(t, pauses)
	over := make(chan struct{})
	go func() {
		defer close(over)
		outofturn.Chatter(f.listener, seed, outOfTurnConnections, sayOutOfTurn)
	}()
	f.link.Open()
	ordered := 0
	for step := 0; !isClosed(over); step++ {
		if step < outOfTurnSteps {
			ordered = f.doAnything(rng, ordered)
		}
		f.link.Timers.RunDue(f.link.Now())
		f.turn()
		time.Sleep(100 * time.Microsecond)
	}
	require.LessOrEqual(t, len(f.link.runs), ordered, "seed %d", seed)

	var c net.Conn
	go func() {
		conn, err := f.listener.Accept()
		if err == nil {
			f.exchange.Post(exchange.Callback(func() { c = conn }))
		}
	}()
	f.await("another connection", func() bool { f.link.Timers.RunDue(f.link.Now()); return c != nil })
	t.Cleanup(func() { c.Close() })
	f.hears(c, fmt.Sprintf("ATTACH %d\r\n", f.link.lastNotification))
	const last = "ffffffffffffffff"
	f.link.Run(exchange.Job{TraceID: last, Class: "c", Timeout: time.Minute})
	next := f.link.lastNotification + 1
	_, err := io.WriteString(c, fmt.Sprintf("HELLO WARM 30000\r\nDONE %d %s OK 1 0\r\n\r\n", next, last))
	require.NoError(t, err)
	f.await("the end of a run", func() bool { return f.link.runs[last] == nil })
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// doAnything calls the session in one of the ways in which the dispatcher does, and returns how
// many runs were ordered so far.
func (f *fixture) doAnything(rng *rand.Rand, ordered int) int {
	trace := fmt.Sprintf("%016x", 1+rng.IntN(1+ordered))
	switch rng.IntN(7) {
	case 0, 1:
		ordered++
		f.link.Run(exchange.Job{TraceID: fmt.Sprintf("%016x", ordered), Class: "c", Timeout: time.Minute, Idempotent: rng.IntN(2) == 0})
	case 2:
		f.link.Stop(trace, rng.IntN(2) == 0)
	case 3:
		f.link.Resume(trace)
	case 4:
		f.link.DeliverReply(trace, []byte("r"))
	case 5:
		f.link.RequestGauges()
	case 6:
		f.link.Discard(trace)
	}
	return ordered
}

// sayOutOfTurn returns a message that nobody has asked for.
func sayOutOfTurn(rng *rand.Rand) string {
	text := saidOutOfTurn[rng.IntN(len(saidOutOfTurn))]
	number := 1 + rng.IntN(9)
	trace := fmt.Sprintf("%016x", 1+rng.IntN(9))
	return strings.NewReplacer("%n", fmt.Sprint(number), "%t", trace).Replace(text)
}
