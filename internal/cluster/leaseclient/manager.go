// Package leaseclient holds leases of the replicated store for one process. It acquires leases, renews
// them in batches, and ends a lease's context by its deadline if the lease can't be renewed. Package
// lease documents until when a holder may act.
package leaseclient

import (
	"context"
	"sync"
	"time"

	"oxbowbridge/internal/cluster/storeclient"
)

const (
	maxRequestWait = 10 * time.Second       // maximum queueing time of one request; the request is then repeated
	releaseTimeout = 500 * time.Millisecond // timeout for a release when a task or the manager ends; short, as it delays the shutdown
)

// Manager acquires and renews the leases of a process. It is safe for concurrent use.
type Manager struct {
	holder          string
	client          *storeclient.Client
	startedAt       time.Time // monotonic origin of all times passed to package lease
	ctx             context.Context
	stop            context.CancelFunc
	renewalLoopDone sync.WaitGroup
	leaseAdded      chan struct{} // wakes the renewal loop

	mu        sync.Mutex
	leases    map[string]*Lease // by name, including leases that are being acquired or released
	nodeIndex int               // index, modulo the number of nodes, of the node to call next
}

// New returns a manager for the store whose nodes have the given admin addresses. No other process may
// use the same holder name. The caller must call Close.
func New(nodes []string, holder string) *Manager {
	m := &Manager{
		holder:     holder,
		client:     storeclient.New(nodes),
		startedAt:  time.Now(),
		leaseAdded: make(chan struct{}, 1),
		leases:     map[string]*Lease{},
	}
	m.client.RetryPolicy.MaxRetries = 0 // the manager itself retries, at another node
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.renewalLoopDone.Go(m.renewalLoop)
	return m
}

// Holder returns the name under which this process holds leases.
func (m *Manager) Holder() string { return m.holder }

// Close releases all leases, waiting at most releaseTimeout, and stops the renewal loop.
func (m *Manager) Close() {
	m.mu.Lock()
	var leases []*Lease
	for _, l := range m.leases {
		leases = append(leases, l)
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var released sync.WaitGroup
	for _, l := range leases {
		released.Go(func() { l.Release(ctx) })
	}
	released.Wait()
	m.stop()
	m.renewalLoopDone.Wait()
}

func (m *Manager) now() time.Duration { return time.Since(m.startedAt) }

// unregister removes a lease that is no longer held.
func (m *Manager) unregister(l *Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unregisterLocked(l)
}

func (m *Manager) unregisterLocked(l *Lease) {
	if m.leases[l.Name] == l {
		delete(m.leases, l.Name)
	}
}

// node returns a client for a single node: the current node, or, if next is true, the following one, which then
// becomes the current node.
func (m *Manager) node(next bool) *storeclient.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	if next {
		m.nodeIndex++
	}
	client := *m.client
	client.Nodes = []string{m.client.Nodes[m.nodeIndex%len(m.client.Nodes)]}
	return &client
}
