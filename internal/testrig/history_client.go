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
	// clientStream is the second seed of each client's random generator. The first seed is the client's id.
	clientStream = 7
	// clientTimeout is the timeout of one operation.
	clientTimeout = 4 * time.Second
	// maxClientPauseMillis is the upper limit of the random pause before each operation.
	maxClientPauseMillis = 10
	// clientRetryDelay is the additional pause after an operation that failed.
	clientRetryDelay = 50 * time.Millisecond
	// registerCount is the number of keys, which all clients use.
	registerCount = 5
	// On average, one operation in writeOdds is a write. One write in compareOdds is a compare-and-set if
	// the client has read the key before.
	writeOdds   = 3
	compareOdds = 2
)

// taggedValue is a value that was read, with its ETag.
type taggedValue struct{ value, tag string }

// historyClient is a client whose operations are recorded in a history.
type historyClient struct {
	history  *History
	cluster  *Cluster
	id       int
	rng      *rand.Rand
	http     *http.Client
	lastRead map[string]taggedValue // by key
}

// RunClient sends reads, writes and compare-and-set operations to random nodes until stop is closed.
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
		if !client.operate(client.randomOp(n)) {
			time.Sleep(clientRetryDelay)
		}
	}
}

// randomOp returns a random operation, the client's n-th. Each value is written only once in a history.
func (c *historyClient) randomOp(n int) RegisterOp {
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

// operate executes one operation and records it. It reports whether the outcome is known.
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

// send sends a request. It stores a value that was read in lastRead.
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

// isOutcome reports whether a status code shows if the operation took effect.
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

// resultOf returns the result of an operation with a known outcome, in the form that registerModel expects.
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

// count counts an operation; ok is true if its outcome is known.
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
