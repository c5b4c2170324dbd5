package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"go.uber.org/zap"
	"go.uber.org/zap/zapio"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

const (
	// electionTimeout is also the heartbeat timeout and the leader lease timeout. It is short, as all nodes
	// communicate over loopback (checkLoopback).
	electionTimeout = 500 * time.Millisecond
	// snapshotThreshold is the number of log entries after which Raft takes a snapshot.
	snapshotThreshold = 1024
	// maxAppendEntries is the maximum number of entries in one disk sync and in one message.
	maxAppendEntries = 512
	// maxPooledConns is how many idle connections to each peer are kept open.
	maxPooledConns = 3
	// transportTimeout bounds the I/O of one message between peers.
	transportTimeout = 2 * time.Second
)

var errStartRaft = errors.New("start raft")

// runRaft starts Raft according to a verdict, and returns the error that ended the incarnation.
func (s *Store) runRaft(disk *diskState, verdict diskidentity.Verdict) error {
	inc := &incarnation{store: s, memberID: disk.local.ID, storage: disk.storage, failure: make(chan error, 1)}
	listener, err := listenPeers(s.self.Raft, inc.memberID, s.clusterID.get, s.cfg.configuredPeer)
	if err != nil {
		return err
	}
	conf := s.raftConfig(inc.memberID)
	inc.transport = newAckTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  listener,
		MaxPool: maxPooledConns,
		Timeout: transportTimeout,
		Logger:  conf.Logger,
	}))
	defer func() {
		inc.transport.Close()
		inc.transport.CloseStreams()
	}()
	if err := s.startRaft(inc, conf, verdict); err != nil {
		return err
	}
	return s.runServices(inc, verdict)
}

func (s *Store) raftConfig(memberID string) *raft.Config {
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(memberID)
	conf.HeartbeatTimeout = electionTimeout
	conf.ElectionTimeout = electionTimeout
	conf.LeaderLeaseTimeout = electionTimeout
	conf.SnapshotThreshold = snapshotThreshold
	conf.BatchApplyCh = true
	conf.MaxAppendEntries = maxAppendEntries
	conf.ShutdownOnRemove = false // supervise ends the incarnation of a removed member
	logWriter := &zapio.Writer{Log: s.log.Named("raft"), Level: zap.InfoLevel}
	conf.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Error, Output: logWriter, DisableTime: true})
	return conf
}

// startRaft bootstraps the cluster if the verdict is VerdictBootstrap, and starts Raft, which replays the
// log.
func (s *Store) startRaft(inc *incarnation, conf *raft.Config, verdict diskidentity.Verdict) error {
	storage := inc.storage.WithFailStop(inc.reportFailure)
	if verdict == diskidentity.VerdictBootstrap {
		if err := s.bootstrap(inc, conf, storage); err != nil {
			return fmt.Errorf("make the cluster: %w", err)
		}
	}
	s.state.reset()
	started := make(chan error, 1)
	go func() { // a storage failure may terminate this goroutine before it sends a result
		defer close(started)
		var err error
		inc.raft, err = raft.NewRaft(conf, s.state, storage, storage, storage, inc.transport)
		started <- err
	}()
	if err, ok := <-started; err != nil || !ok {
		return errors.Join(errStartRaft, err, inc.takeFailure())
	}
	term := inc.raft.CurrentTerm
	inc.transport.currentTerm.Store(&term)
	return nil
}

func (s *Store) bootstrap(inc *incarnation, conf *raft.Config, storage *raftstorage.FailStopStorage) error {
	members, err := s.bootstrapConfiguration(inc)
	if err != nil {
		return err
	}
	return raft.BootstrapCluster(conf, storage, storage, storage, inc.transport, members)
}

// bootstrapConfiguration returns the first configuration of a new cluster: all initial members with their
// disks.
func (s *Store) bootstrapConfiguration(inc *incarnation) (conf raft.Configuration, err error) {
	for _, p := range s.cfg.Peers {
		id := inc.memberID
		if p.Name != s.self.Name {
			report, recent := s.peers.lastReport(p.Name)
			if !recent || !report.Fresh {
				return conf, fmt.Errorf("%s is not new any more", p.Name)
			}
			id = report.ID
			p.Raft = report.RaftAddress
			p.Admin = report.AdminAddress
			p.Zone = report.Zone
			if diskidentity.MemberName(id) != p.Name {
				return conf, fmt.Errorf("%s says that it is %s", p.Name, id)
			}
		}
		conf.Servers = append(conf.Servers, raft.Server{ID: raft.ServerID(id), Address: encodeAddress(p, id)})
	}
	return conf, nil
}

// runServices runs the services that accompany Raft until the incarnation ends.
func (s *Store) runServices(inc *incarnation, verdict diskidentity.Verdict) error {
	s.current.Store(inc)
	s.loggedWaitReason = ""
	ctx, cancel := context.WithCancel(s.ctx)
	var services sync.WaitGroup
	services.Go(func() { s.maintainClusterID(ctx, inc) })
	services.Go(func() { s.manageMembers(ctx, inc) })
	services.Go(func() { s.manageLeases(ctx, inc) })
	err := s.supervise(ctx, inc, verdict)
	s.current.CompareAndSwap(inc, nil)
	cancel()
	inc.raft.Shutdown().Error() // waits for Raft's goroutines
	services.Wait()
	s.peers.saveWatermarks(inc)
	return err
}
