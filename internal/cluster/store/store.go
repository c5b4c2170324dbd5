// Package store is a node of the small replicated store of the service's configuration
// and administrative state: Raft between the nodes, and a SQL database as store of
// record. It is never on the path of a request. Its admin port is internal/cluster/storeadmin,
// the client of that internal/cluster/storeclient.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/watch"
)

// CloseTimeout is how long Close takes at most.
const CloseTimeout = time.Second

const stepDownTime = time.Second // for another node to lead

const reopenEvery = time.Second // a disk that failed is tried again so often

// What a node does, for Self.State.
const (
	stateServing = "serving" // Raft runs
	stateWaiting = "waiting" // for others, or for the disk
)

// ErrNoLeader means that no leader is known, or that this node is none.
var ErrNoLeader = errors.New("no leader is known")

// ErrNotServing means that this node takes no part yet, or not any more.
var ErrNotServing = errors.New("this node takes no part in the store")

// Store is one node.
type Store struct {
	cfg    Config
	self   Peer
	log    *zap.Logger
	state  *state
	mirror *mirror
	peers  *peers
	prover *prover
	writes writes
	leases *leases

	ctx    context.Context
	stop   context.CancelFunc
	ended  chan struct{}
	closed []func()

	now     atomic.Pointer[life]
	waits   atomic.Pointer[string] // for what, while there is no life
	started atomic.Pointer[folder] // what it found on its disk at the start of this life

	knownMu sync.Mutex
	knownAt time.Time
	cluster cluster
}

// New makes a node that does nothing yet.
func New(cfg Config, log *zap.Logger) (*Store, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Store{cfg: cfg, log: log, state: newState(), ended: make(chan struct{})}
	s.self, _ = cfg.self()
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.prover = &prover{ask: s.committed}
	s.peers = newPeers(s.ctx, s)
	s.leases = newLeases(s)
	s.state.given = s.leases.given
	first := "its disk to be opened"
	s.waits.Store(&first)
	return s, nil
}

// Start opens the folder, and has the node take part as soon as it may.
func (s *Store) Start() error {
	disk, err := s.openDisk()
	if err != nil {
		close(s.ended)
		return err
	}
	if s.cfg.SQL.Driver != "" {
		s.mirror = &mirror{store: s}
	}
	go s.run(disk)
	return nil
}

// AdminAddress is where the node's admin port has to listen.
func (s *Store) AdminAddress() string { return s.self.Admin }

// Name of this node.
func (s *Store) Name() string { return s.self.Name }

// Log is the node's.
func (s *Store) Log() *zap.Logger { return s.log }

// OnClose has a function called, the last first, when the node ends.
func (s *Store) OnClose(do func()) { s.closed = append(s.closed, do) }

// run goes from life to life: one ends when the disk fails, or when this node is no
// member any more.
func (s *Store) run(disk *raftstorage.Storage) {
	defer close(s.ended)
	for s.ctx.Err() == nil {
		if err := s.live(disk); err != nil && s.ctx.Err() == nil {
			s.log.Error("this node gave up its vote and what it led", zap.Error(err))
			s.waiting(err.Error())
		}
		for disk = nil; disk == nil && s.ctx.Err() == nil; {
			var err error
			if disk, err = s.openDisk(); err != nil {
				s.waiting(fmt.Sprintf("its disk: %v", err))
				select {
				case <-s.ctx.Done():
				case <-time.After(reopenEvery):
				}
			}
		}
	}
	if disk != nil {
		disk.Close()
	}
}

// waiting says what a node without a life waits for, once.
func (s *Store) waiting(why string) {
	if old := s.waits.Swap(&why); old == nil || *old != why {
		s.log.Warn("store waits", zap.String("for", why))
	}
}

// WaitReason is what keeps this node from taking part, or "".
func (s *Store) WaitReason() string {
	if s.now.Load() != nil {
		return ""
	}
	return *s.waits.Load()
}

// Close stops the node, waiting CloseTime at most: what is committed is on disk.
func (s *Store) Close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := len(s.closed) - 1; i >= 0; i-- {
			s.closed[i]()
		}
		s.stop()
		<-s.ended
		s.peers.asked.Wait()
	}()
	select {
	case <-done:
	case <-time.After(CloseTimeout):
		s.log.Warn("store did not stop in time")
	}
}

// alive is the node's life, if it takes part.
func (s *Store) alive() (*life, error) {
	if l := s.now.Load(); l != nil {
		return l, nil
	}
	return nil, fmt.Errorf("%w: it waits for %s", ErrNotServing, *s.waits.Load())
}

// id is this node's name and disk; only the name while it has none.
func (s *Store) id() string {
	if f := s.started.Load(); f != nil {
		return f.own.ID
	}
	return s.self.Name
}

// StepDown has another node lead, if this one does: it is about to leave.
func (s *Store) StepDown() {
	l := s.now.Load()
	if l == nil || !l.leads() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepDownTime)
	defer cancel()
	if err := done(ctx, l.raft.LeadershipTransfer()); err != nil {
		s.log.Warn("leadership not handed over", zap.Error(err))
	}
}

// IsLeader tells whether this node takes itself for the leader.
func (s *Store) IsLeader() bool {
	l := s.now.Load()
	return l != nil && l.leads()
}

// Leader is the leader as this node knows it, with its id.
func (s *Store) Leader() (p Peer, id string, ok bool) {
	l := s.now.Load()
	if l == nil {
		return Peer{}, "", false
	}
	_, lead := l.raft.LeaderWithID()
	if lead == "" {
		return Peer{}, "", false
	}
	return s.where(l, string(lead)), string(lead), true
}

// where is how this node reaches a member.
func (s *Store) where(l *life, id string) Peer {
	name := diskidentity.MemberName(id)
	if name == s.self.Name {
		return s.self
	}
	p := Peer{Name: name}
	conf, _ := l.conf()
	if x, ok := serverOf(conf, id); ok {
		p = peerOf(x.ID, x.Address)
	}
	if own, ok := s.cfg.peer(name); ok { // the file goes first
		p.Raft, p.Admin = own.Raft, own.Admin
	}
	return p
}

// Status is what the node tells of itself.
func (s *Store) Status() storeapi.Status {
	st := storeapi.Status{Node: s.self.Name, Cluster: s.cluster.id(), ForeignPeers: s.cluster.foreign(), ID: s.id()}
	if l := s.now.Load(); l != nil {
		st.State, st.AppliedIndex, st.LastIndex = l.raft.State().String(), l.raft.AppliedIndex(), l.raft.LastIndex()
		if !l.member() {
			st.State, st.WaitingFor = "Joining", l.why()
		}
		if p, _, ok := s.Leader(); ok {
			st.Leader = p.Name
		}
	} else {
		st.State, st.WaitingFor = "Waiting", s.WaitReason()
	}
	if s.mirror != nil {
		st.MirroredIndex, st.SQLError = s.mirror.progress()
	}
	return st
}

// Self is what the node tells another one, which has the id. It says nothing before it
// knows its own disk.
func (s *Store) Self(asker string) (storeapi.PeerStatus, error) {
	f := s.started.Load()
	if f == nil {
		return storeapi.PeerStatus{}, fmt.Errorf("%w: it waits for %s", ErrNotServing, *s.waits.Load())
	}
	own := f.own
	out := storeapi.PeerStatus{State: stateWaiting, RaftAddress: s.self.Raft, AdminAddress: s.self.Admin, Zone: s.self.Zone}
	out.ID, out.Cluster, out.SupportsLeases = own.ID, s.cluster.id(), true
	out.Mark, out.Fresh = own.Watermark, own.Fresh
	out.ConfigIndex, out.Members, out.Voters, out.Addresses = own.ConfigIndex, own.Members, own.Voters, f.addresses
	if l := s.now.Load(); l != nil {
		out.State, out.AppliedIndex, out.Checksums = stateServing, l.raft.AppliedIndex(), s.state.checked()
		if m, err := l.disk.Watermark(); err == nil {
			out.Mark = m.Max(own.Watermark)
		}
		conf, index := l.conf()
		out.ConfigIndex = index
		out.Members, out.Voters = idsOf(conf)
		out.Addresses = addressesOf(conf)
		out.Fresh = own.Fresh && out.Mark.LastIndex == 0
	}
	if e, ok := s.state.get(kv.PreviousClustersKey); ok {
		json.Unmarshal(e.Value, &out.PreviousClusters) // this package wrote it
	}
	out.LastObserved = s.peers.of(asker)
	return out, nil
}

// GoodVersion is a version of a key that the service has used.
type GoodVersion struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// SaveLastGood remembers on this node's own disk which version of a key is good, for a start
// at which the other nodes are away.
func (s *Store) SaveLastGood(key string, g GoodVersion) error {
	l, err := s.alive()
	if err != nil {
		return err
	}
	text, err := json.Marshal(g)
	if err == nil {
		err = l.disk.PutLocal(key, text)
	}
	if err != nil {
		return fmt.Errorf("keep %s: %w", key, err)
	}
	return nil
}

// LastGood is what Keep was last given. It can be had before the node takes part.
func (s *Store) LastGood(key string) (g GoodVersion, found bool, err error) {
	f := s.started.Load()
	if f == nil {
		return g, false, nil
	}
	text, err := f.disk.GetLocal(key)
	if err != nil || text == nil {
		return g, false, err
	}
	err = json.Unmarshal(text, &g)
	return g, err == nil, err
}

// OnChange has call told of each change from now on, in order; value is nil for a
// key that was deleted. It must not block.
func (s *Store) OnChange(call func(key string, value json.RawMessage)) { s.state.watch(call) }

// Entry is a key with its revision, as this node knows it.
func (s *Store) Entry(key string) (kv.Entry, bool) { return s.state.get(key) }

// Entries is every key, and the revision at which they were so, as this node knows them.
func (s *Store) Entries() (map[string]kv.Entry, uint64) { return s.state.all() }

// RevisionsSince gives the revisions from a position on, the position to go on from, and a
// channel that is closed once there is more.
func (s *Store) RevisionsSince(from uint64, prefix string, p watch.Page) (list []watch.Revision, next uint64, more <-chan struct{}, err error) {
	return s.state.follow(from, prefix, p)
}

// AppliedRevision is the last revision that this node knows.
func (s *Store) AppliedRevision() uint64 {
	applied, _ := s.state.progress()
	return applied
}

// Get reads a key as this node knows it, however old that is.
func (s *Store) Get(key string) (json.RawMessage, bool) {
	e, ok := s.state.get(key)
	return e.Value, ok
}

// WaitCaughtUp waits until this node knows all that was committed when it asked, and
// reports whether it does.
func (s *Store) WaitCaughtUp(ctx context.Context) bool {
	for {
		if _, err := s.WaitFresh(ctx, Freshness{}); err == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(50 * time.Millisecond):
		}
	}
}

var _ raft.StreamLayer = (*wire)(nil)
