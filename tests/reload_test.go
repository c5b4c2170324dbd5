package tests

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReload: SIGHUP under load moves all connections to new addresses, more than once. Runs and calls
// continue, and so does the notice sequence, in both protocols.
func TestReload(t *testing.T) {
	t.Parallel()
	newRegistry := func() (net.PacketConn, func()) {
		udp, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { udp.Close() })
		return udp, func() {
			b := make([]byte, 100)
			udp.SetReadDeadline(time.Now().Add(awaitTimeout))
			n, _, err := udp.ReadFrom(b)
			require.NoError(t, err)
			require.Equal(t, "PULSE n3 open", string(b[:n]))
		}
	}
	udp, report := newRegistry()
	w := newTestbed(t, func(cfg object) { cfg["lookup"] = udp.LocalAddr().String() })
	report()
	firstRecords := w.records
	for name, dial := range protocolDialers {
		c := &callerGroup{w: w, dial: dial, outcomeCounts: map[string]int{}}
		c.send("balance-view", "hold")
		c.send("nom-submit", "hold")
		await(t, "two runs to start", func() bool { return w.engine.heldRuns() == 2 })
		w.records.setReply("silence")
		inCall := newTraceID()
		got := w.sendAsync("nom-submit", inCall, "call")
		oldRecords := w.records
		await(t, "a call to the records service", func() bool { return oldRecords.countReceived("OP "+inCall) == 1 })
		w.records = newRecordsStandin(t)
		attached := w.engine.countReceived("ATTACH")
		udp, report = newRegistry()
		line := w.reloadConfig(func(cfg object) {
			cfg["engine"], cfg["records"], cfg["lookup"] = w.engine.addListener(t), w.records.addr, udp.LocalAddr().String()
		})
		assert.Contains(t, line, `"changed":["engine","records","lookup"],"at_next_start":[]`, name)
		await(t, "a link at the new address", func() bool { return w.engine.countReceived("ATTACH") == attached+1 })
		report()
		c.send("nom-submit", "call") // this run's call goes to the new address
		c.awaitOutcomes(1)
		w.engine.releaseHeld()
		c.awaitOutcomes(3)
		assert.Equal(t, map[string]int{"served": 3}, c.outcomes(), name)
		assert.Equal(t, 1, w.records.countReceived("OP"), name)
		oldRecords.replyToLast("late")
		assert.Equal(t, response{200, map[string]string{"Status": "200", "Content-Type": "application/octet-stream"}, "late"}, <-got,
			"the call at the old address is waited for")
	}
	assert.NotSame(t, firstRecords, w.records)
	w.engine.mu.Lock()
	for trace, n := range w.engine.runCounts {
		assert.Equal(t, 1, n, "runs of %s", trace)
	}
	w.engine.mu.Unlock()
	assert.Equal(t, 1, w.engine.countReceived("ATTACH 0"), "the notice sequence continues")
	w.terminate()
}

// TestReloadBadFile: an invalid file is reported in one line that names the field, and the old configuration
// stays in effect.
func TestReloadBadFile(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	for _, tt := range []struct {
		want  string
		field string
		value any
	}{
		{"engine: ", "engine", "nowhere"}, {"stop_ms: ", "stop_ms", 3}, {"limits", "limits", "none"},
		{"settings: family_info.halt", "settings", object{"family_info": object{"halt": "stop"}}},
	} {
		good := w.cfg[tt.field]
		line := w.reloadConfig(func(cfg object) { cfg[tt.field] = tt.value })
		assert.Contains(t, line, `"level":"error"`)
		assert.Contains(t, line, `"msg":"configuration rejected","name":"n3","error":"`+tt.want)
		w.cfg[tt.field] = good
		assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"), tt.want)
	}
	line := w.reloadConfig(func(cfg object) { cfg["stop_ms"], cfg["seed"], cfg["listen"] = 3900, "1", freeAddr(t) })
	assert.Contains(t, line, `"changed":["stop_ms"],"at_next_start":["listen"]`)
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	w.terminate()
}

// TestReloadAtOnce: SIGHUP never ends the program, neither during the start nor during a drain.
func TestReloadAtOnce(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	c := &callerGroup{w: w, dial: protocolDialers["mixed"], outcomeCounts: map[string]int{}}
	c.send("nom-submit", "hold")
	await(t, "a run to start", func() bool { return w.engine.heldRuns() == 1 })
	for range 20 {
		require.NoError(t, w.cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, w.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, w.cmd.Process.Signal(syscall.SIGHUP))
	w.engine.releaseHeld()
	c.awaitOutcomes(1)
	w.requireCleanExit()
	assert.Equal(t, map[string]int{"served": 1}, c.outcomes())
}

// TestReloadUpstreams: a reload replaces AJP upstreams while requests are served.
func TestReloadUpstreams(t *testing.T) {
	t.Parallel()
	first, second := newUpstreamStandin(t), newUpstreamStandin(t)
	s := startService(t, func(cfg object) { cfg["ajp"].(object)["upstreams"] = []string{first.addr} })
	s.awaitReady()
	w := &testbed{service: s}
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	line := w.reloadConfig(func(cfg object) { cfg["ajp"].(object)["upstreams"] = []string{second.addr} })
	assert.Contains(t, line, `"changed":["ajp.upstreams"]`)
	await(t, "a run at the new address", func() bool {
		assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
		second.mu.Lock()
		defer second.mu.Unlock()
		return len(second.runCounts) > 0
	})
	n := len(first.runCounts)
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	assert.Len(t, first.runCounts, n)
}
