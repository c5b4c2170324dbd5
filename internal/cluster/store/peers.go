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
	// pollInterval is between two polls of a peer, and between two checks of supervise and
	// manageMembers.
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
	// reportLifetime is the age of its last report at which a node counts as down: three polls that
	// run into pollTimeout, or seven that fail at once.
	reportLifetime = 1500 * time.Millisecond
	// maxPollTargets is above maxMembers, as nodes that were replaced or removed stay polled.
	maxPollTargets = 2 * maxMembers
)

// peers polls the other nodes for what they are. The leader decides on members by the reports;
// every node records how far it has observed the others' disks; and a node that starts learns
// whether its disk is behind.
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
	client.HTTPClient = &http.Client{Timeout: pollTimeout}
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
		report := p.fetch(addr, asker)
		p.record(name, asker, report)
		p.follow(peersOf(report.status.Addresses))
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

// fetchedReport is the result of one poll.
type fetchedReport struct {
	status storeapi.PeerStatus
	legacy bool // of an earlier version, which reports less
	err    error
}

// fetch asks a node for its report. A node of an earlier version only has a status.
func (p *peers) fetch(addr, asker string) (report fetchedReport) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	report.err = p.client.CallNode(ctx, addr, http.MethodGet, "/self?from="+url.QueryEscape(asker), nil, &report.status)
	var status *storeapi.StatusError
	if !errors.As(report.err, &status) || status.StatusCode != http.StatusNotFound {
		return report
	}
	report.legacy = true
	var st storeapi.Status
	if report.err = p.client.CallNode(ctx, addr, http.MethodGet, "/status", nil, &st); report.err != nil {
		return report
	}
	report.status.ID = st.Node
	report.status.Cluster = st.Cluster
	report.status.State = peerServing
	report.status.Watermark.LastIndex = st.LastIndex
	report.status.AppliedIndex = st.AppliedIndex
	return report
}

// record stores a report. One that was requested under another member ID of this node is dropped.
func (p *peers) record(name, asker string, fetched fetchedReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asker != p.store.memberID() {
		return
	}
	defer p.signalChanged()
	if fetched.err != nil {
		report := p.reports[name]
		report.err = fetched.err
		p.reports[name] = report
		return
	}
	p.observe(name, fetched.status)
	p.reports[name] = peerReport{PeerStatus: fetched.status, receivedAt: time.Now(), legacy: fetched.legacy}
}

// observe notes how far a peer's disk is, or that it belongs to another cluster. It is called with
// the lock held.
func (p *peers) observe(name string, report storeapi.PeerStatus) {
	local := p.store.clusterID.get()
	if local != "" && report.Cluster != "" && local != report.Cluster {
		p.store.clusterID.addForeign(name, report.Cluster, p.store.log)
		return
	}
	p.store.clusterID.removeForeign(name)
	if diskidentity.MemberDisk(report.ID) == "" {
		return
	}
	if p.observed.observe(report.ID, report.Watermark) {
		p.unsaved = true
	}
}

// signalChanged is called with the lock held.
func (p *peers) signalChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}
