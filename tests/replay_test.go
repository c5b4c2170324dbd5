package tests

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// withIdempotencyKeys makes nom-update a deduplicated class with the given window and deadline.
func withIdempotencyKeys(window, deadline time.Duration) func(object) {
	return func(cfg object) {
		k := cfg["settings"].(object)["classes"].([]object)[2]
		k["effect"], k["window_ns"], k["deadline_ns"], k["aim_ns"] = "deduplicated", int64(window), int64(deadline), int64(deadline)
		cfg["settings"].(object)["family_info"].(object)["kb_per_key"] = 2
	}
}

// sendAttempt sends an attempt with an idempotency key on a new connection.
func (w *testbed) sendAttempt(dial func(*service, int) (protocolClient, error), key, body string) (trace string, got <-chan response, c protocolClient) {
	trace = newTraceID()
	fields := requestHeaders(trace)
	fields["Replay-Key"] = key
	c, err := dial(w.service, 0)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	out := make(chan response, 1)
	go func() {
		a, _ := c.do("/call/nom-update", fields, []byte(body))
		out <- a
	}()
	return trace, out, c
}

// TestReplayKey: a request with an idempotency key runs once, and its other attempts get that result: while it
// is queued or runs, after its response, after its caller disconnected, after it failed, and over a lost link
// and a reload, in either protocol.
func TestReplayKey(t *testing.T) {
	t.Parallel()
	for name, dial := range protocolDialers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, withIdempotencyKeys(20*time.Second, 12*time.Second))
			key := func(n int) string { return fmt.Sprintf("%s-%d", name, n) }
			first, got, _ := w.sendAttempt(dial, key(1), "hold")
			await(t, "the run to start", func() bool { return w.engine.heldRuns() == 1 })
			_, second, _ := w.sendAttempt(dial, key(1), "hold") // while the first attempt runs
			lost, _, c := w.sendAttempt(dial, key(2), "hold")
			await(t, "another run to start", func() bool { return w.engine.heldRuns() == 2 })
			c.Close() // the caller disconnects
			w.reloadConfig(func(cfg object) { cfg["engine"] = w.engine.addListener(t) })
			await(t, "a link at the new address", func() bool { return w.engine.countReceived("ATTACH") == 2 })
			w.engine.mu.Lock()
			w.engine.conn.Close()
			w.engine.mu.Unlock()
			await(t, "the engine link to reconnect", func() bool { return w.engine.countReceived("ATTACH") == 3 })
			_, third, _ := w.sendAttempt(dial, key(2), "hold")
			w.engine.releaseHeld()
			for _, a := range []response{<-got, <-second} {
				assert.Equal(t, "result of "+first, a.body)
			}
			assert.Equal(t, "result of "+lost, (<-third).body)
			_, fourth, _ := w.sendAttempt(dial, key(1), "hold") // sent after the response
			assert.Equal(t, "result of "+first, (<-fourth).body)
			assert.Zero(t, w.engine.countReceived("HALT"), "a run with an idempotency key is not stopped")

			_, failed, _ := w.sendAttempt(dial, key(3), "error")
			assert.Equal(t, 500, (<-failed).status)
			_, failed, _ = w.sendAttempt(dial, key(3), "error")
			assert.Equal(t, 500, (<-failed).status, "it ran: neither rejected nor repeated")
			_, other, _ := w.sendAttempt(dial, key(1), "ok")
			assert.Equal(t, 500, (<-other).status, "idempotency key of another request")
			runs := w.engine.countReceived("RUN")
			for _, bad := range []string{"", strings.Repeat("x", 200), "a b", "a,b", "k\x01"} {
				_, a, _ := w.sendAttempt(dial, bad, "ok")
				assert.Equal(t, 400, (<-a).status, "%q", bad)
			}
			assert.Equal(t, runs, w.engine.countReceived("RUN"))
			_, good, _ := w.sendAttempt(dial, key(4), "ok")
			assert.Equal(t, 200, (<-good).status)
			w.engine.mu.Lock()
			defer w.engine.mu.Unlock()
			for trace, n := range w.engine.runCounts {
				assert.Equal(t, 1, n, trace)
			}
			assert.Len(t, w.engine.runCounts, 4)
		})
	}
}

// TestReplayKeyTwiceInOne: an attempt with two idempotency keys is rejected.
func TestReplayKeyTwiceInOne(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, withIdempotencyKeys(20*time.Second, 12*time.Second))
	fields := requestHeaders(newTraceID())
	fields["Replay-Key"], fields["replay_key"] = "one", "two" // both names are the same header on the wire
	a, err := w.sendFCGI("/call/nom-update", fields, "ok")
	require.NoError(t, err)
	assert.Equal(t, 400, a.status)
	c, err := dialAJP(w.ajpAddr)
	require.NoError(t, err)
	fields = requestHeaders(newTraceID())
	fields["Replay-Key"], fields["replay-key"] = "one", "two"
	a, err = c.do("/call/nom-update", fields, []byte("ok"))
	require.NoError(t, err)
	assert.Equal(t, 400, a.status)
	assert.Zero(t, w.engine.countReceived("RUN"))
}

// TestReplayKeyRefused: an attempt that was rejected without running leaves its key unused.
func TestReplayKeyRefused(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) {
		withIdempotencyKeys(20*time.Second, 12*time.Second)(cfg)
		cfg["settings"].(object)["family_info"].(object)["memory_kb"] = 120 // memory for two requests
	})
	dial := protocolDialers["fastcgi"]
	var held []<-chan response
	for i := range 2 {
		_, got, _ := w.sendAttempt(dial, fmt.Sprint("held", i), "hold")
		held = append(held, got)
		await(t, "a run to start", func() bool { return w.engine.heldRuns() == i+1 })
	}
	_, got, _ := w.sendAttempt(dial, "later", "ok")
	assert.Equal(t, 503, (<-got).status)
	w.engine.releaseHeld()
	for _, got := range held {
		assert.Equal(t, 200, (<-got).status)
	}
	await(t, "its next attempt to run", func() bool {
		_, got, _ := w.sendAttempt(dial, "later", "ok")
		return (<-got).status == 200
	})
	assert.Equal(t, 3, len(w.engine.runCounts))
}

// TestReplayKeyWindow: the window starts with the arrival of the attempt that ran. A key can be reused once no
// attempt sent within the window can run any more.
func TestReplayKeyWindow(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, withIdempotencyKeys(300*time.Millisecond, 700*time.Millisecond))
	dial := protocolDialers["fastcgi"]
	startedAt := time.Now()
	first, got, _ := w.sendAttempt(dial, "k", "ok")
	assert.Equal(t, "result of "+first, (<-got).body)
	seen := "result of " + first
	for seen == "result of "+first {
		_, got, _ = w.sendAttempt(dial, "k", "ok")
		seen = (<-got).body
		require.Less(t, time.Since(startedAt), awaitTimeout)
	}
	assert.GreaterOrEqual(t, time.Since(startedAt), time.Second, "key reused before window and deadline have passed")
	assert.Len(t, w.engine.runCounts, 2)
}

// TestReplayKeysFull: a full idempotency table rejects new keys at once and drops none. Within the window the
// admission controller knows the limit and rejects. After it the table rejects, until the last attempts of its
// keys are past their deadline.
func TestReplayKeysFull(t *testing.T) {
	t.Parallel()
	for window, holdOff := range map[time.Duration]string{time.Minute: "", time.Millisecond: "1000"} { // the maximum Retry-After
		t.Run(window.String(), func(t *testing.T) {
			t.Parallel()
			testIdempotencyTableFull(t, window, holdOff)
		})
	}
}

func testIdempotencyTableFull(t *testing.T, window time.Duration, holdOff string) {
	w := newTestbed(t, func(cfg object) {
		withIdempotencyKeys(window, time.Minute)(cfg)
		cfg["limits"].(object)["memory_mb"] = 32
		cfg["settings"].(object)["family_info"].(object)["memory_kb"] = 1e6 // high enough that the admission controller does not reject for memory
	})
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	send := func(keys ...int) (out []response) { // sends the requests at once on one connection
		for i, key := range keys {
			fields := requestHeaders(newTraceID())
			fields["Replay-Key"] = "key-" + strconv.Itoa(key)
			_, err := c.Write(fcgiRequest(uint16(i+1), "/call/nom-update", fields, []byte("big")))
			require.NoError(t, err)
		}
		for range keys {
			_, a, _, err := c.readResponse()
			require.NoError(t, err)
			out = append(out, a)
		}
		return out
	}
	served := 0
	for n := 0; ; n += 16 {
		require.Less(t, n, 1<<14)
		keys := make([]int, 16)
		for i := range keys {
			keys[i] = n + i
		}
		refused := slices.DeleteFunc(send(keys...), func(a response) bool { return a.status == 200 })
		served += 16 - len(refused)
		if len(refused) > 0 {
			assert.Equal(t, 503, refused[0].status)
			assert.NotEmpty(t, refused[0].headers["Hold-Off-Ms"])
			if holdOff != "" {
				assert.Equal(t, holdOff, refused[0].headers["Hold-Off-Ms"])
			}
			assert.Equal(t, holdOff != "", strings.Contains(w.log(), "idempotency table full"), "rejected by the idempotency table")
			break
		}
	}
	runs := w.engine.countReceived("RUN")
	assert.Equal(t, served, runs)
	for _, a := range send(0, 1, runs/2, runs-20) {
		assert.Equal(t, 200, a.status)
	}
	assert.Equal(t, runs, w.engine.countReceived("RUN"), "no key was dropped")
	assert.Equal(t, 200, w.responseStatus("nom-submit", "ok"), "other classes are served")
}

// TestReplayKeyDrain: during a drain, other attempts still get the result of the one that ran.
func TestReplayKeyDrain(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) {
		withIdempotencyKeys(20*time.Second, 12*time.Second)(cfg)
		cfg["settings"].(object)["safety"].(object)["drain_grace_ns"] = 1
	})
	dial := protocolDialers["fastcgi"]
	trace, got, _ := w.sendAttempt(dial, "k", "hold")
	await(t, "the run to start", func() bool { return w.engine.heldRuns() == 1 })
	fields := requestHeaders(newTraceID())
	fields["Replay-Key"], fields["Accepted-At-Ms"] = "k", strconv.FormatInt(time.Now().Add(30*time.Second).UnixMilli(), 10)
	duplicate := fcgiRequest(1, "/call/nom-update", fields, []byte("hold"))
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write(duplicate[:8]) // the connection is open when the drain starts
	require.NoError(t, err)
	idleConn, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	defer idleConn.Close()
	_, err = idleConn.do("/ping", nil, nil)
	require.NoError(t, err)
	require.NoError(t, w.Signal(syscall.SIGTERM))
	requireOrderlyClose(t, idleConn, idleConn.r) // after the drain grace period
	_, err = c.Write(duplicate[8:])
	require.NoError(t, err)
	_, duplicateResult, _, err := func() (uint16, response, byte, error) {
		await(t, "the second attempt to be read", func() bool { w.engine.releaseHeld(); return len(got) == 1 })
		return c.readResponse()
	}()
	require.NoError(t, err)
	assert.Equal(t, "result of "+trace, (<-got).body)
	assert.Equal(t, "result of "+trace, duplicateResult.body)
	w.requireCleanExit()
	assert.Equal(t, 1, w.engine.countReceived("RUN"))
}

// TestReplayKeyRace: concurrent attempts on many connections with few keys result in one run per key, and all
// attempts with a key get its result.
func TestReplayKeyRace(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, withIdempotencyKeys(20*time.Second, 12*time.Second))
	var mu sync.Mutex
	results := map[string]map[string]int{}
	var wg sync.WaitGroup
	for range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dialFCGI(w.fcgiAddr)
			if !assert.NoError(t, err) {
				return
			}
			defer c.Close()
			for n := range 20 {
				key := fmt.Sprint("race", n)
				fields := requestHeaders(newTraceID())
				fields["Replay-Key"] = key
				a, err := c.do("/call/nom-update", fields, []byte("ok"))
				if !assert.NoError(t, err) {
					return
				}
				mu.Lock()
				if results[key] == nil {
					results[key] = map[string]int{}
				}
				results[key][a.body]++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	for key, got := range results {
		assert.Len(t, got, 1, "%s: %v", key, got)
	}
	assert.Len(t, w.engine.runCounts, 20)
}
