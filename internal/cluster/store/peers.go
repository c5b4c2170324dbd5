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

// heard is the last that a peer said.
type heard struct {
	storeapi.PeerStatus
	at  time.Time // of the answer; zero if there was none
	old bool      // of the version before, which says less
	err error
}

// peers asks the other nodes, again and again, what they are: the leader decides on
// members by it, each node keeps how far it has seen the others' disks, and a node that
// starts learns whether its own is behind.
type peers struct {
	s      *Store
	client *storeclient.Client
	ctx    context.Context
	asked  sync.WaitGroup

	mu     sync.Mutex
	asking map[string]Peer // by name; each has a goroutine
	said   map[string]heard
	seen   ledger
	dirty  bool
	news   chan struct{} // closed at the next answer
}

func newPeers(ctx context.Context, s *Store) *peers {
	c := storeclient.New(nil)
	c.HTTP = &http.Client{Timeout: askTime}
	return &peers{s: s, client: c, ctx: ctx, asking: map[string]Peer{}, said: map[string]heard{}, seen: ledger{}, news: make(chan struct{})}
}

// follow asks whom the file and the configuration name. What the file says goes first.
func (p *peers) follow(list []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range append(append([]Peer(nil), p.s.cfg.Peers...), list...) {
		if x.Name == p.s.self.Name {
			continue
		}
		if own, ok := p.s.cfg.peer(x.Name); ok {
			x.Admin = own.Admin
		}
		was, known := p.asking[x.Name]
		if x.Admin == "" || known && was.Admin == x.Admin || !known && len(p.asking) >= 2*membersMost {
			continue
		}
		if p.asking[x.Name] = x; !known {
			p.asked.Add(1)
			go p.ask(x.Name)
		}
	}
}

// admin is where a node is asked.
func (p *peers) admin(name string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, ok := p.asking[name]
	return x.Admin, ok
}

func (p *peers) ask(name string) {
	defer p.asked.Done()
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		addr, _ := p.admin(name)
		id := p.s.id()
		self, old, err := p.one(addr, id)
		p.take(name, id, self, old, err)
		var others []Peer
		for id, addr := range self.Addresses {
			others = append(others, peerOf(raft.ServerID(id), raft.ServerAddress(addr)))
		}
		p.follow(others)
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// one asks a node for itself. One of the version before only tells its status.
func (p *peers) one(addr, id string) (self storeapi.PeerStatus, old bool, err error) {
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
	self.ID, self.Cluster, self.State = st.Node, st.Cluster, stateServing
	self.Mark.LastIndex, self.AppliedIndex = st.LastIndex, st.AppliedIndex
	return self, true, nil
}

func (p *peers) take(name, asker string, self storeapi.PeerStatus, old bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asker != p.s.id() {
		return // it was said of another disk
	}
	defer func() {
		close(p.news)
		p.news = make(chan struct{})
	}()
	if err != nil {
		h := p.said[name]
		h.err = err
		p.said[name] = h
		return
	}
	if own := p.s.cluster.id(); own != "" && self.Cluster != "" && own != self.Cluster {
		p.s.cluster.found(name, self.Cluster, p.s.log)
	} else {
		p.s.cluster.lost(name)
		if disk := diskidentity.MemberDisk(self.ID); disk != "" {
			was, known := p.seen[self.ID]
			if now := was.Max(self.Mark); now != was && (known || len(p.seen) < ledgerMost) {
				p.seen[self.ID], p.dirty = now, true
			}
		}
	}
	p.said[name] = heard{PeerStatus: self, at: time.Now(), old: old}
}

// forget drops what was said of a disk that this node no longer has.
func (p *peers) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.said)
}

// last is what a node said last, and whether that was just now.
func (p *peers) last(name string) (h heard, now bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h = p.said[name]
	return h, !h.at.IsZero() && time.Since(h.at) < heardTime
}

// checks are what the other voters said of their states of late, and how many voters there are.
func (p *peers) checks(conf raft.Configuration, own string) (list []kv.ChecksumHistory, voters int) {
	for _, x := range conf.Servers {
		id := string(x.ID)
		if x.Suffrage != raft.Voter {
			continue
		}
		voters++
		if h, now := p.last(diskidentity.MemberName(id)); id != own && now && h.ID == id {
			list = append(list, h.Checksums)
		}
	}
	return list, voters
}

// words are the answers that count at a start; all tells whether each node was asked at
// least once, and answered or could not.
func (p *peers) words() (words map[string]diskidentity.Attestation, all bool, news <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	words, all = map[string]diskidentity.Attestation{}, true
	for name := range p.asking {
		if h := p.said[name]; h.at.IsZero() && h.err == nil {
			all = false
		}
	}
	for name, h := range p.said {
		if !h.at.IsZero() && !h.old && time.Since(h.at) < heardTime {
			words[name] = h.Attestation
		}
	}
	return words, all, p.news
}

// of is the most that was seen of a disk.
func (p *peers) of(id string) *diskidentity.Watermark {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.seen[id]; ok {
		return &m
	}
	return nil
}

// keep writes the ledger to this node's disk, if it changed.
func (p *peers) keep(l *life) {
	p.mu.Lock()
	var text []byte
	if p.dirty {
		text, _ = json.Marshal(p.seen) // numbers under names
		p.dirty = false
	}
	p.mu.Unlock()
	if text == nil {
		return
	}
	if err := l.disk.PutLocalUnsynced(keptSeen, text); err != nil {
		p.s.log.Warn("marks of other disks not kept", zap.Error(err))
	}
}

// load takes what this node's disk remembers of others.
func (p *peers) load(l ledger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, m := range l {
		p.seen[id] = p.seen[id].Max(m)
	}
}

// join asks the cluster for a place, at each node that serves until one says yes.
func (p *peers) join(ctx context.Context, l *life) error {
	ask := storeapi.JoinRequest{ID: l.id, RaftAddress: p.s.self.Raft, AdminAddress: p.s.self.Admin, Zone: p.s.self.Zone, SupportsLeases: true}
	text, err := json.Marshal(ask)
	if err != nil {
		return err
	}
	p.mu.Lock()
	var addrs []string
	for name, h := range p.said {
		if h.State == stateServing && time.Since(h.at) < heardTime {
			addrs = append(addrs, p.asking[name].Admin)
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
