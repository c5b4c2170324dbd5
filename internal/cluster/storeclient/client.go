// Package storeclient speaks to the admin ports of a replicated store.
package storeclient

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oxbowbridge/internal/cluster/backup"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
)

// Client speaks to the admin ports of a store: to any of them, until one answers. In
// a session, what it repeats takes effect once.
type Client struct {
	Nodes   []string // admin addresses
	HTTP    *http.Client
	Retry   RetryPolicy
	Session uint64 // opened by the first write
	number  uint64
	cluster *cluster
}

// cluster is the one that answered first: no other is asked for more. Copies of a client
// share it.
type cluster struct {
	mu sync.Mutex
	id string
}

func (c *cluster) get() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.id
}

func (c *cluster) first(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.id = cmp.Or(c.id, id)
}

// RetryPolicy bounds repeated attempts: how many follow the first, and the pause before
// each, which doubles from Least to Most and is drawn between half of that and all.
type RetryPolicy struct {
	MaxRetries             int
	MinBackoff, MaxBackoff time.Duration
}

// defaultBudget outlasts the loss of a leader.
func defaultBudget() RetryPolicy {
	return RetryPolicy{MaxRetries: 12, MinBackoff: 50 * time.Millisecond, MaxBackoff: time.Second}
}

// Backoff before the attempt that follows n others; u is drawn evenly from 0 to 1.
func (b RetryPolicy) Backoff(n int, u float64) time.Duration {
	d := b.MinBackoff
	for range n - 1 {
		if d = min(2*d, b.MaxBackoff); d == b.MaxBackoff {
			break
		}
	}
	return d/2 + time.Duration(u*float64(d/2))
}

const answerMost = backup.MaxBytes + 1<<20

var errNoNode = errors.New("no node is known")

// ErrKeyNotFound means that a key is not there.
var ErrKeyNotFound = errors.New("no such key")

// New makes one for some nodes.
func New(nodes []string) *Client {
	return &Client{Nodes: nodes, HTTP: &http.Client{Timeout: 2 * storeapi.CommitTimeout}, Retry: defaultBudget(), cluster: &cluster{}}
}

// do asks one node after the other until one gives a final answer. What it asks may
// be repeated: reads, and writes in a session.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, []byte, error) {
	if len(c.Nodes) == 0 {
		return nil, nil, errNoNode
	}
	var last error
	at := rand.IntN(len(c.Nodes))
	for n := range c.Retry.MaxRetries + 1 {
		if n > 0 {
			select {
			case <-ctx.Done():
				return nil, nil, errors.Join(ctx.Err(), last)
			case <-time.After(c.Retry.Backoff(n, rand.Float64())):
			}
		}
		req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Nodes[(at+n)%len(c.Nodes)]+path, bytes.NewReader(body))
		if err != nil {
			return nil, nil, err
		}
		c.ofCluster(req)
		res, err := c.HTTP.Do(req)
		if err != nil {
			last = err
			continue
		}
		c.cluster.first(res.Header.Get(storeapi.HeaderCluster))
		text, err := io.ReadAll(io.LimitReader(res.Body, answerMost))
		res.Body.Close()
		if err == nil && res.StatusCode != http.StatusServiceUnavailable {
			return res, text, nil
		}
		if last = err; err == nil {
			last = storeapi.NewStatusError(res.StatusCode, text)
		}
	}
	return nil, nil, fmt.Errorf("no node answered in %d attempts: %w", c.Retry.MaxRetries+1, last)
}

// ofCluster has a node of another cluster refuse a request.
func (c *Client) ofCluster(req *http.Request) {
	if id := c.cluster.get(); id != "" {
		req.Header.Set(storeapi.HeaderCluster, id)
	}
}

func (c *Client) ask(ctx context.Context, method, path string, body []byte, to any) error {
	res, text, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if res.StatusCode >= 300 {
		return storeapi.NewStatusError(res.StatusCode, text)
	}
	if to == nil {
		return nil
	}
	if err := json.Unmarshal(text, to); err != nil {
		return fmt.Errorf("answer can't be read: %w", err)
	}
	return nil
}

// Get reads a key and its revision; query is "" or that of a weaker read.
func (c *Client) Get(ctx context.Context, key, query string) (value json.RawMessage, revision uint64, err error) {
	res, text, err := c.do(ctx, http.MethodGet, "/store/"+key+query, nil)
	switch {
	case err != nil:
		return nil, 0, err
	case res.StatusCode == http.StatusNotFound:
		return nil, 0, fmt.Errorf("%w: %s", ErrKeyNotFound, key)
	case res.StatusCode != http.StatusOK:
		return nil, 0, storeapi.NewStatusError(res.StatusCode, text)
	}
	revision, err = storeapi.ParseETag(res.Header.Get("ETag"))
	return bytes.TrimSpace(text), revision, err
}

// List reads all keys, and the revision at which they were so: a Watch from the next
// one on misses nothing.
func (c *Client) List(ctx context.Context, query string) (all map[string]json.RawMessage, revision uint64, err error) {
	res, text, err := c.do(ctx, http.MethodGet, "/store"+query, nil)
	switch {
	case err != nil:
		return nil, 0, err
	case res.StatusCode != http.StatusOK:
		return nil, 0, storeapi.NewStatusError(res.StatusCode, text)
	}
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, 0, fmt.Errorf("answer can't be read: %w", err)
	}
	revision, _ = strconv.ParseUint(res.Header.Get(storeapi.HeaderRevision), 10, 64) // not from the version before
	return all, revision, nil
}

// Txn carries out a transaction once, however often it must be sent.
func (c *Client) Txn(ctx context.Context, r kv.Request) (a kv.Response, err error) {
	if c.Session == 0 {
		// One that was opened twice, as an answer was lost, ends by itself.
		if err := c.ask(ctx, http.MethodPost, "/session", nil, &a); err != nil {
			return a, fmt.Errorf("open session: %w", err)
		}
		c.Session = a.Session
	}
	c.number++
	r.Session, r.RequestNumber = c.Session, c.number
	text, err := json.Marshal(r)
	if err != nil {
		return a, err
	}
	a = kv.Response{}
	return a, c.ask(ctx, http.MethodPost, "/txn", text, &a)
}

// Put writes a key; unless it is nil, only if the key has the revision.
func (c *Client) Put(ctx context.Context, key string, value json.RawMessage, revision *uint64) (kv.Response, error) {
	return c.write(ctx, kv.Op{Kind: "put", Key: key, Value: value}, revision)
}

// Delete removes a key, on the same condition.
func (c *Client) Delete(ctx context.Context, key string, revision *uint64) (kv.Response, error) {
	return c.write(ctx, kv.Op{Kind: "delete", Key: key}, revision)
}

func (c *Client) write(ctx context.Context, o kv.Op, revision *uint64) (kv.Response, error) {
	r := kv.Request{Then: []kv.Op{o}, Else: []kv.Op{{Kind: "get", Key: o.Key}}}
	if revision != nil {
		r.If = []kv.Compare{{Key: o.Key, Revision: *revision}}
	}
	a, err := c.Txn(ctx, r)
	if err == nil && !a.Succeeded {
		err = &storeapi.StatusError{StatusCode: http.StatusPreconditionFailed, Text: "the key has revision " + strconv.FormatUint(a.Results[0].Revision, 10)}
	}
	return a, err
}

// Status asks one node what it is; it does not ask again.
func (c *Client) Status(ctx context.Context, node string) (st storeapi.Status, err error) {
	return st, c.CallNode(ctx, node, http.MethodGet, "/status", nil, &st)
}

// CallNode asks one node, once; to may be nil.
func (c *Client) CallNode(ctx context.Context, node, method, path string, body []byte, to any) error {
	one := &Client{Nodes: []string{node}, HTTP: c.HTTP, cluster: &cluster{id: c.cluster.get()}} // what it answers binds nobody
	return one.ask(ctx, method, path, body, to)
}

// WithLongTimeout is the client with more time for an answer.
func (c *Client) WithLongTimeout() *Client {
	slow := *c
	slow.HTTP = &http.Client{Transport: c.HTTP.Transport, Timeout: storeapi.CommitTimeout + time.Second}
	return &slow
}

// Members asks for the members, as the leader sees them.
func (c *Client) Members(ctx context.Context) (m storeapi.Members, err error) {
	return m, c.ask(ctx, http.MethodGet, "/members", nil, &m)
}

// ChangeMember has a member removed (DELETE), let in again (PUT) or given a vote
// (POST); all may be asked again.
func (c *Client) ChangeMember(ctx context.Context, method, name string) error {
	return c.ask(ctx, method, "/members/"+name, nil, nil)
}
