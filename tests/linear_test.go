package tests

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig"
)

var faultDuration = flag.Duration("faults", 15*time.Second, "duration of TestLinearizable, TestFaults and TestContenders")

// TestLinearizable: clients read and write at three nodes that are killed and restarted in turn. No read may be
// older than a write acknowledged before the read started, no acknowledged write is lost, and all nodes end
// with equal data. Run it longer with -faults 10m.
func TestLinearizable(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, object{})
	h := testrig.NewHistory()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.RunClient(c.Cluster, id, stop)
		}()
	}
	rng, kills := rand.New(rand.NewPCG(3, 3)), 0
	for h.Elapsed() < *faultDuration || !h.HasEnoughOperations(*faultDuration) {
		time.Sleep(time.Duration(500+rng.IntN(1000)) * time.Millisecond)
		i := rng.IntN(3)
		if kills%2 == 0 {
			i = c.WaitForLeader()
		}
		c.Kill(i)
		kills++
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		c.Start(i)
	}
	close(stop)
	wg.Wait()
	t.Logf("%d kills, %d writes, %d reads, %d writes of unknown outcome, %d reads not answered", kills, h.Writes, h.Reads,
		h.UnknownWrites, h.FailedReads)
	require.True(t, h.Linearizable())
	assert.Greater(t, h.Writes, 50)
	assert.Greater(t, h.Reads, 100)
	c.WaitForEqualData(0, 1, 2)
}

// TestLinearizabilityChecker: the checker must find a stale read, and a compare-and-set whose outcome contradicts the
// key's value.
func TestLinearizabilityChecker(t *testing.T) {
	h := testrig.NewHistory()
	h.Add(0, testrig.RegisterOp{Key: "k", Write: true, Value: "1"}, "", 1, 2)
	h.Add(0, testrig.RegisterOp{Key: "k", Write: true, Value: "2"}, "", 3, 4)
	h.Add(1, testrig.RegisterOp{Key: "k", Write: true, Value: "3"}, "", 5, testrig.NeverReturned)
	h.Add(1, testrig.RegisterOp{Key: "k"}, "2", 5, 6)
	assert.True(t, h.Linearizable())
	set := testrig.RegisterOp{Key: "k", Write: true, Expected: "2", Value: "4"}
	h.Add(2, set, "done", 7, 8)
	h.Add(0, testrig.RegisterOp{Key: "j", Write: true, Value: "4"}, "", 1, 2)
	h.Add(0, testrig.RegisterOp{Key: "k", Write: true, Expected: "4", Value: "5"}, testrig.CompareFailed, 9, 10) // correct if the write of unknown outcome took effect
	assert.True(t, h.Linearizable())
	for _, wrong := range []struct {
		in  testrig.RegisterOp
		out string
	}{{testrig.RegisterOp{Key: "k"}, "1"}, {testrig.RegisterOp{Key: "k", Write: true, Expected: "2", Value: "5"}, "done"},
		{testrig.RegisterOp{Key: "j", Write: true, Expected: "4", Value: "5"}, testrig.CompareFailed}} {
		bad := h.Clone()
		bad.Add(0, wrong.in, wrong.out, 9, 10)
		assert.False(t, bad.Linearizable(), wrong.in)
	}
}

// TestFreshness: a node without a quorum answers no linearizable read, but answers local reads and reads that
// allow enough staleness.
func TestFreshness(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, object{})
	c.Put(0, "note/a", `"one"`)
	for i := range 3 {
		c.WaitForValue(i, "note/a?stale=30s", `"one"`)
	}
	c.Kill(1)
	c.Kill(2)
	for _, path := range []string{"/store/note/a", "/store", "/store/note/a?stale=1ms"} {
		code, text := c.Request(0, "GET", path, "")
		assert.Equal(t, 503, code, "%s: %s", path, text)
	}
	code, text := c.Request(0, "GET", "/store/note/a?stale=10m", "")
	assert.Equal(t, 200, code, text)
	code, text = c.Request(0, "GET", "/store/note/a?local=1", "")
	assert.Equal(t, `200 "one"`, fmt.Sprint(code, " ", text))
	code, _ = c.Request(0, "GET", "/store/note/a?stale=soon", "")
	assert.Equal(t, 400, code)
	c.Start(1)
	c.Start(2)
	c.WaitForValue(0, "note/a", `"one"`)
}

// TestOnce: clients repeat each write at random nodes until it is answered, while nodes are killed. Each write
// must take effect exactly once.
func TestOnce(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, object{})
	const clients, writes = 4, 250
	var wg sync.WaitGroup
	repeats := make([]int, clients)
	for id := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(uint64(id), 5))
			httpClient := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			do := func(method, path, body string, session, number int) (code int, text string) {
				for end := time.Now().Add(2 * awaitTimeout); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
					req, err := http.NewRequest(method, "http://"+c.Peers[rng.IntN(3)].Admin+path, strings.NewReader(body))
					if err != nil {
						panic(err)
					}
					if session != 0 {
						req.Header.Set("Session", fmt.Sprint(session))
						req.Header.Set("Request-Number", fmt.Sprint(number))
					}
					res, err := httpClient.Do(req)
					if err == nil {
						b, _ := io.ReadAll(res.Body)
						res.Body.Close()
						if res.StatusCode != 503 {
							if rng.IntN(4) == 0 && session != 0 {
								repeats[id]++ // as after a lost response
								continue
							}
							return res.StatusCode, string(b)
						}
					}
					repeats[id]++
				}
				return 0, "never answered"
			}
			code, text := do("POST", "/session", "", 0, 0)
			var s struct{ Session int }
			if !assert.Equal(t, 200, code, text) || !assert.NoError(t, json.Unmarshal([]byte(text), &s)) {
				return
			}
			for n := 1; n <= writes; n++ {
				code, text := do("PUT", fmt.Sprint("/store/once/", id), fmt.Sprint(n), s.Session, n)
				if !assert.Equal(t, 204, code, text) {
					return
				}
			}
		}()
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for kills := 0; ; kills++ {
		select {
		case <-done:
			t.Log(kills, "kills,", repeats, "repeats")
			for id := range clients {
				code, text := 0, ""
				await(t, "a definite response", func() bool {
					code, text = c.Request(id%3, "POST", "/txn", fmt.Sprintf(`{"then":[{"do":"get","key":"once/%d"}]}`, id))
					return code == 200
				})
				assert.Contains(t, text, fmt.Sprintf(`"value":%d`, writes))
				await(t, "the key's version", func() bool {
					res, err := http.Get("http://" + c.Peers[id%3].Admin + fmt.Sprint("/store/once/", id))
					if err != nil {
						return false
					}
					res.Body.Close()
					return res.StatusCode == 200 && assert.Equal(t, fmt.Sprint(writes), res.Header.Get("Key-Version"))
				})
			}
			return
		case <-time.After(700 * time.Millisecond):
			if kills < 6 {
				i := c.WaitForLeader()
				c.Kill(i)
				time.Sleep(300 * time.Millisecond)
				c.Start(i)
			}
		}
	}
}

// TestConditions: a conditional write takes effect only at the revision that it names.
func TestConditions(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, object{})
	request := func(i int, method, path, body string, fields ...string) (int, string, string) {
		req, err := http.NewRequest(method, "http://"+c.Peers[i].Admin+path, strings.NewReader(body))
		require.NoError(t, err)
		for f := 0; f < len(fields); f += 2 {
			req.Header.Set(fields[f], fields[f+1])
		}
		res, err := (&http.Client{Timeout: awaitTimeout}).Do(req)
		require.NoError(t, err)
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		return res.StatusCode, res.Header.Get("ETag"), string(text)
	}
	checkConditions := func(i, attempt int) (definite bool) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if err, ok := recovered.(error); !ok || !errors.Is(err, errUnsure) {
				panic(recovered)
			}
		}()
		requestOrPanic := func(method, path, body string, fields ...string) (int, string, string) {
			code, tag, text := request(i, method, path, body, fields...)
			if code == 503 {
				panic(errUnsure) // the leader may have changed; repeat all requests with another key
			}
			return code, tag, text
		}
		name := fmt.Sprintf("%d-%d", i, attempt)
		key := "/store/cas/" + name
		code, tag, text := requestOrPanic("PUT", key, "1", "If-None-Match", "*")
		assert.Equal(t, 204, code, text)
		code, _, _ = requestOrPanic("PUT", key, "2", "If-None-Match", "*")
		assert.Equal(t, 412, code)
		code, got, _ := requestOrPanic("GET", key, "")
		assert.Equal(t, []any{200, tag}, []any{code, got})
		code, next, _ := requestOrPanic("PUT", key, "2", "If-Match", tag)
		assert.Equal(t, 204, code)
		assert.NotEqual(t, tag, next)
		code, _, _ = requestOrPanic("DELETE", key, "", "If-Match", tag)
		assert.Equal(t, 412, code)
		code, _, _ = requestOrPanic("DELETE", key, "", "If-Match", next)
		assert.Equal(t, 204, code)
		code, _, _ = requestOrPanic("PUT", key, "2", "If-Match", "seven")
		assert.Equal(t, 400, code)
		code, _, _ = requestOrPanic("PUT", key, "2", "Session", "99999", "Request-Number", "1")
		assert.Equal(t, 410, code)
		code, _, text = requestOrPanic("POST", "/txn", strings.ReplaceAll(`{"if":[{"key":"cas/N","revision":0}],"then":[{"do":"put","key":"t/N","value":[1]},{"do":"get","key":"t/N"}]}`, "N", name))
		assert.Equal(t, 200, code)
		assert.Contains(t, text, `"held":true`)
		assert.Contains(t, text, `"value":[1]`)
		code, _, _ = requestOrPanic("POST", "/txn", `{"then":[{"do":"swap","key":"x"}]}`)
		assert.Equal(t, 400, code)
		code, _, _ = requestOrPanic("POST", "/txn", `{"nonsense":1}`)
		assert.Equal(t, 400, code)
		return true
	}
	for i := range 3 { // one of the three nodes is the leader
		attempt := 0
		await(t, "definite responses to all requests", func() bool { attempt++; return checkConditions(i, attempt) })
	}
}

var errUnsure = errors.New("a write's outcome is not known")

// TestColdReplica: a node that restarts alone serves no settings from its store and takes none from its log.
// The service starts on the settings of its last start, and catches up when the other nodes return.
func TestColdReplica(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, object{})
	classes := func(name string) string {
		set := settings()
		set["classes"] = []object{{"name": name, "effect": "idempotent", "value": 1, "aim_ns": 1e9, "deadline_ns": 2e9}}
		text, err := json.Marshal(set)
		require.NoError(t, err)
		return string(text)
	}
	c.Put(0, "config/settings", classes("first"))
	c.Kill(2)
	c.Start(2)
	await(t, "a start on the first settings", func() bool { return strings.Contains(c.nodes[2].log(), `"last_good":false`) })
	c.Put(0, "config/settings", classes("second")) // node 2 has these settings in its log but never started on them
	c.WaitForValue(2, "config/settings", classes("second"))
	for i := range 3 {
		c.Kill(i)
	}
	c.Start(2)
	c.nodes[2].awaitReady()
	assert.Contains(t, c.nodes[2].log(), `"last_good":true`)
	w := &testbed{service: c.nodes[2]}
	assert.Equal(t, []int{200, 400}, []int{w.responseStatus("first", "ok"), w.responseStatus("second", "ok")})
	code, text := c.Request(2, "GET", "/store/config/settings", "")
	assert.Equal(t, 503, code, text)
	c.Start(0)
	c.Start(1)
	c.WaitForValue(2, "config/settings", classes("second"))
	for _, set := range []string{classes("second"), `{"classes":[]}`} { // the service would not start on the second value
		c.Put(0, "config/settings", set)
		c.Kill(2)
		c.Start(2)
		c.nodes[2].awaitReady()
		assert.Equal(t, 200, (&testbed{service: c.nodes[2]}).responseStatus("second", "ok"))
	}
	assert.Contains(t, c.nodes[2].log(), "invalid settings in store")
}

// TestStoreCommands: the store commands work at any node, also just after a node was killed.
func TestStoreCommands(t *testing.T) {
	t.Parallel()
	c := newRunningCluster(t, object{})
	nodes := c.client().Nodes
	all := "--nodes=" + strings.Join(nodes, ",")
	_, errs, code := runCLI(t, "", "store", "put", "note/a", `"one"`, all)
	require.Zero(t, code, errs)
	out, errs, code := runCLI(t, "", "store", "get", "note/a", "--nodes="+nodes[1])
	require.Zero(t, code, errs)
	assert.Equal(t, "\"one\"\n", out)
	_, errs, code = runCLI(t, "", "store", "put", "note/a", `"two"`, "--if-revision=0", all)
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "the key has revision")
	c.Kill(c.WaitForLeader())
	out, errs, code = runCLI(t, `{"then":[{"do":"put","key":"note/b","value":2},{"do":"get","key":"note/a"}]}`, "store", "txn", "--json", all)
	require.Zero(t, code, errs)
	assert.Contains(t, out, `"value": "one"`)
	out, errs, code = runCLI(t, "", "store", "get", all)
	require.Zero(t, code, errs)
	assert.Contains(t, out, "note/b")
	out, _, code = runCLI(t, "", "store", "status", all)
	assert.Zero(t, code)
	assert.Contains(t, out, "Leader")
	assert.Contains(t, out, "refused", "error of the stopped node")
	_, _, code = runCLI(t, "", "store", "delete", "note/b", all)
	assert.Zero(t, code)
	_, errs, code = runCLI(t, "", "store", "get", "note/b", all)
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "no such key")
	_, _, code = runCLI(t, "", "store", "put", "note/b", "text", all)
	assert.Equal(t, 2, code)
}
