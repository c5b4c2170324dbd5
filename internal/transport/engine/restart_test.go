package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
)

// TestEngineRestarts checks that the session accepts the notifications of a restarted engine, which numbers
// them from 1 again. A run of the earlier engine process is sent again if it is idempotent, and is given
// up otherwise.
func TestEngineRestarts(t *testing.T) {
	f := newSessionFixture(t, false)
	c := f.connectEngine(0, "HELLO WARM 20000", 1)
	f.engineSends(c, "STATS sync 1\r\nNOTE 1 first\r\nNOTE 2 second\r\n", 0)
	f.session.Run(exchange.Job{TraceID: traceID1, Class: "nom-submit", Timeout: time.Minute})
	f.engineReads(c, "RUN "+traceID1+" nom-submit 0\r\n\r\n")
	f.session.Run(exchange.Job{TraceID: traceID2, Class: "balance-view", Timeout: time.Minute, Idempotent: true})
	f.engineReads(c, "RUN "+traceID2+" balance-view 0\r\n\r\n")
	f.closeFromEngine(c)

	c = f.connectEngine(2, "HELLO COLD 300", 0)
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: traceID1, Stage: exchange.RunEnded, Result: exchange.ResultError}},
		f.engineSends(c, "STATS sync 1\r\n", 1))
	got := f.engineSends(c, "DONE 1 "+traceID2+" OK 0 0\r\n\r\n", 1)
	require.Equal(t, exchange.Outcome{TraceID: traceID2, Stage: exchange.RunEnded, Result: exchange.ResultOK, Body: []byte{}}, got[0])
}
