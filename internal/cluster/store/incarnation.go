package store

import (
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

// incarnation is one run of Raft over one storage folder, from the verdict on the disk to its end.
type incarnation struct {
	store         *Store
	memberID      string
	storage       *raftstorage.Storage
	raft          *raft.Raft
	transport     *ackTransport
	members       leaderView
	failure       chan error             // the first reason for which it has to end
	wasMember     atomic.Bool            // the configuration had this disk once, in this incarnation
	joinRejection atomic.Pointer[string] // why the last request to join was not granted
	barrierTerm   atomic.Uint64          // the term in which this node, as leader, has committed an entry
}

// runIncarnation waits until the disk may take part, and runs Raft until the incarnation ends (see the
// reasons in errors.go) or the Store is closed. It closes the storage.
func (s *Store) runIncarnation(storage *raftstorage.Storage) (err error) {
	defer func() {
		s.disk.Store(nil)
		if cerr := storage.Close(); cerr != nil && err == nil && s.ctx.Err() == nil {
			err = fmt.Errorf("close folder: %w", cerr)
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

// loadDiskState reads what the disk holds, and has the peers that it knows of polled.
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
	s.disk.Store(disk)
	conf, err := storage.Configuration()
	if err != nil {
		return nil, err
	}
	s.pollMembers(conf)
	return disk, nil
}

// isLeader reports whether Raft considers this node the leader.
func (inc *incarnation) isLeader() bool { return inc.raft.State() == raft.Leader }

// configuration is the latest one in the log, with its index, which Raft itself does not tell. It may
// not be committed yet. Its index is 0 if the disk fails, which ends the
// incarnation.
func (inc *incarnation) configuration() raftstorage.Configuration {
	conf, err := inc.storage.Configuration()
	if err != nil {
		inc.reportFailure(err)
	}
	return conf
}

// isMember reports whether the latest configuration has this disk.
func (inc *incarnation) isMember() bool {
	conf := inc.configuration()
	_, ok := findServer(conf, inc.memberID)
	return ok
}

// joinWaitReason is what a node that is no member yet waits for.
func (inc *incarnation) joinWaitReason() string {
	if refusal := inc.joinRejection.Load(); refusal != nil {
		return *refusal
	}
	return "to be taken in"
}

// reportFailure has the incarnation end. Only the first failure counts.
func (inc *incarnation) reportFailure(err error) {
	select {
	case inc.failure <- err:
	default:
	}
}

// takeFailure removes and returns the failure that was reported, or returns nil.
func (inc *incarnation) takeFailure() error {
	select {
	case err := <-inc.failure:
		return err
	default:
		return nil
	}
}

// hasCommand reports whether the log has a command at an index in a range. Entries that the log no
// longer has were applied to the state before a snapshot replaced them.
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

// startsAsMember reports whether a verdict lets the disk vote from the start.
func startsAsMember(v diskidentity.Verdict) bool {
	return v == diskidentity.VerdictResume || v == diskidentity.VerdictBootstrap
}
