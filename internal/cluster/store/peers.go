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
	// pollInterval is the time between two polls of a peer, and between two checks of supervise and
	// manageMembers.
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 500 * time.Millisecond
	// reportLifetime is the age of its last report at which a node counts as down. It covers three polls that
	// run into pollTimeout, or seven that fail immediately.
	reportLifetime = 1500 * time.Millisecond
	// maxPollTargets is higher than maxMembers, as replaced and removed nodes are still polled.
	maxPollTargets = 2 * maxMembers
)

// peerPoller polls the other nodes for their reports. The leader bases membership changes on the reports,
// every node records the watermarks of the other nodes' disks, and a starting node learns whether its disk
// is outdated.
type peerPoller struct {
	store   *Store
	client  *storeclient.Client
	ctx     context.Context
	pollers sync.WaitGroup

	mu       sync.Mutex
	targets  map[string]Peer // by node name; each has a polling goroutine
	reports  map[string]peerReport
	observed watermarks
	unsaved  bool          // observed has changed since it was last saved
	changed  chan struct{} // closed when the next poll result is recorded
}

// peerReport is a peer's last report.
type peerReport struct {
	storeapi.PeerStatus
	receivedAt time.Time // zero if there is no report
	legacy     bool      // the node runs an earlier version, which reports less
	err        error     // error of the last failed poll
}

// recent reports whether the report is recent enough for the peer to count as up.
func (r peerReport) recent() bool {
	return !r.receivedAt.IsZero() && time.Since(r.receivedAt) < reportLifetime
}

func newPeerPoller(ctx context.Context, s *Store) *peerPoller {
	client := storeclient.New(nil)
	client.HTTPClient = &http.Client{Timeout: pollTimeout}
	return &peerPoller{
		store:    s,
		client:   client,
		ctx:      ctx,
		targets:  map[string]Peer{},
		reports:  map[string]peerReport{},
		observed: watermarks{},
		changed:  make(chan struct{}),
	}
}

// addTargets starts polling the nodes of the configuration file and those in list.
func (p *peerPoller) addTargets(list []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.store.cfg.Peers {
		p.addTarget(peer)
	}
	for _, peer := range list {
		p.addTarget(peer)
	}
}

// addTarget starts polling a node. An address in the configuration file takes precedence. The caller holds
// the lock.
func (p *peerPoller) addTarget(peer Peer) {
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
		go p.pollLoop(peer.Name)
	}
}

// adminAddress returns the address at which a node is polled.
func (p *peerPoller) adminAddress(name string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.targets[name]
	return peer.Admin, ok
}

// pollLoop requests a node's report at each pollInterval until the Store is closed.
func (p *peerPoller) pollLoop(name string) {
	defer p.pollers.Done()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		addr, _ := p.adminAddress(name)
		requesterID := p.store.memberID()
		report := p.fetch(addr, requesterID)
		p.recordReport(name, requesterID, report)
		p.addTargets(decodePeers(report.status.Addresses))
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func decodePeers(addresses map[string]string) (list []Peer) {
	for id, addr := range addresses {
		list = append(list, decodePeer(raft.ServerID(id), raft.ServerAddress(addr)))
	}
	return list
}

// fetchedReport is the result of one poll.
type fetchedReport struct {
	status storeapi.PeerStatus
	legacy bool // the node runs an earlier version, which reports less
	err    error
}

// fetch requests a node's report. A node of an earlier version has only GET /status.
func (p *peerPoller) fetch(addr, requesterID string) (report fetchedReport) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	report.err = p.client.CallNode(ctx, addr, http.MethodGet, "/self?from="+url.QueryEscape(requesterID), nil, &report.status)
	var statusErr *storeapi.StatusError
	if !errors.As(report.err, &statusErr) || statusErr.StatusCode != http.StatusNotFound {
		return report
	}
	report.legacy = true
	var nodeStatus storeapi.Status
	if report.err = p.client.CallNode(ctx, addr, http.MethodGet, "/status", nil, &nodeStatus); report.err != nil {
		return report
	}
	report.status.ID = nodeStatus.Node
	report.status.Cluster = nodeStatus.Cluster
	report.status.State = peerServing
	report.status.Watermark.LastIndex = nodeStatus.LastIndex
	report.status.AppliedIndex = nodeStatus.AppliedIndex
	return report
}

// recordReport stores a report. A report that was requested under another member ID of this node is
// discarded.
func (p *peerPoller) recordReport(name, requesterID string, fetched fetchedReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if requesterID != p.store.memberID() {
		return
	}
	defer p.signalChanged()
	if fetched.err != nil {
		report := p.reports[name]
		report.err = fetched.err
		p.reports[name] = report
		return
	}
	p.recordObservation(name, fetched.status)
	p.reports[name] = peerReport{PeerStatus: fetched.status, receivedAt: time.Now(), legacy: fetched.legacy}
}

// recordObservation records the watermark of a peer's disk, or that the peer belongs to another cluster.
// The caller holds the lock.
func (p *peerPoller) recordObservation(name string, report storeapi.PeerStatus) {
	local := p.store.clusterID.get()
	if local != "" && report.Cluster != "" && local != report.Cluster {
		p.store.clusterID.addForeignPeer(name, report.Cluster, p.store.log)
		return
	}
	p.store.clusterID.removeForeignPeer(name)
	if diskidentity.MemberDisk(report.ID) == "" {
		return
	}
	if p.observed.observe(report.ID, report.Watermark) {
		p.unsaved = true
	}
}

// signalChanged wakes those that wait for the next poll result. The caller holds the lock.
func (p *peerPoller) signalChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}
