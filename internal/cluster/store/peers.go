package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
)

const (
	askEvery   = 200 * time.Millisecond
	askTime    = 500 * time.Millisecond
	heardTime  = 1500 * time.Millisecond // a node whose last answer is older is down
	ledgerTime = time.Second             // between two writes of the ledger
	ledgerMost = 256                     // disks in it
)

// peerReport is the last that a peer said.
type peerReport struct {
	storeapi.PeerStatus
	receivedAt time.Time // of the answer; zero if there was none
	legacy     bool      // of the version before, which says less
	err        error
}

// peers asks the other nodes, again and again, what they are: the leader decides on
// members by it, each node keeps how far it has seen the others' disks, and a node that
// starts learns whether its own is behind.
type peers struct {
	store   *Store
	client  *storeclient.Client
	ctx     context.Context
	pollers sync.WaitGroup

	mu       sync.Mutex
	targets  map[string]Peer // by name; each has a goroutine
	reports  map[string]peerReport
	observed watermarks
	unsaved  bool
	changed  chan struct{} // closed at the next answer
}

func newPeers(ctx context.Context, s *Store) *peers {
	c := storeclient.New(nil)
	c.HTTP = &http.Client{Timeout: askTime}
	return &peers{store: s, client: c, ctx: ctx, targets: map[string]Peer{}, reports: map[string]peerReport{}, observed: watermarks{}, changed: make(chan struct{})}
}

// follow asks whom the file and the configuration name. What the file says goes first.
func (p *peers) follow(list []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range append(append([]Peer(nil), p.store.cfg.Peers...), list...) {
		if x.Name == p.store.self.Name {
			continue
		}
		if own, ok := p.store.cfg.configuredPeer(x.Name); ok {
			x.Admin = own.Admin
		}
		was, known := p.targets[x.Name]
		if x.Admin == "" || known && was.Admin == x.Admin || !known && len(p.targets) >= 2*membersMost {
			continue
		}
		if p.targets[x.Name] = x; !known {
			p.pollers.Add(1)
			go p.poll(x.Name)
		}
	}
}

// adminAddress is where a node is asked.
func (p *peers) adminAddress(name string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, ok := p.targets[name]
	return x.Admin, ok
}

func (p *peers) poll(name string) {
	defer p.pollers.Done()
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		addr, _ := p.adminAddress(name)
		id := p.store.memberID()
		self, old, err := p.fetch(addr, id)
		p.record(name, id, self, old, err)
		var others []Peer
		for id, addr := range self.Addresses {
			others = append(others, decodePeer(raft.ServerID(id), raft.ServerAddress(addr)))
		}
		p.follow(others)
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// fetch asks a node for itself. One of the version before only tells its status.
func (p *peers) fetch(addr, id string) (self storeapi.PeerStatus, old bool, err error) {
	ctx, cancel := context.WithTimeout(p.ctx, askTime)
	defer cancel()
	err = p.client.CallNode(ctx, addr, http.MethodGet, "/self?from="+url.QueryEscape(id), nil, &self)
	var said *storeapi.StatusError
	if !errors.As(err, &said) || said.StatusCode != http.StatusNotFound {
		return self, false, err
	}
	var st storeapi.Status
	if err = p.client.CallNode(ctx, addr, http.MethodGet, "/status", nil, &st); err != nil {
		return self, true, err
	}
	self.ID, self.Cluster, self.State = st.Node, st.Cluster, peerServing
	self.Mark.LastIndex, self.AppliedIndex = st.LastIndex, st.AppliedIndex
	return self, true, nil
}

func (p *peers) record(name, asker string, self storeapi.PeerStatus, old bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asker != p.store.memberID() {
		return // it was said of another disk
	}
	defer func() {
		close(p.changed)
		p.changed = make(chan struct{})
	}()
	if err != nil {
		h := p.reports[name]
		h.err = err
		p.reports[name] = h
		return
	}
	if own := p.store.identity.get(); own != "" && self.Cluster != "" && own != self.Cluster {
		p.store.identity.addForeign(name, self.Cluster, p.store.log)
	} else {
		p.store.identity.removeForeign(name)
		if disk := diskidentity.MemberDisk(self.ID); disk != "" {
			was, known := p.observed[self.ID]
			if now := was.Max(self.Mark); now != was && (known || len(p.observed) < ledgerMost) {
				p.observed[self.ID], p.unsaved = now, true
			}
		}
	}
	p.reports[name] = peerReport{PeerStatus: self, receivedAt: time.Now(), legacy: old}
}

// forgetReports drops what was said of a disk that this node no longer has.
func (p *peers) forgetReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.reports)
}

// lastReport is what a node said last, and whether that was just now.
func (p *peers) lastReport(name string) (h peerReport, now bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h = p.reports[name]
	return h, !h.receivedAt.IsZero() && time.Since(h.receivedAt) < heardTime
}

// checksums are what the other voters said of their states of late, and how many voters there are.
func (p *peers) checksums(conf raft.Configuration, own string) (list []kv.ChecksumHistory, voters int) {
	for _, x := range conf.Servers {
		id := string(x.ID)
		if x.Suffrage != raft.Voter {
			continue
		}
		voters++
		if h, now := p.lastReport(diskidentity.MemberName(id)); id != own && now && h.ID == id {
			list = append(list, h.Checksums)
		}
	}
	return list, voters
}

// attestations are the answers that count at a start; all tells whether each node was asked at
// least once, and answered or could not.
func (p *peers) attestations() (words map[string]diskidentity.Attestation, all bool, news <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	words, all = map[string]diskidentity.Attestation{}, true
	for name := range p.targets {
		if h := p.reports[name]; h.receivedAt.IsZero() && h.err == nil {
			all = false
		}
	}
	for name, h := range p.reports {
		if !h.receivedAt.IsZero() && !h.legacy && time.Since(h.receivedAt) < heardTime {
			words[name] = h.Attestation
		}
	}
	return words, all, p.changed
}

// observedWatermark is the most that was seen of a disk.
func (p *peers) observedWatermark(id string) *diskidentity.Watermark {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.observed[id]; ok {
		return &m
	}
	return nil
}

// saveWatermarks writes the ledger to this node's disk, if it changed.
func (p *peers) saveWatermarks(l *incarnation) {
	p.mu.Lock()
	var text []byte
	if p.unsaved {
		text, _ = json.Marshal(p.observed) // numbers under names
		p.unsaved = false
	}
	p.mu.Unlock()
	if text == nil {
		return
	}
	if err := l.storage.PutLocalUnsynced(localWatermarks, text); err != nil {
		p.store.log.Warn("marks of other disks not kept", zap.Error(err))
	}
}

// loadWatermarks takes what this node's disk remembers of others.
func (p *peers) loadWatermarks(l watermarks) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, m := range l {
		p.observed[id] = p.observed[id].Max(m)
	}
}

// requestJoin asks the cluster for a place, at each node that serves until one says yes.
func (p *peers) requestJoin(ctx context.Context, l *incarnation) error {
	ask := storeapi.JoinRequest{ID: l.memberID, RaftAddress: p.store.self.Raft, AdminAddress: p.store.self.Admin, Zone: p.store.self.Zone, SupportsLeases: true}
	text, err := json.Marshal(ask)
	if err != nil {
		return err
	}
	p.mu.Lock()
	var addrs []string
	for name, h := range p.reports {
		if h.State == peerServing && time.Since(h.receivedAt) < heardTime {
			addrs = append(addrs, p.targets[name].Admin)
		}
	}
	p.mu.Unlock()
	var refused []string
	for _, addr := range addrs {
		one, cancel := context.WithTimeout(ctx, storeapi.CommitTimeout)
		err := p.client.WithLongTimeout().CallNode(one, addr, http.MethodPost, "/members", text, nil)
		cancel()
		if err == nil {
			return nil
		}
		refused = append(refused, err.Error())
	}
	if len(refused) == 0 {
		return errors.New("no node of the cluster serves")
	}
	return fmt.Errorf("not taken in: %s", strings.Join(refused, "; "))
}
