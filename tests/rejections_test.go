package tests

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// rejectionLine is a log line that names the admission rule that rejected requests.
type rejectionLine struct {
	Msg    string `json:"msg"`
	Class  string `json:"class"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// rejectionLines returns the log lines on rejected requests.
func (w *testbed) rejectionLines() (lines []rejectionLine) {
	for text := range strings.Lines(w.log()) {
		var line rejectionLine
		if json.Unmarshal([]byte(text), &line) == nil && line.Msg == "requests rejected by the admission controller" {
			lines = append(lines, line)
		}
	}
	return lines
}

// TestLogNamesRuleOfRejections guards against a log that does not name the rule that rejected a request, and
// against one that many rejected requests fill.
func TestLogNamesRuleOfRejections(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	c := &callerGroup{w: w, dial: protocolDialers["fastcgi"], outcomeCounts: map[string]int{}}
	const capacity = 20
	for i := range capacity {
		c.send("nom-update", "hold")
		await(t, "a run to start", func() bool { return w.engine.heldRuns() == i+1 })
	}

	require.Equal(t, 503, w.responseStatus("balance-view", "ok"))
	first := rejectionLine{Msg: "requests rejected by the admission controller", Class: "balance-view", Reason: "memory_full", Count: 1}
	await(t, "a log line on rejected requests", func() bool { return len(w.rejectionLines()) > 0 })
	require.Equal(t, first, w.rejectionLines()[0])

	const rejectedRequests = 300
	startedAt := time.Now()
	connection, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	defer connection.Close()
	for range rejectedRequests {
		a, err := connection.do("/call/balance-view", requestHeaders(newTraceID()), []byte("ok"))
		require.NoError(t, err)
		require.Equal(t, 503, a.status)
	}
	await(t, "log lines on all rejections", func() bool {
		sum := 0
		for _, line := range w.rejectionLines() {
			sum += line.Count
		}
		return sum == 1+rejectedRequests
	})
	lines := w.rejectionLines()
	intervals := int(time.Since(startedAt)/time.Second) + 1 // intervals of one second that have started
	assert.LessOrEqual(t, len(lines), 1+intervals)
	for _, line := range lines {
		assert.Equal(t, first.Class, line.Class)
		assert.Equal(t, first.Reason, line.Reason)
	}
	w.engine.releaseHeld()
	c.awaitOutcomes(capacity)
	w.terminate()
}
