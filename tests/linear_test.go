package tests

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var faults = flag.Duration("faults", 10*time.Second, "how long TestLinearizable kills nodes")

// step is a read or a write of one key, and what came of it.
type step struct {
	key   string
	write bool
	value string // written
}

// register is a key that is written and read; each key is checked for itself.
var register = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, o := range h {
			keys[o.Input.(step).key] = append(keys[o.Input.(step).key], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range keys {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if in := input.(step); in.write {
			return true, in.value
		}
		return output == state, state
	},
}

// history is what clients did, each on the clock of this process.
type history struct {
	mu    sync.Mutex
	ops   []porcupine.Operation
	began time.Time
	count struct{ writes, reads, unknown, refused int }
}

const never = int64(1) << 60 // when an operation of unknown outcome ends

func (h *history) add(client int, in step, out string, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// known leaves out writes of unknown outcome that nobody read: values are written
// once, so they can't matter, and would cost the checker much.
func (h *history) known() []porcupine.Operation {
	read := map[string]bool{}
	for _, o := range h.ops {
		if !o.Input.(step).write {
			read[o.Output.(string)] = true
		}
	}
	var ops []porcupine.Operation
	for _, o := range h.ops {
		if in := o.Input.(step); o.Return != never || read[in.value] {
			ops = append(ops, o)
		}
	}
	return ops
}

// client reads and writes at random nodes until told to stop.
func (h *history) client(c *cluster, id int, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(uint64(id), 7))
	web := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(10)) * time.Millisecond):
		}
		in := step{key: fmt.Sprint("reg/", rng.IntN(5)), write: rng.IntN(3) == 0, value: fmt.Sprintf("%q", fmt.Sprintf("%d-%d", id, n))}
		method := "GET"
		if in.write {
			method = "PUT"
		}
		url := "http://" + c.peers[rng.IntN(len(c.peers))]["admin"].(string) + "/store/" + in.key
		req, err := http.NewRequest(method, url, strings.NewReader(in.value))
		if err != nil {
			panic(err)
		}
		call := time.Since(h.began).Nanoseconds()
		res, err := web.Do(req)
		code, text := 0, ""
		if err == nil {
			b, rerr := io.ReadAll(res.Body)
			res.Body.Close()
			code, text, err = res.StatusCode, strings.TrimSpace(string(b)), rerr
		}
		end := time.Since(h.began).Nanoseconds()
		ok := err == nil && (code == 200 || code == 204 || code == 404 && !in.write)
		switch {
		case ok && in.write:
			h.add(id, in, "", call, end)
		case ok && code == 404:
			h.add(id, in, "", call, end)
		case ok:
			h.add(id, in, text, call, end)
		case in.write:
			h.add(id, in, "", call, never)
		}
		h.mu.Lock()
		switch {
		case ok && in.write:
			h.count.writes++
		case ok:
			h.count.reads++
		case in.write:
			h.count.unknown++
		default:
			h.count.refused++
		}
		h.mu.Unlock()
		if !ok {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// TestLinearizable: clients read and write at three nodes while one after the other
// is killed and comes back. No read is older than what was acknowledged before it
// began, nothing acknowledged is lost, and the nodes end up equal. -faults 10m is its
// long form.
func TestLinearizable(t *testing.T) {
	t.Parallel()
	c := newCluster(t, object{})
	h := &history{began: time.Now()}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			h.client(c, id, stop)
		}()
	}
	rng, kills := rand.New(rand.NewPCG(3, 3)), 0
	for time.Since(h.began) < *faults {
		time.Sleep(time.Duration(500+rng.IntN(1000)) * time.Millisecond)
		i := rng.IntN(3)
		if kills%2 == 0 {
			i = c.leader()
		}
		c.kill(i)
		kills++
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		c.start(i)
	}
	close(stop)
	wg.Wait()
	result, _ := porcupine.CheckOperationsVerbose(register, h.known(), time.Minute)
	t.Logf("%d kills, %d writes, %d reads, %d writes of unknown outcome, %d reads not answered", kills, h.count.writes, h.count.reads,
		h.count.unknown, h.count.refused)
	require.Equal(t, porcupine.Ok, result)
	assert.Greater(t, h.count.writes, 50)
	assert.Greater(t, h.count.reads, 100)
	var all string
	for i := range 3 {
		var text string
		await(t, "a node's content", func() bool {
			code := 0
			code, text = c.http(i, "GET", "/store", "")
			return code == 200 && (all == "" || strings.Contains(text, "reg/"))
		})
		text = strings.Split(text, `,"state/`)[0] // what the services write of themselves goes on
		if i == 0 {
			all = text
		}
		assert.Equal(t, all, text, "node %d", i)
	}
}

// TestCheckerBites: one read that is behind an acknowledged write is found out.
func TestCheckerBites(t *testing.T) {
	h := &history{}
	h.add(0, step{key: "k", write: true, value: "1"}, "", 1, 2)
	h.add(0, step{key: "k", write: true, value: "2"}, "", 3, 4)
	h.add(1, step{key: "k", write: true, value: "3"}, "", 5, never)
	h.add(1, step{key: "k"}, "2", 5, 6)
	assert.True(t, porcupine.CheckOperations(register, h.known()))
	h.add(1, step{key: "k"}, "1", 7, 8)
	assert.False(t, porcupine.CheckOperations(register, h.known()))
}

// TestFreshness: a node without a majority answers no read as if it were fresh; what
// it knows can be had for the asking.
func TestFreshness(t *testing.T) {
	t.Parallel()
	c := newCluster(t, object{})
	c.put(0, "note/a", `"one"`)
	for i := range 3 {
		code, text := c.http(i, "GET", "/store/note/a?stale=30s", "")
		assert.Equal(t, 200, code, text)
		assert.Equal(t, `"one"`, text)
	}
	c.kill(1)
	c.kill(2)
	for _, path := range []string{"/store/note/a", "/store", "/store/note/a?stale=1ms"} {
		code, text := c.http(0, "GET", path, "")
		assert.Equal(t, 503, code, "%s: %s", path, text)
	}
	code, text := c.http(0, "GET", "/store/note/a?stale=10m", "")
	assert.Equal(t, 200, code, text)
	code, text = c.http(0, "GET", "/store/note/a?local=1", "")
	assert.Equal(t, `200 "one"`, fmt.Sprint(code, " ", text))
	code, _ = c.http(0, "GET", "/store/note/a?stale=soon", "")
	assert.Equal(t, 400, code)
	c.start(1)
	c.start(2)
	c.has(0, "note/a", `"one"`)
}
