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
	"oxbowbridge/internal/testrig/protocolfuzz"
)

const callCount = 8

// unexpectedMessages are valid and invalid messages from a records service. %t stands for a trace id.
var unexpectedMessages = []string{
	"%t DONE 2\r\nok\r\n", "%t WAIT\r\n", "%t ERROR\r\n", "%t PAST\r\n", "%t EMPTY\r\n", "%t\r\n", "%t DONE\r\n", "%t DONE -1\r\n",
	"%t DONE 99\r\nshort", "%t WHAT\r\n", "DONE\r\n", "\r\n", "\x00\xff\r\n", "%t WA", "%t WAIT 5\r\n",
}

// TestRecordsUnexpectedMessages checks that a records service does not crash the process when it sends
// messages that the protocol does not allow at that time, such as a reply with a valid trace id before the
// call. Each call ends at most once, and a later call to a correct service succeeds.
func TestRecordsUnexpectedMessages(t *testing.T) {
	for seed := range uint64(protocolfuzz.SeedCount) {
		r := newClientFixture(t, 4)
		goodAddr := r.client.addr
		badListener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { badListener.Close() })
		go protocolfuzz.SendRandomMessages(badListener, seed, math.MaxInt, randomMessage)
		r.client.SetAddress(badListener.Addr().String())
		for n := range callCount {
			r.client.Call(exchange.Job{TraceID: testTraceID(n), Timeout: 300 * time.Millisecond, Idempotent: n%2 == 0, Body: []byte("x")})
			if n%4 == 3 {
				r.client.Cancel(testTraceID(n))
			}
			r.handleEvents()
		}
		cancelAt := time.Now().Add(100 * time.Millisecond)
		r.waitFor("all calls to end", func() bool {
			r.client.Timers.RunDue(r.client.Now())
			if time.Now().After(cancelAt) { // as the dispatcher cancels calls without a reply
				for n := range callCount {
					r.client.Cancel(testTraceID(n))
				}
			}
			return len(r.client.calls) == 0
		})
		r.handleEvents() // store the last outcomes
		outcomeCounts := map[string]int{}
		for _, o := range r.outcomes {
			outcomeCounts[o.TraceID]++
			require.LessOrEqual(t, outcomeCounts[o.TraceID], 1, "seed %d, %s", seed, o.TraceID)
		}
		r.client.SetAddress(goodAddr)
		r.outcomes = nil
		r.client.Call(exchange.Job{TraceID: testTraceID(9), Timeout: time.Minute, Body: []byte("x")})
		r.nextCall().sendReply(t)
		r.waitFor("the outcome of the last call", func() bool { return len(r.outcomes) == 1 })
		require.Equal(t, exchange.ResultOK, r.outcomes[0].Result, "seed %d", seed)
	}
}

// randomMessage returns a random element of unexpectedMessages with its placeholder filled in.
func randomMessage(rng *rand.Rand) string {
	text := unexpectedMessages[rng.IntN(len(unexpectedMessages))]
	return strings.ReplaceAll(text, "%t", testTraceID(rng.IntN(callCount)))
}
