package tests

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestUpstreamsCannotPause: the settings allow pausing runs, but AJP upstreams cannot pause. A long run must
// not be stopped in favour of others, because it could not resume and its request would fail at its deadline.
func TestUpstreamsCannotPause(t *testing.T) {
	t.Parallel()
	up := newUpstreamStandin(t)
	s := startService(t, func(cfg object) {
		cfg["ajp"].(object)["upstreams"] = []string{up.addr}
		set := cfg["settings"].(object)
		set["counted_by"] = "request"
		set["family_info"].(object)["halt"], set["family_info"].(object)["cores"] = "pause", 1
		set["classes"].([]object)[0]["aim_ns"] = 60e6 // allows six runs of the initially assumed mean duration
	})
	s.awaitReady()
	w := &testbed{service: s}
	long := newTraceID()
	got := w.sendAsync("balance-view", long, "hold")
	await(t, "the run to start", func() bool { return up.runCount(long) == 1 })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.sendAsync("nom-update", newTraceID(), "ok") // an engine would pause the long run for these requests
	}
	close(up.release)
	assert.Equal(t, "result of "+long, (<-got).body)
	assert.Equal(t, 1, up.runCount(long))
}
