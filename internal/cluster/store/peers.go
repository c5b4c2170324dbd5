package store

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

const (
	pollInterval   = 200 * time.Millisecond
	pollTimeout    = 500 * time.Millisecond
	reportLifetime = 1500 * time.Millisecond // a node whose last report is older is down
	maxPollTargets = 2 * maxMembers
)

// peers polls the other nodes for what they are. The leader decides on members by the reports;
// every node keeps how far it has observed the others' disks; and a node that starts learns
// whether its own disk is behind.
type peers struct {
	store   *Store
	client  *storeclient.Client
	ctx     context.Context
	pollers sync.WaitGroup

	mu       sync.Mutex
	targets  map[string]Peer // by name; each has a goroutine
	reports  map[string]peerReport
	observed watermarks
	unsaved  bool          // observed has changed since it was saved
	changed  chan struct{} // closed at the next report
}

// peerReport is the last that a peer reported.
type peerReport struct {
	storeapi.PeerStatus
	receivedAt time.Time // zero if there was none
	legacy     bool      // of an earlier version, which reports less
	err        error     // of the last poll that failed
}

// recent reports whether the peer counts as up.
func (r peerReport) recent() bool {
	return !r.receivedAt.IsZero() && time.Since(r.receivedAt) < reportLifetime
}

func newPeers(ctx context.Context, s *Store) *peers {
	client := storeclient.New(nil)
	client.HTTP = &http.Client{Timeout: pollTimeout}
	return &peers{
		store:    s,
		client:   client,
		ctx:      ctx,
		targets:  map[string]Peer{},
		reports:  map[string]peerReport{},
		observed: watermarks{},
		changed:  make(chan struct{}),
	}
}

// follow polls the nodes of the configuration file and those of the list from now on.
func (p *peers) follow(list []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.store.cfg.Peers {
		p.followOne(peer)
	}
	for _, peer := range list {
		p.followOne(peer)
	}
}

// followOne is called with the lock held. An address in the configuration file takes precedence.
func (p *peers) followOne(peer Peer) {
	if peer.Name == p.store.self.Name {
		return
	}
	if configured, ok := p.store.cfg.configuredPeer(peer.Name); ok {
		peer.Admin = configured.Admin
	}
	old, known := p.targets[peer.Name]
	switch {
	case peer.Admin == "", known && old.Admin == peer.Admin:
		return
	case !known && len(p.targets) >= maxPollTargets:
		return
	}
	p.targets[peer.Name] = peer
	if !known {
		p.pollers.Add(1)
		go p.poll(peer.Name)
	}
}

// adminAddress is where a node is polled.
func (p *peers) adminAddress(name string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.targets[name]
	return peer.Admin, ok
}

// poll asks one node for its report until the Store is closed.
func (p *peers) poll(name string) {
	defer p.pollers.Done()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		addr, _ := p.adminAddress(name)
		asker := p.store.memberID()
		self, legacy, err := p.fetch(addr, asker)
		p.record(name, asker, self, legacy, err)
		p.follow(peersOf(self.Addresses))
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func peersOf(addresses map[string]string) (list []Peer) {
	for id, addr := range addresses {
		list = append(list, decodePeer(raft.ServerID(id), raft.ServerAddress(addr)))
	}
	return list
}

// fetch asks a node for its report. A node of an earlier version only has a status.
func (p *peers) fetch(addr, asker string) (self storeapi.PeerStatus, legacy bool, err error) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	err = p.client.CallNode(ctx, addr, http.MethodGet, "/self?from="+url.QueryEscape(asker), nil, &self)
	var status *storeapi.StatusError
	if !errors.As(err, &status) || status.StatusCode != http.StatusNotFound {
		return self, false, err
	}
	var st storeapi.Status
	if err = p.client.CallNode(ctx, addr, http.MethodGet, "/status", nil, &st); err != nil {
		return self, true, err
	}
	self.ID = st.Node
	self.Cluster = st.Cluster
	self.State = peerServing
	self.Watermark.LastIndex = st.LastIndex
	self.AppliedIndex = st.AppliedIndex
	return self, true, nil
}

// record keeps a report. One that was requested under another member ID of this node is dropped.
func (p *peers) record(name, asker string, self storeapi.PeerStatus, legacy bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asker != p.store.memberID() {
		return
	}
	defer p.signalChanged()
	if err != nil {
		report := p.reports[name]
		report.err = err
		p.reports[name] = report
		return
	}
	p.observe(name, self)
	p.reports[name] = peerReport{PeerStatus: self, receivedAt: time.Now(), legacy: legacy}
}

// observe notes how far a peer's disk is, or that it belongs to another cluster. It is called with
// the lock held.
func (p *peers) observe(name string, self storeapi.PeerStatus) {
	own := p.store.identity.get()
	if own != "" && self.Cluster != "" && own != self.Cluster {
		p.store.identity.addForeign(name, self.Cluster, p.store.log)
		return
	}
	p.store.identity.removeForeign(name)
	if diskidentity.MemberDisk(self.ID) == "" {
		return
	}
	if p.observed.observe(self.ID, self.Watermark) {
		p.unsaved = true
	}
}

// signalChanged is called with the lock held.
func (p *peers) signalChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}
