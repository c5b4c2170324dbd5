package testrig

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Step is a read, a write or a compare-and-set of one key, and what came of it.
type RegisterOp struct {
	Key      string
	Write    bool
	Value    string // written
	Expected string // what a compare-and-set wants to find
}

// Unequal is what came of a compare-and-set that found another value.
const CompareFailed = "Unequal"

// register is a key that is written and read; each key is checked for itself.
var register = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string][]porcupine.Operation{}
		for _, o := range h {
			keys[o.Input.(RegisterOp).Key] = append(keys[o.Input.(RegisterOp).Key], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range keys {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(RegisterOp)
		switch {
		case !in.Write:
			return output == state, state
		case in.Expected == "" || in.Expected == state && output != CompareFailed:
			return true, in.Value
		}
		return output == CompareFailed && in.Expected != state, state
	},
}

// History is what clients did, each on the clock of this process.
type History struct {
	mu                               sync.Mutex
	ops                              []porcupine.Operation
	began                            time.Time
	Writes, Reads, Unknown, Rejected int
}

const NeverReturned = int64(1) << 60 // when an operation of unknown outcome ends

// Add notes one operation.
func (h *History) Add(client int, in RegisterOp, out string, call, end int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// known leaves out writes of unknown outcome that nobody read: values are written
// once, so all that they can do is to have a compare-and-set find another value. Those
// that found one after such a write began prove nothing then, and are left out too.
// Kept, they would cost the checker much.
func (h *History) known() []porcupine.Operation {
	read, first := map[string]bool{}, map[string]int64{}
	for _, o := range h.ops {
		if !o.Input.(RegisterOp).Write {
			read[o.Output.(string)] = true
		}
	}
	for _, o := range h.ops {
		in := o.Input.(RegisterOp)
		if at, ok := first[in.Key]; o.Return == NeverReturned && !read[in.Value] && (!ok || o.Call < at) {
			first[in.Key] = o.Call
		}
	}
	var ops []porcupine.Operation
	for _, o := range h.ops {
		in := o.Input.(RegisterOp)
		at, lost := first[in.Key]
		if o.Return == NeverReturned && !read[in.Value] || o.Output == CompareFailed && lost && at < o.Return {
			continue
		}
		ops = append(ops, o)
	}
	return ops
}

// Enough tells whether so much was answered that a check of it means something. A busy
// machine gets more time for it.
func (h *History) HasEnough(least time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Writes > 50 && h.Reads > 100 || time.Since(h.began) > least+2*AwaitTimeout
}

// Client reads, writes and compares-and-sets at random nodes until told to stop.
func (h *History) RunClient(c *Cluster, id int, stop <-chan struct{}) {
	seen := map[string][2]string{} // by Key: a value that was read, and its tag
	rng := rand.New(rand.NewPCG(uint64(id), 7))
	web := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(10)) * time.Millisecond):
		}
		in := RegisterOp{Key: fmt.Sprint("reg/", rng.IntN(5)), Write: rng.IntN(3) == 0, Value: fmt.Sprintf("%q", fmt.Sprintf("%d-%d", id, n))}
		method := "GET"
		if in.Write {
			method = "PUT"
			if was, ok := seen[in.Key]; ok && rng.IntN(2) == 0 {
				in.Expected = was[0]
			}
		}
		url := "http://" + c.Peers[rng.IntN(len(c.Peers))].Admin + "/store/" + in.Key
		req, err := http.NewRequest(method, url, strings.NewReader(in.Value))
		if err != nil {
			panic(err)
		}
		if in.Expected != "" {
			req.Header.Set("If-Match", seen[in.Key][1])
		}
		call := time.Since(h.began).Nanoseconds()
		res, err := web.Do(req)
		code, text := 0, ""
		if err == nil {
			b, rerr := io.ReadAll(res.Body)
			res.Body.Close()
			code, text, err = res.StatusCode, strings.TrimSpace(string(b)), rerr
			if !in.Write && code == 200 && err == nil {
				seen[in.Key] = [2]string{text, res.Header.Get("ETag")}
			}
		}
		end := time.Since(h.began).Nanoseconds()
		ok := err == nil && (code == 200 || code == 204 || code == 404 && !in.Write || code == 412 && in.Expected != "")
		switch {
		case ok && in.Write && code == 412:
			h.Add(id, in, CompareFailed, call, end)
		case ok && in.Write && in.Expected != "":
			h.Add(id, in, "done", call, end)
		case ok && in.Write:
			h.Add(id, in, "", call, end)
		case ok && code == 404:
			h.Add(id, in, "", call, end)
		case ok:
			h.Add(id, in, text, call, end)
		case in.Write:
			h.Add(id, in, "", call, NeverReturned)
		}
		h.mu.Lock()
		switch {
		case ok && in.Write:
			h.Writes++
		case ok:
			h.Reads++
		case in.Write:
			h.Unknown++
		default:
			h.Rejected++
		}
		h.mu.Unlock()
		if !ok {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// NewHistory begins one.
func NewHistory() *History { return &History{began: time.Now()} }

// Since is how long it goes on already.
func (h *History) Elapsed() time.Duration { return time.Since(h.began) }

// Linearizable tells whether what was done to each key can have been done one after the
// other, each between its begin and its end.
func (h *History) Linearizable() bool {
	result, _ := porcupine.CheckOperationsVerbose(register, h.known(), time.Minute)
	return result == porcupine.Ok
}

// Clone is a copy, to go on differently.
func (h *History) Clone() *History {
	return &History{ops: append([]porcupine.Operation(nil), h.ops...)}
}

// Prober writes one key without pause, at any node, and keeps when writes that
// succeeded began and ended.
type Prober struct {
	mu   sync.Mutex
	done [][2]time.Time
}

// Run writes until it is told to stop.
func (p *Prober) Run(c *Cluster, stop <-chan struct{}) {
	web := &http.Client{Timeout: 500 * time.Millisecond}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		began := time.Now()
		req, err := http.NewRequest("PUT", "http://"+c.Peers[n%len(c.Peers)].Admin+"/store/probe", strings.NewReader(fmt.Sprint(n)))
		if err != nil {
			panic(err)
		}
		res, err := web.Do(req)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if res.StatusCode == 204 {
			p.mu.Lock()
			p.done = append(p.done, [2]time.Time{began, time.Now()})
			p.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// After is when the first write ended that began after a time.
func (p *Prober) FirstWriteAfter(at time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.done) - 1; i >= 0; i-- {
		if p.done[i][0].Before(at) {
			if i+1 < len(p.done) {
				return p.done[i+1][1], true
			}
			return time.Time{}, false
		}
	}
	return time.Time{}, false
}
