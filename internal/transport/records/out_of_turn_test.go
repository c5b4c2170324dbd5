package records

import (
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
	"oxbowbridge/internal/testrig/outofturn"
)

const callCount = 8

// unexpectedMessages are messages of a records service, valid and not; %t is a trace id.
var unexpectedMessages = []string{
	"%t DONE 2\r\nok\r\n", "%t WAIT\r\n", "%t ERROR\r\n", "%t PAST\r\n", "%t EMPTY\r\n", "%t\r\n", "%t DONE\r\n", "%t DONE -1\r\n",
	"%t DONE 99\r\nshort", "%t WHAT\r\n", "DONE\r\n", "\r\n", "\x00\xff\r\n", "%t WA", "%t WAIT 5\r\n",
}

// TestRecordsOutOfTurn: a service that says anything at any moment, under the right trace ids too
// and before it was called, does not end the process: each call ends once, and a later one to a
// good service succeeds.
func TestRecordsOutOfTurn(t *testing.T) {
	for seed := range uint64(outofturn.Seeds) {
		r := newClientFixture(t, 4)
		goodAddr := r.client.addr
		badListener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { badListener.Close() })
		go outofturn.Chatter(badListener, seed, math.MaxInt, randomMessage)
		r.client.SetAddress(badListener.Addr().String())
		for n := range callCount {
			r.client.Call(exchange.Job{TraceID: testTraceID(n), Timeout: 300 * time.Millisecond, Idempotent: n%2 == 0, Body: []byte("x")})
			if n%4 == 3 {
				r.client.Cancel(testTraceID(n))
			}
			r.handleEvents()
		}
		cancelAt := time.Now().Add(100 * time.Millisecond)
		r.waitFor("the calls to be over", func() bool {
			r.client.Timers.RunDue(r.client.Now())
			if time.Now().After(cancelAt) { // the dispatcher gives up what has no reply
				for n := range callCount {
					r.client.Cancel(testTraceID(n))
				}
			}
			return len(r.client.calls) == 0
		})
		r.handleEvents() // the last outcomes
		outcomeCounts := map[string]int{}
		for _, o := range r.outcomes {
			outcomeCounts[o.TraceID]++
			require.LessOrEqual(t, outcomeCounts[o.TraceID], 1, "seed %d, %s", seed, o.TraceID)
		}
		r.client.SetAddress(goodAddr)
		r.outcomes = nil
		r.client.Call(exchange.Job{TraceID: testTraceID(9), Timeout: time.Minute, Body: []byte("x")})
		r.nextCall().sendReply(t)
		r.waitFor("its outcome", func() bool { return len(r.outcomes) == 1 })
		require.Equal(t, exchange.ResultOK, r.outcomes[0].Result, "seed %d", seed)
	}
}

// randomMessage returns a message that nobody has asked for.
func randomMessage(rng *rand.Rand) string {
	text := unexpectedMessages[rng.IntN(len(unexpectedMessages))]
	return strings.ReplaceAll(text, "%t", testTraceID(rng.IntN(callCount)))
}
