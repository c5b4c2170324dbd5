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

// life is one run of Raft over one disk, from its verdict on.
type life struct {
	s      *Store
	id     string // this member
	disk   *raftstorage.Storage
	raft   *raft.Raft
	joined atomic.Bool            // it was a member once, in this life
	refuse atomic.Pointer[string] // why it is not one yet
	failed chan error             // what ended it
	barred atomic.Uint64          // the term in which this node, as leader, has committed an entry
	view   views                  // what the leader sees of the members
	acks   *acks
}

func (l *life) leads() bool { return l.raft.State() == raft.Leader }

// conf is the latest configuration in the log. Raft itself does not tell its index.
func (l *life) conf() (raft.Configuration, uint64) {
	conf, index, err := l.disk.Configuration()
	if err != nil {
		l.fail(err)
	}
	return conf, index
}

func (l *life) member() bool {
	conf, _ := l.conf()
	_, ok := serverOf(conf, l.id)
	return ok
}

func (l *life) why() string {
	if w := l.refuse.Load(); w != nil {
		return *w
	}
	return "to be taken in"
}

func (l *life) fail(err error) {
	select {
	case l.failed <- err:
	default:
	}
}

// errRemoved ends the life of a member that the others have removed.
var errRemoved = errors.New("the others have removed this disk from the members")

// errApart ends the life of a node that has made something else of the log than most others.
// Its log may be the same by now: all that it has is given up.
var errApart = errors.New("the state differs from that of most other nodes")

// errReplaced ends the life of a member of a cluster that was recovered as another.
var errReplaced = errors.New("the cluster was recovered as another")

// live waits until the disk may take part, and has it do so until it fails, this node is
// removed, or the store ends. It closes the disk.
func (s *Store) live(disk *raftstorage.Storage) (err error) {
	defer func() {
		s.started.Store(nil)
		if cerr := disk.Close(); cerr != nil && err == nil && s.ctx.Err() == nil {
			err = fmt.Errorf("close folder: %w", cerr)
		}
	}()
	id, err := readClusterID(disk)
	if err != nil {
		return err
	}
	s.cluster.set(id)
	f, err := s.readFolder(disk)
	if err != nil {
		return err
	}
	seen, err := readLedger(disk)
	if err != nil {
		return err
	}
	s.peers.load(seen)
	s.peers.forget()
	s.started.Store(f)
	conf, _, err := disk.Configuration()
	if err != nil {
		return err
	}
	s.followAll(conf)
	f, verdict, err := s.decide(f)
	if err != nil {
		return err
	}
	return s.take(f, verdict)
}

// followAll asks all members of a configuration from now on.
func (s *Store) followAll(conf raft.Configuration) {
	var list []Peer
	for _, x := range conf.Servers {
		list = append(list, peerOf(x.ID, x.Address))
	}
	s.peers.follow(list)
}

// decide asks the others until it is known what the disk may do.
func (s *Store) decide(f *folder) (*folder, diskidentity.Verdict, error) {
	for {
		words, all, news := s.peers.words()
		verdict, why := diskidentity.Decide(f.own, words)
		if !all && verdict != diskidentity.VerdictRenew {
			verdict, why = diskidentity.VerdictWait, "the other nodes to be asked"
		}
		if verdict != diskidentity.VerdictWait {
			s.log.Info("disk looked at", zap.String("id", f.own.ID), zap.Stringer("verdict", verdict), zap.String("why", why))
		}
		switch verdict {
		case diskidentity.VerdictWait:
			if all {
				s.waiting(why)
			}
		case diskidentity.VerdictRenew:
			id, err := renew(f.disk, s.self.Name)
			if err != nil {
				return f, verdict, err
			}
			s.log.Warn("disk can't be trusted with its vote: it becomes a new member", zap.String("was", f.own.ID), zap.String("id", id), zap.String("why", why))
			g := *f // others look at the first
			g.own.ID = id
			s.started.Store(&g)
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

// take starts Raft under a verdict, and returns when the life is over.
func (s *Store) take(f *folder, verdict diskidentity.Verdict) error {
	l := &life{s: s, id: f.own.ID, disk: f.disk, failed: make(chan error, 1)}
	guard := f.disk.FailStop(l.fail)
	w, err := listenWire(s.self.Raft, l.id, s.cluster.id, s.cfg.peer)
	if err != nil {
		return err
	}
	out := &zapio.Writer{Log: s.log.Named("raft"), Level: zap.InfoLevel}
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(l.id)
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout = electionTime, electionTime, electionTime
	rc.SnapshotThreshold = snapshotAfter
	rc.BatchApplyCh, rc.MaxAppendEntries = true, batchMost
	rc.ShutdownOnRemove = false // this node decides itself what becomes of it
	rc.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Error, Output: out, DisableTime: true})
	transport := newAcks(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: w, MaxPool: transportConns,
		Timeout: transportTime, Logger: rc.Logger}))
	l.acks = transport
	defer func() { transport.Close(); transport.CloseStreams() }()
	if verdict == diskidentity.VerdictBootstrap {
		conf, err := s.founding(l)
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
		return errors.Join(errors.New("start raft"), err, l.reason())
	}
	term := l.raft.CurrentTerm
	transport.term.Store(&term)
	s.now.Store(l)
	ctx, cancel := context.WithCancel(s.ctx)
	var beside sync.WaitGroup
	beside.Go(func() { s.keepCluster(ctx, l) })
	beside.Go(func() { s.lead(ctx, l) })
	beside.Go(func() { s.keepLeases(ctx, l) })
	err = s.tend(ctx, l, verdict)
	s.now.CompareAndSwap(l, nil)
	cancel()
	stopped := make(chan struct{})
	go func() { l.raft.Shutdown().Error(); close(stopped) }()
	<-stopped
	beside.Wait()
	s.peers.keep(l)
	return err
}

// reason is what ended it before it began.
func (l *life) reason() error {
	select {
	case err := <-l.failed:
		return err
	default:
		return nil
	}
}

// founding is the first configuration: all founders with their disks.
func (s *Store) founding(l *life) (conf raft.Configuration, err error) {
	for _, p := range s.cfg.Peers {
		id := l.id
		if p.Name != s.self.Name {
			h, now := s.peers.last(p.Name)
			if !now || !h.Fresh {
				return conf, fmt.Errorf("%s is not new any more", p.Name)
			}
			if id, p.Raft, p.Admin, p.Zone = h.ID, h.RaftAddress, h.AdminAddress, h.Zone; diskidentity.MemberName(id) != p.Name {
				return conf, fmt.Errorf("%s says that it is %s", p.Name, id)
			}
		}
		conf.Servers = append(conf.Servers, raft.Server{ID: raft.ServerID(id), Address: addressOf(p, id)})
	}
	return conf, nil
}

// tend watches over a life until it has to end: it joins, keeps what was seen of others,
// and notices that the disk failed or that the others have removed it.
func (s *Store) tend(ctx context.Context, l *life, verdict diskidentity.Verdict) error {
	l.joined.Store(verdict == diskidentity.VerdictResume || verdict == diskidentity.VerdictBootstrap)
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	var kept, asked time.Time
	unknown := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-l.failed:
			return fmt.Errorf("disk: %w", err)
		case <-tick.C:
		}
		if err := l.disk.Failed(); err != nil {
			return fmt.Errorf("disk: %w", err)
		}
		if time.Since(kept) >= ledgerTime {
			kept = time.Now()
			s.peers.keep(l)
		}
		words, _, _ := s.peers.words()
		if by := diskidentity.Successor(s.cluster.id(), words); by != "" {
			return fmt.Errorf("%w: it is %s now", errReplaced, by)
		}
		conf, index := l.conf()
		s.followAll(conf)
		if at, apart := s.state.checked().Diverged(s.peers.checks(conf, l.id)); apart {
			return errors.Join(fmt.Errorf("%w: at entry %d of the log", errApart, at), l.disk.PutLocal(keptApart, []byte("1")))
		}
		_, in := serverOf(conf, l.id)
		if in && !l.joined.Swap(true) {
			s.log.Info("taken in", zap.String("id", l.id))
		}
		if !l.joined.Load() {
			if time.Since(asked) >= joinEvery {
				asked = time.Now()
				s.tryJoin(ctx, l)
			}
			continue
		}
		if unknown++; !s.removed(l, conf, index) {
			unknown = 0
		}
		if unknown >= lostAfter {
			_, err := renew(l.disk, s.self.Name)
			return errors.Join(errRemoved, err)
		}
	}
}

// removed tells whether the others have a later configuration, without this disk.
func (s *Store) removed(l *life, conf raft.Configuration, index uint64) bool {
	if l.leads() {
		return false
	}
	if _, in := serverOf(conf, l.id); !in {
		return true // its own log says so
	}
	words, _, _ := s.peers.words()
	for _, w := range words {
		if own := s.cluster.id(); own != "" && w.Cluster != own {
			continue
		}
		if w.ConfigIndex > index && len(w.Members) > 0 && !slices.Contains(w.Members, l.id) {
			return true
		}
	}
	return false
}

// tryJoin asks for a place, and says once why it got none.
func (s *Store) tryJoin(ctx context.Context, l *life) {
	err := s.peers.join(ctx, l)
	if err == nil || ctx.Err() != nil {
		return
	}
	why := err.Error()
	if old := l.refuse.Swap(&why); old == nil || *old != why {
		s.log.Warn("store waits", zap.String("for", "a place among the members"), zap.Error(err))
	}
}
