// Package storeclient implements a client for the HTTP API on the admin ports of the replicated store's
// nodes.
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

var errNoNode = errors.New("no node address is configured")

// Client sends requests to the nodes of a store. It tries one node after the other until one gives a
// final response. Its writes are part of a session, so that a retried write takes effect only once. A
// Client is not safe for concurrent writes.
type Client struct {
	Nodes       []string     // admin addresses, at least one
	HTTPClient  *http.Client // its timeout applies to each attempt
	RetryPolicy RetryPolicy
	SessionID   uint64 // session that the first write opens; 0 before that

	lastRequestNumber uint64 // number of the last write in the session
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

// WithCommitTimeout returns a copy of the client whose timeout for one attempt is a second longer than
// the time for which a leader waits for a majority (storeapi.CommitTimeout).
func (c *Client) WithCommitTimeout() *Client {
	return c.withAttemptTimeout(storeapi.CommitTimeout + time.Second)
}

func (c *Client) withAttemptTimeout(timeout time.Duration) *Client {
	clone := *c
	clone.HTTPClient = &http.Client{Transport: c.HTTPClient.Transport, Timeout: timeout}
	return &clone
}

// RetryPolicy sets the number of retries and the backoff before each.
type RetryPolicy struct {
	MaxRetries int           // attempts after the first one
	MinBackoff time.Duration // backoff before the first retry; doubles with each retry
	MaxBackoff time.Duration
}

// defaultRetryPolicy retries for long enough to outlast the election of a new leader.
func defaultRetryPolicy() RetryPolicy {
	return RetryPolicy{MaxRetries: 12, MinBackoff: 50 * time.Millisecond, MaxBackoff: time.Second}
}

// Backoff returns the pause before a retry; the first retry has the number 1. The pause doubles from
// MinBackoff to MaxBackoff. jitter, from 0 to 1, scales the result between half of the pause and all of it.
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

// wait waits for the backoff of a retry, with random jitter. It returns the error of ctx if ctx ends
// first.
func (p RetryPolicy) wait(ctx context.Context, retry int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(p.Backoff(retry, rand.Float64())):
		return nil
	}
}

// pinnedCluster is the id of the cluster that responded first. Later requests contain this id, so that
// nodes of other clusters reject them. Copies of a client share one pinnedCluster.
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

// setHeader adds the pinned cluster id, if there is one, to a request, so that nodes of other clusters
// reject it.
func (p *pinnedCluster) setHeader(req *http.Request) {
	if id := p.get(); id != "" {
		req.Header.Set(storeapi.HeaderCluster, id)
	}
}

// Status requests the status of one node, without retries.
func (c *Client) Status(ctx context.Context, node string) (status storeapi.Status, err error) {
	err = c.CallNode(ctx, node, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Members requests the list of members from the leader.
func (c *Client) Members(ctx context.Context) (members storeapi.Members, err error) {
	err = c.call(ctx, http.MethodGet, "/members", nil, &members)
	return members, err
}

// ChangeMember removes a member (http.MethodDelete), allows a removed node to join again
// (http.MethodPut), or makes a member a preferred voter (http.MethodPost). All three are idempotent.
func (c *Client) ChangeMember(ctx context.Context, method, name string) error {
	return c.call(ctx, method, "/members/"+name, nil, nil)
}

// CallNode sends a request to one node, without retries, and decodes the response into out, which may be
// nil. It does not pin the cluster of the node.
func (c *Client) CallNode(ctx context.Context, node, method, path string, body []byte, out any) error {
	nodeClient := &Client{Nodes: []string{node}, HTTPClient: c.HTTPClient, cluster: &pinnedCluster{id: c.cluster.get()}}
	return nodeClient.call(ctx, method, path, body, out)
}

func decodeError(err error) error { return fmt.Errorf("decode response: %w", err) }
