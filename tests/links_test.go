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

// later sends a request whose status comes when it comes.
func (w *world) later(class, trace, body string) <-chan answer {
	got := make(chan answer, 1)
	c, err := dialFCGI(w.fcgi)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	go func() {
		a, _ := c.do("/call/"+class, fieldsOf(trace), []byte(body))
		got <- a
	}()
	return got
}

// TestEngineLinkLost: the link attaches again from the last notice, reads none
// twice, and repeats RUN once no missed notice tells of the run, unless its class may run once
// only: such a run is awaited until its request is due, and then fails.
func TestEngineLinkLost(t *testing.T) {
	t.Parallel()
	w := newWorld(t, submitDueIn(3*time.Second))
	e := w.engine
	running := newTrace()
	got := w.later("nom-submit", running, "hold")
	await(t, "a run", func() bool { return e.held() == 1 })
	e.mu.Lock()
	e.deaf = true // what is sent now is lost
	e.mu.Unlock()
	unsafe, safe := newTrace(), newTrace() // both of classes that may run more than once
	lost, again := w.later("cycle-check", unsafe, "ok"), w.later("balance-view", safe, "ok")
	_ = lost
	submit := newTrace()
	never := w.later("nom-submit", submit, "ok")
	await(t, "three commands", func() bool { return e.heardOf("RUN") == 4 })
	e.mu.Lock()
	e.deaf = false
	n := len(e.notices)
	e.notices = append(e.notices, fmt.Sprintf("NOTE %d hello\r\n", n+1),
		fmt.Sprintf("DONE %d %s OK 5 4\r\nlate\r\n", n+2, running)) // while no link is there
	e.holds = nil
	e.conn.Close()
	e.mu.Unlock()
	assert.Equal(t, "late", (<-got).body, "the missed notice")
	assert.Equal(t, "result of "+safe, (<-again).body)
	assert.Equal(t, 200, (<-lost).status)
	await(t, "ATTACH", func() bool { return e.heardOf("ATTACH") == 2 })
	e.mu.Lock()
	last := e.notices[len(e.notices)-1]
	e.conn.Write([]byte(last)) // seen already
	e.mu.Unlock()
	assert.Equal(t, 500, (<-never).status, "RUN may have been read: not rejected")
	assert.Equal(t, 1, e.heardOf("RUN "+submit), "not repeated: it may have run")
	assert.Zero(t, e.runs[submit])
	assert.Equal(t, 2, e.heardOf("RUN "+safe))
	assert.Equal(t, 1, e.heardOf("RUN "+running))
	assert.Equal(t, 200, w.status("nom-submit", "ok"))
}

// TestEngineForgets: where the engine has dropped notices, a run may have ended
// unheard. It is repeated only if that is safe, and given up at once if not.
func TestEngineForgets(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	e := w.engine
	unsafe, safe := newTrace(), newTrace()
	lost, again := w.later("nom-submit", unsafe, "hold"), w.later("balance-view", safe, "hold")
	await(t, "two runs", func() bool { return e.held() == 2 })
	e.mu.Lock()
	e.holds = nil
	clear(e.active) // both ended
	e.notices = append(e.notices, "", "", fmt.Sprintf("NOTE %d the first that is kept\r\n", len(e.notices)+3))
	e.conn.Close()
	e.mu.Unlock()
	assert.Equal(t, 500, (<-lost).status)
	await(t, "the safe one again", func() bool { return e.heardOf("RUN "+safe) == 2 })
	e.release()
	assert.Equal(t, "result of "+safe, (<-again).body)
	assert.Equal(t, 1, e.heardOf("RUN "+unsafe))
}

// TestRunEndsAfterSync: a run that the engine has read and that ends between its answer to STAT
// sync and the repeated RUN runs once, as its class is at most once.
func TestRunEndsAfterSync(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	trace := newTrace()
	got := w.later("nom-submit", trace, "hold")
	await(t, "the run", func() bool { return w.engine.held() == 1 })
	w.engine.mu.Lock()
	w.engine.endsNow = true
	w.engine.conn.Close()
	w.engine.mu.Unlock()
	require.Equal(t, 200, (<-got).status)
	// The commands of a connection are read in order: a repeated RUN comes before this one.
	require.Equal(t, 200, w.status("nom-submit", "ok"))
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	assert.Equal(t, 1, w.engine.runs[trace])
}

// TestGaugesAge: gauges that came long ago say nothing of the cores: no more runs
// are put on the cores, whatever idled then.
func TestGaugesAge(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(cfg object) { cfg["settings"].(object)["family_info"].(object)["cores"] = 2 })
	await(t, "gauges", func() bool {
		w.engine.mu.Lock()
		defer w.engine.mu.Unlock()
		w.engine.blind = w.engine.gauged >= 3 // idle by its last gauges
		return w.engine.blind
	})
	time.Sleep(1500 * time.Millisecond)
	c := &callers{w: w, dial: protocols["mixed"], count: map[string]int{}}
	for i := range 2 {
		c.send("nom-submit", "hold")
		await(t, "a run", func() bool { return w.engine.held() == i+1 })
	}
	for range 3 { // one a tick of the module, which finds both cores in use
		c.send("nom-submit", "hold")
		time.Sleep(300 * time.Millisecond)
	}
	assert.Equal(t, 2, w.engine.held())
	w.engine.mu.Lock()
	w.engine.blind = false
	w.engine.mu.Unlock()
	await(t, "growth, once the gauges say that cores idle", func() bool {
		c.send("nom-submit", "hold")
		time.Sleep(100 * time.Millisecond)
		return w.engine.held() > 2
	})
}

// TestEngineAway: what was never sent waits for the link, whatever its class.
func TestEngineAway(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	w.engine.mu.Lock()
	w.engine.deaf = true
	w.engine.conn.Close()
	w.engine.mu.Unlock()
	await(t, "a new link", func() bool { return w.engine.heardOf("ATTACH") == 2 })
	trace := newTrace()
	got := w.later("nom-submit", trace, "ok") // attached, and no HELLO yet
	time.Sleep(50 * time.Millisecond)
	assert.Zero(t, w.engine.heardOf("RUN"))
	w.engine.mu.Lock()
	w.engine.deaf = false
	w.engine.mu.Unlock()
	w.engine.command([]string{"ATTACH", "0"}, nil)
	assert.Equal(t, "result of "+trace, (<-got).body)
}

// TestDoneAfterAbort: a run that ends after its answer gives no second one.
func TestDoneAfterAbort(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	c, err := dialFCGI(w.fcgi)
	require.NoError(t, err)
	trace := newTrace()
	a, err := c.do("/call/cycle-check", fieldsOf(trace), []byte("silence"))
	require.NoError(t, err)
	assert.Equal(t, 500, a.status)
	w.engine.mu.Lock()
	w.engine.notice("DONE %d "+trace+" OK 5 ", "too late")
	w.engine.mu.Unlock()
	a, err = c.do("/call/cycle-check", fieldsOf(newTrace()), []byte("ok"))
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(a.body, "result of"), a.body)
	a, err = c.do("/call/nom-submit", fieldsOf(trace), []byte("ok")) // a trace that was used, of another class
	require.NoError(t, err)
	assert.Equal(t, 200, a.status)
	same := newTrace()
	for i, want := range []int{200, 500} {
		a, err = c.do("/call/nom-submit", fieldsOf(same), []byte("ok"))
		require.NoError(t, err)
		assert.Equal(t, want, a.status, "try %d under one name", i)
	}
	assert.Equal(t, 1, w.engine.heardOf("RUN "+same))
}

// TestRecords: each way in which calls end, and calls that are given up.
func TestRecords(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	a, err := w.call("nom-submit", "call")
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(a.body, "reply:call of"), a.body)
	for _, reply := range []string{"ERROR", "PAST", "break"} { // proof of nothing
		w.records.set(reply)
		ops := w.records.heardOf("OP")
		assert.Equal(t, 500, w.status("nom-submit", "call"), reply)
		assert.Equal(t, ops+1, w.records.heardOf("OP"), "%s: called twice", reply)
	}
	w.records.set("silence")
	trace := newTrace()
	got := w.later("nom-update", trace, "call")
	await(t, "a call", func() bool { return w.records.heardOf("OP "+trace) == 1 })
	w.engine.mu.Lock()
	w.engine.notice("DONE %d "+trace+" ERROR 5 ", "") // the run ends under its call
	w.engine.mu.Unlock()
	assert.Equal(t, 500, (<-got).status)
	await(t, "UNOP", func() bool { return w.records.heardOf("UNOP "+trace) == 1 })
	assert.Zero(t, w.engine.heardOf("HALT "+trace))
	w.records.set("DONE")
	assert.Equal(t, 200, w.status("balance-view", "call"))
	conns := w.records.conns
	assert.Equal(t, 200, w.status("balance-view", "call"))
	assert.Equal(t, conns, w.records.conns, "kept for what comes soon")
	assert.Equal(t, 200, w.status("nom-submit", "call"))
	assert.Equal(t, conns+1, w.records.conns, "a kept one may have been forgotten: none for an unsafe call")
	await(t, "closed before the service would", func() bool { return w.records.closed() == conns+1 })
}

// TestRecordsSpoilt: a spoilt reply costs no call but its own, which is made
// again only where that is safe; what else comes with a good reply is skipped.
func TestRecordsSpoilt(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	w.records.set("silence")
	other := newTrace()
	got := w.later("nom-submit", other, "call") // in hand all the while
	await(t, "a call", func() bool { return w.records.heardOf("OP "+other) == 1 })
	for _, raw := range []string{"\x00\xff\x07 noise\r\n", "%s DONE 3000000000\r\nxxxx", "%s DONE 3\r\nxxxx\r\n",
		"%s DONE -1\r\n", "%s MAYBE\r\n", "%s WAIT 5\r\n", strings.Repeat("x", 2000),
		strings.Repeat("00000000deadbeef ERROR\r\n", 100)} {
		w.records.set(raw)
		ops := w.records.heardOf("OP")
		assert.Equal(t, 500, w.status("nom-submit", "call"), raw)
		assert.Equal(t, ops+1, w.records.heardOf("OP"), raw)
		w.records.setOnce(raw)
		assert.Equal(t, 200, w.status("nom-update", "call"), raw)
		assert.Equal(t, ops+3, w.records.heardOf("OP"), raw)
	}
	w.records.setOnce("silence")
	assert.Equal(t, 200, w.status("nom-update", "call"), "a reply that never comes")
	w.records.set("00000000deadbeef DONE 2\r\nhi\r\n%[1]s DONE 2\r\nok\r\n%[1]s DONE 2\r\nno\r\n")
	for range 3 {
		a, err := w.call("nom-update", "call")
		require.NoError(t, err)
		assert.Equal(t, []any{200, "ok"}, []any{a.status, a.body})
	}
	w.engine.mu.Lock()
	w.engine.notice("DONE %d "+other+" OK 5 ", "undisturbed")
	w.engine.mu.Unlock()
	assert.Equal(t, "undisturbed", (<-got).body)
}

// TestRecordsAway: a refused connection ends the call at once.
func TestRecordsAway(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(cfg object) { cfg["records"] = freePort(t) })
	assert.Equal(t, 500, w.status("nom-submit", "call"))
	assert.Equal(t, 200, w.status("nom-submit", "ok"))
}

// upstream stands in for an AJP server that does the work. The body says what
// becomes of a request: "drop" loses the connection under it, "hold" waits for release.
type upstream struct {
	addr    string
	release chan struct{}
	mu      sync.Mutex
	seen    map[string]int // by trace
}

func (u *upstream) timesSeen(trace string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen[trace]
}

func newUpstream(t *testing.T) *upstream {
	u := &upstream{seen: map[string]int{}, release: make(chan struct{})}
	u.addr = server(t, func(raw net.Conn) {
		defer raw.Close()
		raw.SetDeadline(time.Now().Add(2 * patience))
		c := &ajp{Conn: raw}
		c.r = bufio.NewReader(raw)
		for u.serve(c) {
		}
	})
	return u
}

// serve answers one packet and tells whether the connection goes on.
func (u *upstream) serve(c *ajp) bool {
	p, err := c.packet()
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
	u.seen[trace]++
	u.mu.Unlock()
	p, err = c.packet()
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
	c.Write(ajpPacket("AB", []byte{6, 0, 100})) // is there more?
	if p, err = c.packet(); err != nil || len(p) > 0 {
		return false
	}
	status := map[string]byte{"ok": 200, "hold": 200, "error": 250}[body]
	result := "result of " + trace
	c.Write(ajpPacket("AB", append(ajpString([]byte{4, 0, status}, "OK"), 0, 0)))
	c.Write(ajpPacket("AB", append(append([]byte{3, 0, byte(len(result))}, result...), 0)))
	c.Write(ajpPacket("AB", []byte{5, 1}))
	return true
}

// TestAJPUpstreams: AJP servers do the work, for callers of both protocols, and
// no loss of a connection has them do a nom-submit twice.
func TestAJPUpstreams(t *testing.T) {
	t.Parallel()
	up := newUpstream(t)
	s := start(t, func(cfg object) {
		cfg["ajp"].(object)["upstreams"] = []string{freePort(t), up.addr} // one of them is away
	})
	s.ready()
	w := &world{service: s}
	for name, dial := range protocols {
		c := &callers{w: w, dial: dial, count: map[string]int{}}
		for _, body := range []string{"ok", "error", "drop"} {
			for _, class := range classNames {
				c.send(class, body)
				c.settled(c.n)
			}
		}
		assert.Equal(t, map[string]int{"served": 4, "failed": 8}, c.outcomes(), name)
	}
	trace := newTrace()
	assert.Equal(t, 500, (<-w.later("nom-submit", trace, "drop")).status)
	safe := newTrace()
	assert.Equal(t, 500, (<-w.later("balance-view", safe, "drop")).status)
	s.drain()
	assert.Equal(t, 1, up.seen[trace])
	assert.Equal(t, 2, up.seen[safe], "safe to repeat")
}
