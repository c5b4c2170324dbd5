package store

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

// followMembers has all members of a configuration polled from now on.
func (s *Store) followMembers(conf raftstorage.Configuration) {
	var list []Peer
	for _, server := range conf.Servers {
		list = append(list, decodePeer(server.ID, server.Address))
	}
	s.peers.follow(list)
}

// awaitVerdict waits until the reports of the pollers (peers.poll) tell what the disk may do. Until
// each peer was polled once it returns no verdict but VerdictNewIdentity, as a peer that was not polled may
// have observed more of this disk; the wait reason, reportsWaitReason at first, then stays as it was. It
// carries a VerdictNewIdentity out itself, and then returns VerdictJoin with the disk under its new identity.
func (s *Store) awaitVerdict(f *diskState) (*diskState, diskidentity.Verdict, error) {
	replaced := map[string]string{}
	for {
		reports := s.peers.attestations()
		verdict, reason := diskidentity.Decide(f.local, reports.recent)
		s.logReplacedVoters(reason.Replaced, replaced)
		switch {
		case verdict == diskidentity.VerdictNewIdentity:
			s.logVerdict(f, verdict, reason)
			renewed, err := s.renewDisk(f, reason.Text)
			return renewed, diskidentity.VerdictJoin, err
		case !reports.allPolled:
			verdict = diskidentity.VerdictWait
		case verdict == diskidentity.VerdictWait:
			s.setWaitReason(reason)
		default:
			s.logVerdict(f, verdict, reason)
			return f, verdict, nil
		}
		select {
		case <-s.ctx.Done():
			return f, verdict, s.ctx.Err()
		case <-reports.changed:
		case <-time.After(pollInterval): // reports expire
		}
	}
}

func (s *Store) logVerdict(f *diskState, verdict diskidentity.Verdict, reason diskidentity.Reason) {
	s.log.Info("disk verdict", zap.String("member", f.local.ID), zap.Stringer("verdict", verdict), zap.Stringer("reason", reason))
}

// logReplacedVoters logs each voter that is not waited for when its node first answers with a disk. lastSuccessor has the
// last such disk by voter.
func (s *Store) logReplacedVoters(voters []diskidentity.ReplacedVoter, lastSuccessor map[string]string) {
	for _, replaced := range voters {
		if lastSuccessor[replaced.Voter] == replaced.Successor {
			continue
		}
		lastSuccessor[replaced.Voter] = replaced.Successor
		s.log.Warn("voter's disk replaced, not waited for", zap.String("member", replaced.Voter), zap.String("new_member", replaced.Successor))
	}
}

// renewDisk gives a disk that can't be trusted with its vote a new identity.
func (s *Store) renewDisk(f *diskState, reason string) (*diskState, error) {
	id, err := renewDiskID(f.storage, s.self.Name)
	if err != nil {
		return f, err
	}
	s.log.Warn("disk identity renewed", zap.String("previous_member", f.local.ID), zap.String("member", id), zap.String("reason", reason))
	renewed := *f // others read the first one
	renewed.local.ID = id
	s.disk.Store(&renewed)
	return &renewed, nil
}
