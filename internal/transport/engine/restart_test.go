package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/exchange"
)

// TestEngineRestarts: an engine that has restarted under this process numbers its notices from 1
// again, and they are read. A run of the one before is given up if it may happen once only, and
// ordered again otherwise.
func TestEngineRestarts(t *testing.T) {
	f := newFixture(t, false)
	f.link.Open()
	c := f.accept()
	f.hears(c, "ATTACH 0\r\n")
	f.says(c, "HELLO WARM 20000\r\n", 1)
	f.hears(c, "STAT sync\r\n")
	f.says(c, "STATS sync 1\r\nNOTE 1 first\r\nNOTE 2 second\r\n", 0)
	f.link.Run(exchange.Job{TraceID: trace1, Class: "nom-submit", Timeout: time.Minute})
	f.hears(c, "RUN "+trace1+" nom-submit 0\r\n\r\n")
	f.link.Run(exchange.Job{TraceID: trace2, Class: "balance-view", Timeout: time.Minute, Idempotent: true})
	f.hears(c, "RUN "+trace2+" balance-view 0\r\n\r\n")
	require.NoError(t, c.Close())
	f.await("a closed link", func() bool { return f.link.conn == nil })
	f.link.Open()

	c = f.accept()
	f.hears(c, "ATTACH 2\r\n")
	f.says(c, "HELLO COLD 300\r\n", 0)
	f.hears(c, "STAT sync\r\n")
	require.Equal(t, []exchange.Event{exchange.Outcome{TraceID: trace1, Stage: exchange.RunEnded, Result: exchange.ResultError}},
		f.says(c, "STATS sync 1\r\n", 1))
	got := f.says(c, "DONE 1 "+trace2+" OK 0 0\r\n\r\n", 1)
	require.Equal(t, exchange.Outcome{TraceID: trace2, Stage: exchange.RunEnded, Result: exchange.ResultOK, Body: []byte{}}, got[0])
}
