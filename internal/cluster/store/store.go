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
	peerServing = "serving" // Raft runs
	peerWaiting = "waiting" // for others, or for the disk
)

// ErrNoLeader means that no leader is known, or that this node is none.
var ErrNoLeader = errors.New("no leader is known")

// ErrNotServing means that this node takes no part yet, or not any more.
var ErrNotServing = errors.New("this node takes no part in the store")

// Store is one node.
type Store struct {
	cfg        Config
	self       Peer
	log        *zap.Logger
	state      *replicatedState
	mirror     *sqlMirror
	peers      *peers
	readProver *prover
	pending    pendingWrites
	leases     *leaseService

	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	onClose []func()

	current    atomic.Pointer[incarnation]
	waitReason atomic.Pointer[string]     // for what, while there is no life
	folder     atomic.Pointer[nodeFolder] // what it found on its disk at the start of this life

	freshMu  sync.Mutex
	freshAt  time.Time
	identity clusterIdentity
}

// New makes a node that does nothing yet.
func New(cfg Config, log *zap.Logger) (*Store, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Store{cfg: cfg, log: log, state: newReplicatedState(), done: make(chan struct{})}
	s.self, _ = cfg.self()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.readProver = &prover{readIndex: s.committedIndex}
	s.peers = newPeers(s.ctx, s)
	s.leases = newLeaseService(s)
	s.state.onLeaseGranted = s.leases.granted
	first := "its disk to be opened"
	s.waitReason.Store(&first)
	return s, nil
}

// Start opens the folder, and has the node take part as soon as it may.
func (s *Store) Start() error {
	disk, err := s.openStorage()
	if err != nil {
		close(s.done)
		return err
	}
	if s.cfg.SQL.Driver != "" {
		s.mirror = &sqlMirror{store: s}
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
func (s *Store) OnClose(do func()) { s.onClose = append(s.onClose, do) }

// run goes from life to life: one ends when the disk fails, or when this node is no
// member any more.
func (s *Store) run(disk *raftstorage.Storage) {
	defer close(s.done)
	for s.ctx.Err() == nil {
		if err := s.runIncarnation(disk); err != nil && s.ctx.Err() == nil {
			s.log.Error("this node gave up its vote and what it led", zap.Error(err))
			s.setWaitReason(err.Error())
		}
		for disk = nil; disk == nil && s.ctx.Err() == nil; {
			var err error
			if disk, err = s.openStorage(); err != nil {
				s.setWaitReason(fmt.Sprintf("its disk: %v", err))
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

// setWaitReason says what a node without a life waits for, once.
func (s *Store) setWaitReason(why string) {
	if old := s.waitReason.Swap(&why); old == nil || *old != why {
		s.log.Warn("store waits", zap.String("for", why))
	}
}

// WaitReason is what keeps this node from taking part, or "".
func (s *Store) WaitReason() string {
	if s.current.Load() != nil {
		return ""
	}
	return *s.waitReason.Load()
}

// Close stops the node, waiting CloseTime at most: what is committed is on disk.
func (s *Store) Close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := len(s.onClose) - 1; i >= 0; i-- {
			s.onClose[i]()
		}
		s.cancel()
		<-s.done
		s.peers.pollers.Wait()
	}()
	select {
	case <-done:
	case <-time.After(CloseTimeout):
		s.log.Warn("store did not stop in time")
	}
}

// running is the node's life, if it takes part.
func (s *Store) running() (*incarnation, error) {
	if l := s.current.Load(); l != nil {
		return l, nil
	}
	return nil, fmt.Errorf("%w: it waits for %s", ErrNotServing, *s.waitReason.Load())
}

// memberID is this node's name and disk; only the name while it has none.
func (s *Store) memberID() string {
	if f := s.folder.Load(); f != nil {
		return f.local.ID
	}
	return s.self.Name
}

// StepDown has another node lead, if this one does: it is about to leave.
func (s *Store) StepDown() {
	l := s.current.Load()
	if l == nil || !l.isLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepDownTime)
	defer cancel()
	if err := awaitFuture(ctx, l.raft.LeadershipTransfer()); err != nil {
		s.log.Warn("leadership not handed over", zap.Error(err))
	}
}

// IsLeader tells whether this node takes itself for the leader.
func (s *Store) IsLeader() bool {
	l := s.current.Load()
	return l != nil && l.isLeader()
}

// Leader is the leader as this node knows it, with its id.
func (s *Store) Leader() (p Peer, id string, ok bool) {
	l := s.current.Load()
	if l == nil {
		return Peer{}, "", false
	}
	_, lead := l.raft.LeaderWithID()
	if lead == "" {
		return Peer{}, "", false
	}
	return s.locate(l, string(lead)), string(lead), true
}

// locate is how this node reaches a member.
func (s *Store) locate(l *incarnation, id string) Peer {
	name := diskidentity.MemberName(id)
	if name == s.self.Name {
		return s.self
	}
	p := Peer{Name: name}
	conf, _ := l.configuration()
	if x, ok := findServer(conf, id); ok {
		p = decodePeer(x.ID, x.Address)
	}
	if own, ok := s.cfg.configuredPeer(name); ok { // the file goes first
		p.Raft, p.Admin = own.Raft, own.Admin
	}
	return p
}

// Status is what the node tells of itself.
func (s *Store) Status() storeapi.Status {
	st := storeapi.Status{Node: s.self.Name, Cluster: s.identity.get(), ForeignPeers: s.identity.foreignNames(), ID: s.memberID()}
	if l := s.current.Load(); l != nil {
		st.State, st.AppliedIndex, st.LastIndex = l.raft.State().String(), l.raft.AppliedIndex(), l.raft.LastIndex()
		if !l.isMember() {
			st.State, st.WaitingFor = "Joining", l.joinWaitReason()
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
	f := s.folder.Load()
	if f == nil {
		return storeapi.PeerStatus{}, fmt.Errorf("%w: it waits for %s", ErrNotServing, *s.waitReason.Load())
	}
	own := f.local
	out := storeapi.PeerStatus{State: peerWaiting, RaftAddress: s.self.Raft, AdminAddress: s.self.Admin, Zone: s.self.Zone}
	out.ID, out.Cluster, out.SupportsLeases = own.ID, s.identity.get(), true
	out.Mark, out.Fresh = own.Watermark, own.Fresh
	out.ConfigIndex, out.Members, out.Voters, out.Addresses = own.ConfigIndex, own.Members, own.Voters, f.addresses
	if l := s.current.Load(); l != nil {
		out.State, out.AppliedIndex, out.Checksums = peerServing, l.raft.AppliedIndex(), s.state.recentChecksums()
		if m, err := l.storage.Watermark(); err == nil {
			out.Mark = m.Max(own.Watermark)
		}
		conf, index := l.configuration()
		out.ConfigIndex = index
		out.Members, out.Voters = memberIDs(conf)
		out.Addresses = memberAddresses(conf)
		out.Fresh = own.Fresh && out.Mark.LastIndex == 0
	}
	if e, ok := s.state.get(kv.PreviousClustersKey); ok {
		json.Unmarshal(e.Value, &out.PreviousClusters) // this package wrote it
	}
	out.LastObserved = s.peers.observedWatermark(asker)
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
	l, err := s.running()
	if err != nil {
		return err
	}
	text, err := json.Marshal(g)
	if err == nil {
		err = l.storage.PutLocal(key, text)
	}
	if err != nil {
		return fmt.Errorf("keep %s: %w", key, err)
	}
	return nil
}

// LastGood is what Keep was last given. It can be had before the node takes part.
func (s *Store) LastGood(key string) (g GoodVersion, found bool, err error) {
	f := s.folder.Load()
	if f == nil {
		return g, false, nil
	}
	text, err := f.storage.GetLocal(key)
	if err != nil || text == nil {
		return g, false, err
	}
	err = json.Unmarshal(text, &g)
	return g, err == nil, err
}

// OnChange has call told of each change from now on, in order; value is nil for a
// key that was deleted. It must not block.
func (s *Store) OnChange(call func(key string, value json.RawMessage)) { s.state.listen(call) }

// Entry is a key with its revision, as this node knows it.
func (s *Store) Entry(key string) (kv.Entry, bool) { return s.state.get(key) }

// Entries is every key, and the revision at which they were so, as this node knows them.
func (s *Store) Entries() (map[string]kv.Entry, uint64) { return s.state.entries() }

// RevisionsSince gives the revisions from a position on, the position to go on from, and a
// channel that is closed once there is more.
func (s *Store) RevisionsSince(from uint64, prefix string, p watch.Page) (list []watch.Revision, next uint64, more <-chan struct{}, err error) {
	return s.state.revisionsSince(from, prefix, p)
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

var _ raft.StreamLayer = (*peerTransport)(nil)
