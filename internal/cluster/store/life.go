package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"go.uber.org/zap"
	"go.uber.org/zap/zapio"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

const (
	electionTime   = 500 * time.Millisecond
	snapshotAfter  = 1024 // log entries
	batchMost      = 512  // entries that share a sync and a message
	transportConns = 3
	transportTime  = 2 * time.Second
	joinEvery      = 500 * time.Millisecond
	lostAfter      = 3 // answers that know of no such member, before a node believes it
)

// incarnation is one run of Raft over one disk, from its verdict on.
type incarnation struct {
	store       *Store
	memberID    string // this member
	storage     *raftstorage.Storage
	raft        *raft.Raft
	wasMember   atomic.Bool            // it was a member once, in this life
	joinRefusal atomic.Pointer[string] // why it is not one yet
	failure     chan error             // what ended it
	barrierTerm atomic.Uint64          // the term in which this node, as leader, has committed an entry
	members     leaderView             // what the leader sees of the members
	transport   *ackTransport
}

func (l *incarnation) isLeader() bool { return l.raft.State() == raft.Leader }

// configuration is the latest configuration in the log. Raft itself does not tell its index.
func (l *incarnation) configuration() (raft.Configuration, uint64) {
	conf, index, err := l.storage.Configuration()
	if err != nil {
		l.reportFailure(err)
	}
	return conf, index
}

func (l *incarnation) isMember() bool {
	conf, _ := l.configuration()
	_, ok := findServer(conf, l.memberID)
	return ok
}

func (l *incarnation) joinWaitReason() string {
	if w := l.joinRefusal.Load(); w != nil {
		return *w
	}
	return "to be taken in"
}

func (l *incarnation) reportFailure(err error) {
	select {
	case l.failure <- err:
	default:
	}
}

// errRemoved ends the life of a member that the others have removed.
var errRemoved = errors.New("the others have removed this disk from the members")

// errDiverged ends the life of a node that has made something else of the log than most others.
// Its log may be the same by now: all that it has is given up.
var errDiverged = errors.New("the state differs from that of most other nodes")

// errClusterReplaced ends the life of a member of a cluster that was recovered as another.
var errClusterReplaced = errors.New("the cluster was recovered as another")

// runIncarnation waits until the disk may take part, and has it do so until it fails, this node is
// removed, or the store ends. It closes the disk.
func (s *Store) runIncarnation(disk *raftstorage.Storage) (err error) {
	defer func() {
		s.folder.Store(nil)
		if cerr := disk.Close(); cerr != nil && err == nil && s.ctx.Err() == nil {
			err = fmt.Errorf("close folder: %w", cerr)
		}
	}()
	id, err := readClusterID(disk)
	if err != nil {
		return err
	}
	s.identity.set(id)
	f, err := s.readFolder(disk)
	if err != nil {
		return err
	}
	seen, err := readWatermarks(disk)
	if err != nil {
		return err
	}
	s.peers.loadWatermarks(seen)
	s.peers.forgetReports()
	s.folder.Store(f)
	conf, _, err := disk.Configuration()
	if err != nil {
		return err
	}
	s.followMembers(conf)
	f, verdict, err := s.awaitVerdict(f)
	if err != nil {
		return err
	}
	return s.runRaft(f, verdict)
}

// followMembers asks all members of a configuration from now on.
func (s *Store) followMembers(conf raft.Configuration) {
	var list []Peer
	for _, x := range conf.Servers {
		list = append(list, decodePeer(x.ID, x.Address))
	}
	s.peers.follow(list)
}

// awaitVerdict asks the others until it is known what the disk may do.
func (s *Store) awaitVerdict(f *nodeFolder) (*nodeFolder, diskidentity.Verdict, error) {
	for {
		words, all, news := s.peers.attestations()
		verdict, why := diskidentity.Decide(f.local, words)
		if !all && verdict != diskidentity.VerdictRenew {
			verdict, why = diskidentity.VerdictWait, "the other nodes to be asked"
		}
		if verdict != diskidentity.VerdictWait {
			s.log.Info("disk looked at", zap.String("id", f.local.ID), zap.Stringer("verdict", verdict), zap.String("why", why))
		}
		switch verdict {
		case diskidentity.VerdictWait:
			if all {
				s.setWaitReason(why)
			}
		case diskidentity.VerdictRenew:
			id, err := renewIdentity(f.storage, s.self.Name)
			if err != nil {
				return f, verdict, err
			}
			s.log.Warn("disk can't be trusted with its vote: it becomes a new member", zap.String("was", f.local.ID), zap.String("id", id), zap.String("why", why))
			g := *f // others look at the first
			g.local.ID = id
			s.folder.Store(&g)
			return &g, diskidentity.VerdictJoin, nil
		default:
			return f, verdict, nil
		}
		select {
		case <-s.ctx.Done():
			return f, verdict, s.ctx.Err()
		case <-news:
		case <-time.After(askEvery): // what was said grows old
		}
	}
}

// runRaft starts Raft under a verdict, and returns when the life is over.
func (s *Store) runRaft(f *nodeFolder, verdict diskidentity.Verdict) error {
	l := &incarnation{store: s, memberID: f.local.ID, storage: f.storage, failure: make(chan error, 1)}
	guard := f.storage.FailStop(l.reportFailure)
	w, err := listenPeers(s.self.Raft, l.memberID, s.identity.get, s.cfg.configuredPeer)
	if err != nil {
		return err
	}
	out := &zapio.Writer{Log: s.log.Named("raft"), Level: zap.InfoLevel}
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(l.memberID)
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout = electionTime, electionTime, electionTime
	rc.SnapshotThreshold = snapshotAfter
	rc.BatchApplyCh, rc.MaxAppendEntries = true, batchMost
	rc.ShutdownOnRemove = false // this node decides itself what becomes of it
	rc.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Error, Output: out, DisableTime: true})
	transport := newAckTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: w, MaxPool: transportConns,
		Timeout: transportTime, Logger: rc.Logger}))
	l.transport = transport
	defer func() { transport.Close(); transport.CloseStreams() }()
	if verdict == diskidentity.VerdictBootstrap {
		conf, err := s.bootstrapConfiguration(l)
		if err == nil {
			err = raft.BootstrapCluster(rc, guard, guard, guard, transport, conf)
		}
		if err != nil {
			return fmt.Errorf("make the cluster: %w", err)
		}
	}
	s.state.reset()
	made := make(chan error, 1)
	go func() { // a guard may end the goroutine
		defer close(made)
		var err error
		l.raft, err = raft.NewRaft(rc, s.state, guard, guard, guard, transport)
		made <- err
	}()
	if err, ok := <-made; err != nil || !ok {
		return errors.Join(errors.New("start raft"), err, l.startFailure())
	}
	term := l.raft.CurrentTerm
	transport.currentTerm.Store(&term)
	s.current.Store(l)
	ctx, cancel := context.WithCancel(s.ctx)
	var beside sync.WaitGroup
	beside.Go(func() { s.maintainClusterID(ctx, l) })
	beside.Go(func() { s.manageMembers(ctx, l) })
	beside.Go(func() { s.manageLeases(ctx, l) })
	err = s.supervise(ctx, l, verdict)
	s.current.CompareAndSwap(l, nil)
	cancel()
	stopped := make(chan struct{})
	go func() { l.raft.Shutdown().Error(); close(stopped) }()
	<-stopped
	beside.Wait()
	s.peers.saveWatermarks(l)
	return err
}

// startFailure is what ended it before it began.
func (l *incarnation) startFailure() error {
	select {
	case err := <-l.failure:
		return err
	default:
		return nil
	}
}

// bootstrapConfiguration is the first configuration: all founders with their disks.
func (s *Store) bootstrapConfiguration(l *incarnation) (conf raft.Configuration, err error) {
	for _, p := range s.cfg.Peers {
		id := l.memberID
		if p.Name != s.self.Name {
			h, now := s.peers.lastReport(p.Name)
			if !now || !h.Fresh {
				return conf, fmt.Errorf("%s is not new any more", p.Name)
			}
			if id, p.Raft, p.Admin, p.Zone = h.ID, h.RaftAddress, h.AdminAddress, h.Zone; diskidentity.MemberName(id) != p.Name {
				return conf, fmt.Errorf("%s says that it is %s", p.Name, id)
			}
		}
		conf.Servers = append(conf.Servers, raft.Server{ID: raft.ServerID(id), Address: encodeAddress(p, id)})
	}
	return conf, nil
}

// supervise watches over a life until it has to end: it joins, keeps what was seen of others,
// and notices that the disk failed or that the others have removed it.
func (s *Store) supervise(ctx context.Context, l *incarnation, verdict diskidentity.Verdict) error {
	l.wasMember.Store(verdict == diskidentity.VerdictResume || verdict == diskidentity.VerdictBootstrap)
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	var kept, asked time.Time
	unknown := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-l.failure:
			return fmt.Errorf("disk: %w", err)
		case <-tick.C:
		}
		if err := l.storage.Failed(); err != nil {
			return fmt.Errorf("disk: %w", err)
		}
		if time.Since(kept) >= ledgerTime {
			kept = time.Now()
			s.peers.saveWatermarks(l)
		}
		words, _, _ := s.peers.attestations()
		if by := diskidentity.Successor(s.identity.get(), words); by != "" {
			return fmt.Errorf("%w: it is %s now", errClusterReplaced, by)
		}
		conf, index := l.configuration()
		s.followMembers(conf)
		if at, apart := s.state.recentChecksums().Diverged(s.peers.checksums(conf, l.memberID)); apart {
			return errors.Join(fmt.Errorf("%w: at entry %d of the log", errDiverged, at), l.storage.PutLocal(localDiverged, []byte("1")))
		}
		_, in := findServer(conf, l.memberID)
		if in && !l.wasMember.Swap(true) {
			s.log.Info("taken in", zap.String("id", l.memberID))
		}
		if !l.wasMember.Load() {
			if time.Since(asked) >= joinEvery {
				asked = time.Now()
				s.tryJoin(ctx, l)
			}
			continue
		}
		if unknown++; !s.isRemoved(l, conf, index) {
			unknown = 0
		}
		if unknown >= lostAfter {
			_, err := renewIdentity(l.storage, s.self.Name)
			return errors.Join(errRemoved, err)
		}
	}
}

// isRemoved tells whether the others have a later configuration, without this disk.
func (s *Store) isRemoved(l *incarnation, conf raft.Configuration, index uint64) bool {
	if l.isLeader() {
		return false
	}
	if _, in := findServer(conf, l.memberID); !in {
		return true // its own log says so
	}
	words, _, _ := s.peers.attestations()
	for _, w := range words {
		if own := s.identity.get(); own != "" && w.Cluster != own {
			continue
		}
		if w.ConfigIndex > index && len(w.Members) > 0 && !slices.Contains(w.Members, l.memberID) {
			return true
		}
	}
	return false
}

// tryJoin asks for a place, and says once why it got none.
func (s *Store) tryJoin(ctx context.Context, l *incarnation) {
	err := s.peers.requestJoin(ctx, l)
	if err == nil || ctx.Err() != nil {
		return
	}
	why := err.Error()
	if old := l.joinRefusal.Swap(&why); old == nil || *old != why {
		s.log.Warn("store waits", zap.String("for", "a place among the members"), zap.Error(err))
	}
}
