package store

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

// incarnation is one run of Raft on one storage folder. It starts after the verdict on whether the disk
// may vote (diskidentity.Decide).
type incarnation struct {
	store         *Store
	memberID      string
	storage       *raftstorage.Storage
	raft          *raft.Raft
	transport     *ackTransport
	members       leaderView
	failure       chan error             // first failure, which ends the incarnation
	wasMember     atomic.Bool            // whether a configuration of this incarnation has included this disk
	joinRejection atomic.Pointer[string] // why the last join request was rejected
	barrierTerm   atomic.Uint64          // term in which this node, as leader, has committed an entry
}

// runIncarnation waits for the disk verdict, and then runs Raft until the incarnation ends (see the
// reasons in errors.go) or the Store is closed. It closes the storage.
func (s *Store) runIncarnation(storage *raftstorage.Storage) (err error) {
	defer func() {
		s.currentDisk.Store(nil)
		if closeErr := storage.Close(); closeErr != nil && err == nil && s.ctx.Err() == nil {
			err = fmt.Errorf("close folder: %w", closeErr)
		}
	}()
	s.setWaitReasonSilently(reportsWaitReason)
	disk, err := s.loadDiskState(storage)
	if err != nil {
		return err
	}
	disk, verdict, err := s.awaitVerdict(disk)
	if err != nil {
		return err
	}
	s.setWaitReasonSilently(raftWaitReason)
	return s.runRaft(disk, verdict)
}

// loadDiskState reads the disk's state, and starts polling the members in its log.
func (s *Store) loadDiskState(storage *raftstorage.Storage) (*diskState, error) {
	id, err := readClusterID(storage)
	if err != nil {
		return nil, err
	}
	s.clusterID.set(id)
	disk, err := s.readDiskState(storage)
	if err != nil {
		return nil, err
	}
	observed, err := readWatermarks(storage)
	if err != nil {
		return nil, err
	}
	s.peers.loadWatermarks(observed)
	s.peers.clearReports()
	s.currentDisk.Store(disk)
	conf, err := storage.Configuration()
	if err != nil {
		return nil, err
	}
	s.pollMembers(conf)
	return disk, nil
}

// isLeader reports whether Raft considers this node the leader.
func (inc *incarnation) isLeader() bool { return inc.raft.State() == raft.Leader }

// configuration returns the latest configuration in the log with its index, which Raft does not expose.
// The configuration may not be committed yet. The index is 0 if the disk fails, which ends the
// incarnation.
func (inc *incarnation) configuration() raftstorage.Configuration {
	conf, err := inc.storage.Configuration()
	if err != nil {
		inc.reportFailure(err)
	}
	return conf
}

// isMember reports whether the latest configuration includes this disk.
func (inc *incarnation) isMember() bool {
	conf := inc.configuration()
	_, ok := findServer(conf, inc.memberID)
	return ok
}

// joinWaitReason returns what a node that is not a member yet waits for.
func (inc *incarnation) joinWaitReason() string {
	if rejection := inc.joinRejection.Load(); rejection != nil {
		return *rejection
	}
	return "to be taken in"
}

// reportFailure ends the incarnation. Only the first failure is recorded.
func (inc *incarnation) reportFailure(err error) {
	select {
	case inc.failure <- err:
	default:
	}
}

// takeFailure removes and returns the reported failure, or returns nil.
func (inc *incarnation) takeFailure() error {
	select {
	case err := <-inc.failure:
		return err
	default:
		return nil
	}
}

// hasCommand reports whether the log has a command with an index between from and to, inclusive. Entries
// that the log no longer has were applied before a snapshot replaced them.
func (inc *incarnation) hasCommand(from, to uint64) bool {
	var entry raft.Log
	for i := to; i >= from; i-- {
		switch err := inc.storage.GetLog(i, &entry); {
		case errors.Is(err, raft.ErrLogNotFound):
			return false
		case err != nil || entry.Type == raft.LogCommand:
			return true
		}
	}
	return false
}

// startsAsMember reports whether a verdict allows the disk to vote from the start.
func startsAsMember(v diskidentity.Verdict) bool {
	return v == diskidentity.VerdictResume || v == diskidentity.VerdictBootstrap
}
