package tests

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendAsync sends a request and returns a channel for its response.
func (w *testbed) sendAsync(class, trace, body string) <-chan response {
	got := make(chan response, 1)
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	go func() {
		a, _ := c.do("/call/"+class, requestHeaders(trace), []byte(body))
		got <- a
	}()
	return got
}

// TestEngineLinkLost: a new link resumes after the last notice that was read and skips repeated ones. It
// repeats RUN if no missed notice mentions the run. A run of an at-most-once class is not repeated: its request
// waits until its deadline and then fails.
func TestEngineLinkLost(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, withSubmitDeadline(3*time.Second))
	e := w.engine
	running := newTraceID()
	got := w.sendAsync("nom-submit", running, "hold")
	await(t, "a run to start", func() bool { return e.heldRuns() == 1 })
	e.mu.Lock()
	e.ignoresCommands = true // commands sent from here on are lost
	e.mu.Unlock()
	cycleTrace, viewTrace := newTraceID(), newTraceID() // both requests are of idempotent classes
	cycleResult, viewResult := w.sendAsync("cycle-check", cycleTrace, "ok"), w.sendAsync("balance-view", viewTrace, "ok")
	_ = cycleResult
	submit := newTraceID()
	submitResult := w.sendAsync("nom-submit", submit, "ok")
	await(t, "three commands", func() bool { return e.countReceived("RUN") == 4 })
	e.mu.Lock()
	e.ignoresCommands = false
	n := len(e.notices)
	e.notices = append(e.notices, fmt.Sprintf("NOTE %d hello\r\n", n+1),
		fmt.Sprintf("DONE %d %s OK 5 4\r\nlate\r\n", n+2, running)) // sent while there is no link
	e.heldTraces = nil
	e.conn.Close()
	e.mu.Unlock()
	assert.Equal(t, "late", (<-got).body, "result from the missed notice")
	assert.Equal(t, "result of "+viewTrace, (<-viewResult).body)
	assert.Equal(t, 200, (<-cycleResult).status)
	await(t, "ATTACH", func() bool { return e.countReceived("ATTACH") == 2 })
	e.mu.Lock()
	last := e.notices[len(e.notices)-1]
	e.conn.Write([]byte(last)) // a notice that was already read
	e.mu.Unlock()
	assert.Equal(t, 500, (<-submitResult).status, "RUN may have been read: not rejected")
	assert.Equal(t, 1, e.countReceived("RUN "+submit), "not repeated, because it may have run")
	assert.Zero(t, e.runCounts[submit])
	assert.Equal(t, 2, e.countReceived("RUN "+viewTrace))
	assert.Equal(t, 1, e.countReceived("RUN "+running))
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
}

// TestEngineForgets: if the engine has dropped notices, a run may have completed without a notice. It is
// repeated if its class is idempotent, and otherwise fails at once.
func TestEngineForgets(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	e := w.engine
	submitTrace, viewTrace := newTraceID(), newTraceID()
	submitResult, viewResult := w.sendAsync("nom-submit", submitTrace, "hold"), w.sendAsync("balance-view", viewTrace, "hold")
	await(t, "two runs to start", func() bool { return e.heldRuns() == 2 })
	e.mu.Lock()
	e.heldTraces = nil
	clear(e.active) // both runs have completed
	e.notices = append(e.notices, "", "", fmt.Sprintf("NOTE %d the first that is kept\r\n", len(e.notices)+3))
	e.conn.Close()
	e.mu.Unlock()
	assert.Equal(t, 500, (<-submitResult).status)
	await(t, "the idempotent run to be repeated", func() bool { return e.countReceived("RUN "+viewTrace) == 2 })
	e.releaseHeld()
	assert.Equal(t, "result of "+viewTrace, (<-viewResult).body)
	assert.Equal(t, 1, e.countReceived("RUN "+submitTrace))
}

// TestRunEndsAfterSync: the engine has read RUN, the link is lost, and the run completes after the answer to
// STAT sync, before a repeated RUN could arrive. As its class is at-most-once, it must run once.
func TestRunEndsAfterSync(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	trace := newTraceID()
	got := w.sendAsync("nom-submit", trace, "hold")
	await(t, "the run to start", func() bool { return w.engine.heldRuns() == 1 })
	w.engine.mu.Lock()
	w.engine.releaseAfterSync = true
	w.engine.conn.Close()
	w.engine.mu.Unlock()
	require.Equal(t, 200, (<-got).status)
	// The engine reads commands in order, so a repeated RUN would come before this one.
	require.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	assert.Equal(t, 1, w.engine.runCounts[trace])
}

// TestGaugesAge: old gauges do not show idle cores, so no further runs are started on them.
func TestGaugesAge(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) { cfg["settings"].(object)["family_info"].(object)["cores"] = 2 })
	await(t, "gauges", func() bool {
		w.engine.mu.Lock()
		defer w.engine.mu.Unlock()
		w.engine.ignoresStat = w.engine.answeredStats >= 3 // the engine's last gauges show idle cores
		return w.engine.ignoresStat
	})
	time.Sleep(1500 * time.Millisecond)
	c := &callerGroup{w: w, dial: protocolDialers["mixed"], outcomeCounts: map[string]int{}}
	for i := range 2 {
		c.send("nom-submit", "hold")
		await(t, "a run to start", func() bool { return w.engine.heldRuns() == i+1 })
	}
	for range 3 { // one per tick of the admission controller, which finds both cores in use
		c.send("nom-submit", "hold")
		time.Sleep(300 * time.Millisecond)
	}
	assert.Equal(t, 2, w.engine.heldRuns())
	w.engine.mu.Lock()
	w.engine.ignoresStat = false
	w.engine.mu.Unlock()
	await(t, "more runs once gauges show idle cores", func() bool {
		c.send("nom-submit", "hold")
		time.Sleep(100 * time.Millisecond)
		return w.engine.heldRuns() > 2
	})
}

// TestEngineAway: runs that were never sent wait for the link, whatever their class.
func TestEngineAway(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	w.engine.mu.Lock()
	w.engine.ignoresCommands = true
	w.engine.conn.Close()
	w.engine.mu.Unlock()
	await(t, "a new engine link", func() bool { return w.engine.countReceived("ATTACH") == 2 })
	trace := newTraceID()
	got := w.sendAsync("nom-submit", trace, "ok") // ATTACH is sent, HELLO has not arrived
	time.Sleep(50 * time.Millisecond)
	assert.Zero(t, w.engine.countReceived("RUN"))
	w.engine.mu.Lock()
	w.engine.ignoresCommands = false
	w.engine.mu.Unlock()
	w.engine.handleCommand([]string{"ATTACH", "0"}, nil)
	assert.Equal(t, "result of "+trace, (<-got).body)
}

// TestDoneAfterAbort: a run that completes after its request was answered causes no second response.
func TestDoneAfterAbort(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	trace := newTraceID()
	a, err := c.do("/call/cycle-check", requestHeaders(trace), []byte("silence"))
	require.NoError(t, err)
	assert.Equal(t, 500, a.status)
	w.engine.mu.Lock()
	w.engine.sendNotice("DONE %d "+trace+" OK 5 ", "too late")
	w.engine.mu.Unlock()
	a, err = c.do("/call/cycle-check", requestHeaders(newTraceID()), []byte("ok"))
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(a.body, "result of"), a.body)
	a, err = c.do("/call/nom-submit", requestHeaders(trace), []byte("ok")) // reuses a trace id with another class
	require.NoError(t, err)
	assert.Equal(t, 200, a.status)
	reusedTrace := newTraceID()
	for i, want := range []int{200, 500} {
		a, err = c.do("/call/nom-submit", requestHeaders(reusedTrace), []byte("ok"))
		require.NoError(t, err)
		assert.Equal(t, want, a.status, "attempt %d with the same trace id", i)
	}
	assert.Equal(t, 1, w.engine.countReceived("RUN "+reusedTrace))
}

// TestRecords covers all outcomes of calls, and calls that are abandoned.
func TestRecords(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	a, err := w.sendRequest("nom-submit", "call")
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(a.body, "reply:call of"), a.body)
	for _, reply := range []string{"ERROR", "PAST", "break"} { // these do not show whether the call ran
		w.records.setReply(reply)
		ops := w.records.countReceived("OP")
		assert.Equal(t, 500, w.responseStatus("nom-submit", "call"), reply)
		assert.Equal(t, ops+1, w.records.countReceived("OP"), "%s: called twice", reply)
	}
	w.records.setReply("silence")
	trace := newTraceID()
	got := w.sendAsync("nom-update", trace, "call")
	await(t, "a call to the records service", func() bool { return w.records.countReceived("OP "+trace) == 1 })
	w.engine.mu.Lock()
	w.engine.sendNotice("DONE %d "+trace+" ERROR 5 ", "") // the run ends while its call is in flight
	w.engine.mu.Unlock()
	assert.Equal(t, 500, (<-got).status)
	await(t, "UNOP", func() bool { return w.records.countReceived("UNOP "+trace) == 1 })
	assert.Zero(t, w.engine.countReceived("HALT "+trace))
	w.records.setReply("DONE")
	assert.Equal(t, 200, w.responseStatus("balance-view", "call"))
	conns := w.records.acceptedConns
	assert.Equal(t, 200, w.responseStatus("balance-view", "call"))
	assert.Equal(t, conns, w.records.acceptedConns, "connection reused for the next call")
	assert.Equal(t, 200, w.responseStatus("nom-submit", "call"))
	assert.Equal(t, conns+1, w.records.acceptedConns, "an at-most-once call must not use a cached connection")
	await(t, "the connection to be closed first by the client", func() bool { return w.records.closedCount() == conns+1 })
}

// TestRecordsSpoilt: a malformed reply affects only its own call, which is repeated only if its class is
// idempotent. Replies to unknown calls beside a valid reply are skipped.
func TestRecordsSpoilt(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	w.records.setReply("silence")
	other := newTraceID()
	got := w.sendAsync("nom-submit", other, "call") // this call stays in flight throughout
	await(t, "a call to the records service", func() bool { return w.records.countReceived("OP "+other) == 1 })
	for _, raw := range []string{"\x00\xff\x07 noise\r\n", "%s DONE 3000000000\r\nxxxx", "%s DONE 3\r\nxxxx\r\n",
		"%s DONE -1\r\n", "%s MAYBE\r\n", "%s WAIT 5\r\n", strings.Repeat("x", 2000),
		strings.Repeat("00000000deadbeef ERROR\r\n", 100)} {
		w.records.setReply(raw)
		ops := w.records.countReceived("OP")
		assert.Equal(t, 500, w.responseStatus("nom-submit", "call"), raw)
		assert.Equal(t, ops+1, w.records.countReceived("OP"), raw)
		w.records.setNextReply(raw)
		assert.Equal(t, 200, w.responseStatus("nom-update", "call"), raw)
		assert.Equal(t, ops+3, w.records.countReceived("OP"), raw)
	}
	w.records.setNextReply("silence")
	assert.Equal(t, 200, w.responseStatus("nom-update", "call"), "no reply to the first call")
	w.records.setReply("00000000deadbeef DONE 2\r\nhi\r\n%[1]s DONE 2\r\nok\r\n%[1]s DONE 2\r\nno\r\n")
	for range 3 {
		a, err := w.sendRequest("nom-update", "call")
		require.NoError(t, err)
		assert.Equal(t, []any{200, "ok"}, []any{a.status, a.body})
	}
	w.engine.mu.Lock()
	w.engine.sendNotice("DONE %d "+other+" OK 5 ", "undisturbed")
	w.engine.mu.Unlock()
	assert.Equal(t, "undisturbed", (<-got).body)
}

// TestRecordsAway: a refused connection ends the call at once.
func TestRecordsAway(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) { cfg["records"] = freeAddr(t) })
	assert.Equal(t, 500, w.responseStatus("nom-submit", "call"))
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"))
}

// upstreamStandin stands in for an AJP server that runs requests. The body selects the outcome: "drop" closes
// the connection, "hold" waits until release is closed.
type upstreamStandin struct {
	addr      string
	release   chan struct{}
	mu        sync.Mutex
	runCounts map[string]int // by trace id
}

func (u *upstreamStandin) runCount(trace string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runCounts[trace]
}

func newUpstreamStandin(t *testing.T) *upstreamStandin {
	u := &upstreamStandin{runCounts: map[string]int{}, release: make(chan struct{})}
	u.addr = startTCPServer(t, func(raw net.Conn) {
		defer raw.Close()
		raw.SetDeadline(time.Now().Add(2 * awaitTimeout))
		c := &ajpConn{Conn: raw}
		c.r = bufio.NewReader(raw)
		for u.servePacket(c) {
		}
	})
	return u
}

// servePacket handles one packet and reports whether the connection stays open.
func (u *upstreamStandin) servePacket(c *ajpConn) bool {
	p, err := c.readPacket()
	if err != nil {
		return false
	}
	if p[0] == 10 {
		c.Write(ajpPacket("AB", []byte{9}))
		return true
	}
	i := strings.Index(string(p), "trace-id") + len("trace-id") + 3
	trace := string(p[i : i+16])
	u.mu.Lock()
	u.runCounts[trace]++
	u.mu.Unlock()
	p, err = c.readPacket()
	if err != nil {
		return false
	}
	body := string(p[2:])
	switch body {
	case "drop":
		return false
	case "hold":
		<-u.release
	}
	c.Write(ajpPacket("AB", []byte{6, 0, 100})) // GET_BODY_CHUNK: asks for more of the body
	if p, err = c.readPacket(); err != nil || len(p) > 0 {
		return false
	}
	status := map[string]byte{"ok": 200, "hold": 200, "error": 250}[body]
	result := "result of " + trace
	c.Write(ajpPacket("AB", append(appendAJPString([]byte{4, 0, status}, "OK"), 0, 0)))
	c.Write(ajpPacket("AB", append(append([]byte{3, 0, byte(len(result))}, result...), 0)))
	c.Write(ajpPacket("AB", []byte{5, 1}))
	return true
}

// TestAJPUpstreams: AJP servers run the requests of callers in both protocols, and a nom-submit is never
// repeated after a lost connection.
func TestAJPUpstreams(t *testing.T) {
	t.Parallel()
	up := newUpstreamStandin(t)
	s := startService(t, func(cfg object) {
		cfg["ajp"].(object)["upstreams"] = []string{freeAddr(t), up.addr} // one upstream is not running
	})
	s.awaitReady()
	w := &testbed{service: s}
	for name, dial := range protocolDialers {
		c := &callerGroup{w: w, dial: dial, outcomeCounts: map[string]int{}}
		for _, body := range []string{"ok", "error", "drop"} {
			for _, class := range classNames {
				c.send(class, body)
				c.awaitOutcomes(c.sent)
			}
		}
		assert.Equal(t, map[string]int{"served": 4, "failed": 8}, c.outcomes(), name)
	}
	submitTrace := newTraceID()
	assert.Equal(t, 500, (<-w.sendAsync("nom-submit", submitTrace, "drop")).status)
	viewTrace := newTraceID()
	assert.Equal(t, 500, (<-w.sendAsync("balance-view", viewTrace, "drop")).status)
	s.terminate()
	assert.Equal(t, 1, up.runCounts[submitTrace])
	assert.Equal(t, 2, up.runCounts[viewTrace], "an idempotent run is repeated")
}
