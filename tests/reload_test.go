package tests

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"os"
	"strconv"
	"strings"
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

// TestReloadLacksKey: a file that lacks a key of the configuration in effect is rejected as a whole, as one that is empty or
// cut short. Otherwise the key's default takes effect: without records, all calls would fail.
func TestReloadLacksKey(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) {
		cfg["lookup"] = freeAddr(t)
		cfg["settings"].(object)["classes"].([]object)[3]["aim_stretch"] = 1
	})
	valid, err := os.ReadFile(w.configPath)
	require.NoError(t, err)
	lost := w.records
	requireCallsServed := func(what string) {
		t.Helper()
		assert.Equal(t, 200, w.responseStatus("nom-submit", "call"), what)
	}
	requireCallsServed("before")
	without := func(path ...string) []byte { return withoutKey(t, valid, path...) }
	for want, text := range map[string][]byte{
		"records: ":                             without("records"),
		"lookup: ":                              without("lookup"),
		"name: ":                                without("name"),
		"listen: ":                              without("listen"),
		"engine: ":                              without("engine"),
		"seed: ":                                without("seed"),
		"stop_ms: ":                             without("stop_ms"),
		"limits.cores: ":                        without("limits", "cores"),
		"limits.":                               without("limits"),
		"settings: ":                            without("settings"),
		"settings.bounds.retry_after: ":         without("settings", "bounds", "retry_after"),
		"settings.family_info.class_calls: ":    without("settings", "family_info", "class_calls"),
		"settings.classes.value: ":              without("settings", "classes", "1", "value"),
		"ajp: ":                                 without("ajp"),
		"ajp.secret: ":                          without("ajp", "secret"),
		"unexpected end of JSON input":          nil,
		"unexpected end of JSON input, in half": valid[:len(valid)/2],
	} {
		want, _, _ = strings.Cut(want, ",")
		line := w.reloadText(text)
		assert.Contains(t, line, `"msg":"configuration rejected"`, want)
		assert.Contains(t, line, want)
		requireCallsServed(want)
	}
	for what, key := range map[string]string{"null": "null", "empty text": `""`} {
		line := w.reloadText(bytes.Replace(valid, []byte(`"`+lost.addr+`"`), []byte(key), 1))
		assert.Contains(t, line, `"msg":"configuration rejected","name":"n3","error":"records: missing`, what)
		requireCallsServed(what)
	}

	w.records = newRecordsStandin(t)
	line := w.reloadConfig(func(cfg object) {
		cfg["records"] = w.records.addr
		classes := cfg["settings"].(object)["classes"].([]object)
		delete(classes[3], "aim_stretch") // a key that may be absent
		added := maps.Clone(classes[0])
		added["name"] = "added"
		cfg["settings"].(object)["classes"] = append(classes[1:], added) // a class is dropped, and one added
		cfg["settings"].(object)["tenants"] = []object{{"name": "a key that is new", "allowance_per_s": 1}}
	})
	assert.Contains(t, line, `"changed":["records"],"at_next_start":["settings"]`)
	requireCallsServed("complete file")
	assert.Equal(t, 1, w.records.countReceived("OP"), "the complete file must take effect")

	line = w.reloadText(without("records"))
	assert.Contains(t, line, "records: missing", "also after a reload")
	requireCallsServed("after a reload")
	w.terminate()
}

// TestReloadReplacesEngine: a file with upstreams in place of the engine is complete; it takes effect at the next start.
func TestReloadReplacesEngine(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	upstream := newUpstreamStandin(t)
	line := w.reloadConfig(func(cfg object) {
		delete(cfg, "engine")
		cfg["ajp"].(object)["upstreams"] = []string{upstream.addr}
	})
	assert.Contains(t, line, `"at_next_start":["engine","ajp.upstreams"]`)
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	line = w.reloadConfig(func(cfg object) {
		cfg["engine"] = w.engine.addr
		delete(cfg["ajp"].(object), "upstreams")
	})
	assert.Contains(t, line, `"msg":"configuration reloaded"`)
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	w.terminate()
}

// TestStartWithoutRecords: a service may have no records service, as those of the last tier; if its classes make calls, a
// line at the start says that these will fail.
func TestStartWithoutRecords(t *testing.T) {
	t.Parallel()
	for dependency, warned := range map[string]bool{"tier": true, "none": false} {
		e := newEngineStandin(t)
		s := startService(t, func(cfg object) {
			cfg["engine"] = e.addr
			cfg["settings"].(object)["family_info"].(object)["below"] = dependency
		})
		s.awaitReady()
		w := &testbed{service: s, engine: e}
		assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
		want := `"msg":"no records service configured, calls will fail","name":"n3","classes":["balance-view","nom-update","nom-submit"]`
		assert.Equal(t, warned, strings.Contains(s.log(), want), dependency)
		s.terminate()
	}
}

// withoutKey returns a JSON document without the key at a path; a number in the path is the index of an array's element.
func withoutKey(t *testing.T, document []byte, path ...string) []byte {
	var root any
	require.NoError(t, json.Unmarshal(document, &root))
	parent := root
	for _, step := range path[:len(path)-1] {
		if elements, ok := parent.([]any); ok {
			index, err := strconv.Atoi(step)
			require.NoError(t, err)
			parent = elements[index]
			continue
		}
		parent = parent.(object)[step]
	}
	last := path[len(path)-1]
	require.Contains(t, parent, last)
	delete(parent.(object), last)
	changed, err := json.Marshal(root)
	require.NoError(t, err)
	return changed
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
