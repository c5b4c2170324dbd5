// Package storeclient is a client for the admin ports of the replicated store's nodes.
package storeclient

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"oxbowbridge/internal/cluster/storeapi"
)

// ErrKeyNotFound means that a key does not exist.
var ErrKeyNotFound = errors.New("no such key")

var errNoNode = errors.New("no node is known")

// Client sends requests to the nodes of a store, one after the other until one answers. Its writes are part of
// a session, so that a write that is sent again takes effect once. A client is not safe for
// concurrent writes.
type Client struct {
	Nodes       []string     // admin addresses, at least one
	HTTPClient  *http.Client // its timeout is that of one attempt
	RetryPolicy RetryPolicy
	SessionID   uint64 // opened by the first write; 0 before

	lastRequestNumber uint64 // of the last write in the session
	cluster           *pinnedCluster
}

// New returns a client for the nodes with the given admin addresses.
func New(nodes []string) *Client {
	return &Client{
		Nodes:       nodes,
		HTTPClient:  &http.Client{Timeout: 2 * storeapi.CommitTimeout},
		RetryPolicy: defaultRetryPolicy(),
		cluster:     &pinnedCluster{},
	}
}

// WithCommitTimeout returns the client with a timeout of one attempt that outlasts the leader's wait
// for a majority (storeapi.CommitTimeout).
func (c *Client) WithCommitTimeout() *Client {
	return c.withAttemptTimeout(storeapi.CommitTimeout + time.Second)
}

func (c *Client) withAttemptTimeout(timeout time.Duration) *Client {
	clone := *c
	clone.HTTPClient = &http.Client{Transport: c.HTTPClient.Transport, Timeout: timeout}
	return &clone
}

// RetryPolicy bounds the attempts after the first one, and the pause before each.
type RetryPolicy struct {
	MaxRetries int           // after the first attempt
	MinBackoff time.Duration // before the first retry; doubles with each
	MaxBackoff time.Duration
}

// defaultRetryPolicy outlasts the loss of a leader.
func defaultRetryPolicy() RetryPolicy {
	return RetryPolicy{MaxRetries: 12, MinBackoff: 50 * time.Millisecond, MaxBackoff: time.Second}
}

// Backoff returns the pause before a retry, counted from 1. It doubles from MinBackoff to MaxBackoff;
// jitter, from 0 to 1, takes it between half of that and all of it.
func (p RetryPolicy) Backoff(retry int, jitter float64) time.Duration {
	pause := p.MinBackoff
	for range retry - 1 {
		pause = min(2*pause, p.MaxBackoff)
		if pause == p.MaxBackoff {
			break
		}
	}
	return pause/2 + time.Duration(jitter*float64(pause/2))
}

// wait pauses before a retry, with random jitter. Its error is that of the context.
func (p RetryPolicy) wait(ctx context.Context, retry int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(p.Backoff(retry, rand.Float64())):
		return nil
	}
}

// pinnedCluster is the cluster that answered first: nodes of another one refuse later requests.
// Copies of a client share it.
type pinnedCluster struct {
	mu sync.Mutex
	id string
}

func (p *pinnedCluster) get() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

func (p *pinnedCluster) pin(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.id = cmp.Or(p.id, id)
}

// setHeader has a node of another cluster refuse a request.
func (p *pinnedCluster) setHeader(req *http.Request) {
	if id := p.get(); id != "" {
		req.Header.Set(storeapi.HeaderCluster, id)
	}
}

// Status requests the status of one node, once.
func (c *Client) Status(ctx context.Context, node string) (status storeapi.Status, err error) {
	err = c.CallNode(ctx, node, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Members requests the members, as the leader sees them.
func (c *Client) Members(ctx context.Context) (members storeapi.Members, err error) {
	err = c.call(ctx, http.MethodGet, "/members", nil, &members)
	return members, err
}

// ChangeMember removes a member (http.MethodDelete), lets a removed one join again (MethodPut), or
// makes it a preferred voter (MethodPost). All may be repeated.
func (c *Client) ChangeMember(ctx context.Context, method, name string) error {
	return c.call(ctx, method, "/members/"+name, nil, nil)
}

// CallNode sends a request to one node, once, and decodes its answer into out, which may be nil.
// The node's cluster is not pinned.
func (c *Client) CallNode(ctx context.Context, node, method, path string, body []byte, out any) error {
	single := &Client{Nodes: []string{node}, HTTPClient: c.HTTPClient, cluster: &pinnedCluster{id: c.cluster.get()}}
	return single.call(ctx, method, path, body, out)
}

func decodeError(err error) error { return fmt.Errorf("answer can't be read: %w", err) }
