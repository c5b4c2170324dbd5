// Package leaseclient holds leases of the replicated store for one process. It acquires them,
// keeps all of them alive together, and ends a lease's context in time when the lease can't be
// kept. The rules about who may act until when are those of package lease.
package leaseclient

import (
	"context"
	"sync"
	"time"

	"oxbowbridge/internal/cluster/storeclient"
)

const (
	maxRequestWait = 10 * time.Second       // for which one request waits in a queue; it is then sent again
	releaseTimeout = 500 * time.Millisecond // to give a lease back when a task or the manager ends; part of the shutdown, so it is short
)

// Manager holds the leases of a process. It is safe for concurrent use.
type Manager struct {
	holder          string
	client          *storeclient.Client
	startedAt       time.Time // the monotonic origin of all times that package lease gets
	ctx             context.Context
	stop            context.CancelFunc
	renewalLoopDone sync.WaitGroup
	leaseAdded      chan struct{} // wakes the renewal loop

	mu        sync.Mutex
	leases    map[string]*Lease // by name, also those that are being acquired or released
	nodeIndex int               // the node that answered last
}

// New returns a manager for the store whose nodes have the given admin addresses. No other process may
// use the holder's name. Close ends it.
func New(nodes []string, holder string) *Manager {
	m := &Manager{
		holder:     holder,
		client:     storeclient.New(nodes),
		startedAt:  time.Now(),
		leaseAdded: make(chan struct{}, 1),
		leases:     map[string]*Lease{},
	}
	m.client.Retry.MaxRetries = 0 // the manager retries by itself, at another node
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.renewalLoopDone.Go(m.renewalLoop)
	return m
}

// Holder returns the holder's name.
func (m *Manager) Holder() string { return m.holder }

// Close releases all leases, for releaseTimeout at most, and ends the manager.
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

// unregister removes a lease that is not held any more.
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

// node returns a client of a single node: the one that answered last, or the next one.
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
