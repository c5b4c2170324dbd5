package tests

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestReload: SIGHUP under load moves all links, more than once; runs, calls and
// numbers of notices go on, in both protocols.
func TestReload(t *testing.T) {
	t.Parallel()
	listed := func() (net.PacketConn, func()) {
		udp, err := net.ListenPacket("udp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { udp.Close() })
		return udp, func() {
			b := make([]byte, 100)
			udp.SetReadDeadline(time.Now().Add(patience))
			n, _, err := udp.ReadFrom(b)
			require.NoError(t, err)
			require.Equal(t, "PULSE n3 open", string(b[:n]))
		}
	}
	udp, report := listed()
	w := newWorld(t, func(cfg object) { cfg["lookup"] = udp.LocalAddr().String() })
	report()
	old := w.records
	for name, dial := range protocols {
		c := &callers{w: w, dial: dial, count: map[string]int{}}
		c.send("balance-view", "hold")
		c.send("nom-submit", "hold")
		await(t, "two runs", func() bool { return w.engine.held() == 2 })
		w.records.set("silence")
		inCall := newTrace()
		got := w.later("nom-submit", inCall, "call")
		was := w.records
		await(t, "a call", func() bool { return was.heardOf("OP "+inCall) == 1 })
		w.records = newRecords(t)
		attached := w.engine.heardOf("ATTACH")
		udp, report = listed()
		line := w.reload(func(cfg object) {
			cfg["engine"], cfg["records"], cfg["lookup"] = w.engine.listen(t), w.records.addr, udp.LocalAddr().String()
		})
		assert.Contains(t, line, `"changed":["engine","records","lookup"],"at_next_start":[]`, name)
		await(t, "the link to move", func() bool { return w.engine.heardOf("ATTACH") == attached+1 })
		report()
		c.send("nom-submit", "call") // below, at the new address
		c.settled(1)
		w.engine.release()
		c.settled(3)
		assert.Equal(t, map[string]int{"served": 3}, c.outcomes(), name)
		assert.Equal(t, 1, w.records.heardOf("OP"), name)
		was.answer("late")
		assert.Equal(t, answer{200, map[string]string{"Status": "200", "Content-Type": "application/octet-stream"}, "late"}, <-got,
			"the call at the old address is waited for")
	}
	assert.NotSame(t, old, w.records)
	w.engine.mu.Lock()
	for trace, n := range w.engine.runs {
		assert.Equal(t, 1, n, "runs of %s", trace)
	}
	w.engine.mu.Unlock()
	assert.Equal(t, 1, w.engine.heardOf("ATTACH 0"), "numbers of notices go on")
	w.drain()
}

// TestReloadBadFile: one line names the field, and the old configuration stays.
func TestReloadBadFile(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	for _, tt := range []struct {
		want  string
		field string
		value any
	}{
		{"engine: ", "engine", "nowhere"}, {"stop_ms: ", "stop_ms", 3}, {"limits", "limits", "none"},
		{"settings: family_info.halt", "settings", object{"family_info": object{"halt": "stop"}}},
	} {
		good := w.cfg[tt.field]
		line := w.reload(func(cfg object) { cfg[tt.field] = tt.value })
		assert.Contains(t, line, `"level":"error"`)
		assert.Contains(t, line, `"msg":"configuration rejected","name":"n3","error":"`+tt.want)
		w.cfg[tt.field] = good
		assert.Equal(t, 200, w.status("nom-submit", "ok"), tt.want)
	}
	line := w.reload(func(cfg object) { cfg["stop_ms"], cfg["seed"], cfg["listen"] = 3900, "1", freePort(t) })
	assert.Contains(t, line, `"changed":["stop_ms"],"at_next_start":["listen"]`)
	assert.Equal(t, 200, w.status("nom-submit", "ok"))
	w.drain()
}

// TestReloadAtOnce: SIGHUP ends the program at no time, not while it starts, nor
// while it drains.
func TestReloadAtOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	c := &callers{w: w, dial: protocols["mixed"], count: map[string]int{}}
	c.send("nom-submit", "hold")
	await(t, "a run", func() bool { return w.engine.held() == 1 })
	for range 20 {
		require.NoError(t, w.cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, w.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, w.cmd.Process.Signal(syscall.SIGHUP))
	w.engine.release()
	c.settled(1)
	w.ended()
	assert.Equal(t, map[string]int{"served": 1}, c.outcomes())
}

// TestReloadUpstreams: AJP upstreams are exchanged under load too.
func TestReloadUpstreams(t *testing.T) {
	t.Parallel()
	first, second := newUpstream(t), newUpstream(t)
	s := start(t, func(cfg object) { cfg["ajp"].(object)["upstreams"] = []string{first.addr} })
	s.ready()
	w := &world{service: s}
	assert.Equal(t, 200, w.status("nom-submit", "ok"))
	line := w.reload(func(cfg object) { cfg["ajp"].(object)["upstreams"] = []string{second.addr} })
	assert.Contains(t, line, `"changed":["ajp.upstreams"]`)
	await(t, "a run at the new address", func() bool {
		assert.Equal(t, 200, w.status("nom-submit", "ok"))
		second.mu.Lock()
		defer second.mu.Unlock()
		return len(second.seen) > 0
	})
	n := len(first.seen)
	assert.Equal(t, 200, w.status("nom-submit", "ok"))
	assert.Len(t, first.seen, n)
}
