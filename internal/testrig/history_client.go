package testrig

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// clientStream is the second seed of each client's generator; its id is the first.
	clientStream = 7
	// clientTimeout bounds one operation.
	clientTimeout = 4 * time.Second
	// maxClientPauseMillis bounds the pause between two operations.
	maxClientPauseMillis = 10
	// clientRetryDelay is the further pause after an operation that failed.
	clientRetryDelay = 50 * time.Millisecond
	// registerCount is how many keys the clients share.
	registerCount = 5
	// writeOdds and compareOdds: one operation in writeOdds is a write, and one write in
	// compareOdds of a key that was read is a compare-and-set.
	writeOdds   = 3
	compareOdds = 2
)

// taggedValue is a value that was read, with its entity tag.
type taggedValue struct{ value, tag string }

// historyClient is one client of a history.
type historyClient struct {
	history  *History
	cluster  *Cluster
	id       int
	rng      *rand.Rand
	http     *http.Client
	lastRead map[string]taggedValue // by key
}

// RunClient reads, writes and compares-and-sets at random nodes until stop is closed.
func (h *History) RunClient(c *Cluster, id int, stop <-chan struct{}) {
	client := &historyClient{
		history:  h,
		cluster:  c,
		id:       id,
		rng:      rand.New(rand.NewPCG(uint64(id), clientStream)),
		http:     &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		lastRead: map[string]taggedValue{},
	}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(client.rng.IntN(maxClientPauseMillis)) * time.Millisecond):
		}
		if !client.operate(client.drawOp(n)) {
			time.Sleep(clientRetryDelay)
		}
	}
}

// drawOp draws the client's n-th operation. Each value is written once in a history.
func (c *historyClient) drawOp(n int) RegisterOp {
	in := RegisterOp{
		Key:   fmt.Sprint("reg/", c.rng.IntN(registerCount)),
		Write: c.rng.IntN(writeOdds) == 0,
		Value: fmt.Sprintf("%q", fmt.Sprintf("%d-%d", c.id, n)),
	}
	if !in.Write {
		return in
	}
	if last, ok := c.lastRead[in.Key]; ok && c.rng.IntN(compareOdds) == 0 {
		in.Expected = last.value
	}
	return in
}

// operate carries out one operation and records it. It reports whether it has a known
// outcome.
func (c *historyClient) operate(in RegisterOp) (ok bool) {
	req := c.newRequest(in)
	call := c.history.Elapsed().Nanoseconds()
	code, text, err := c.send(in, req)
	end := c.history.Elapsed().Nanoseconds()
	ok = err == nil && isOutcome(in, code)
	switch {
	case ok:
		c.history.Add(c.id, in, resultOf(in, code, text), call, end)
	case in.Write:
		c.history.Add(c.id, in, "", call, NeverReturned)
	}
	c.history.count(in, ok)
	return ok
}

func (c *historyClient) newRequest(in RegisterOp) *http.Request {
	method := http.MethodGet
	if in.Write {
		method = http.MethodPut
	}
	peer := c.cluster.Peers[c.rng.IntN(len(c.cluster.Peers))]
	req, err := http.NewRequest(method, "http://"+peer.Admin+"/store/"+in.Key, strings.NewReader(in.Value))
	if err != nil {
		panic(err)
	}
	if in.Expected != "" {
		req.Header.Set("If-Match", c.lastRead[in.Key].tag)
	}
	return req
}

// send sends a request, and remembers a value that was read.
func (c *historyClient) send(in RegisterOp, req *http.Request) (code int, text string, err error) {
	res, err := c.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(res.Body)
	res.Body.Close()
	text = strings.TrimSpace(string(body))
	if !in.Write && res.StatusCode == http.StatusOK && err == nil {
		c.lastRead[in.Key] = taggedValue{text, res.Header.Get("ETag")}
	}
	return res.StatusCode, text, err
}

// isOutcome reports whether a status code tells if the operation took effect.
func isOutcome(in RegisterOp, code int) bool {
	switch code {
	case http.StatusOK, http.StatusNoContent:
		return true
	case http.StatusNotFound:
		return !in.Write
	case http.StatusPreconditionFailed:
		return in.Expected != ""
	}
	return false
}

// resultOf is the result of an operation with a known outcome, as the model has it.
func resultOf(in RegisterOp, code int, text string) string {
	switch {
	case in.Write && code == http.StatusPreconditionFailed:
		return CompareFailed
	case in.Write && in.Expected != "":
		return compareSucceeded
	case in.Write, code == http.StatusNotFound:
		return ""
	}
	return text
}

// count counts an operation; ok says whether its outcome is known.
func (h *History) count(in RegisterOp, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case ok && in.Write:
		h.Writes++
	case ok:
		h.Reads++
	case in.Write:
		h.UnknownWrites++
	default:
		h.FailedReads++
	}
}
