package store

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

// pollMembers has all members of a configuration polled from now on.
func (s *Store) pollMembers(conf raftstorage.Configuration) {
	var list []Peer
	for _, server := range conf.Servers {
		list = append(list, decodePeer(server.ID, server.Address))
	}
	s.peers.addTargets(list)
}

// awaitVerdict waits until the reports of the pollers (peers.poll) tell what the disk may do. Until
// each peer was polled once it returns no verdict but VerdictRenew, as a peer that was not polled may
// have observed more of this disk; the wait reason, reportsWaitReason at first, then stays as it was. It
// carries a VerdictRenew out itself, and then returns VerdictJoin with the disk under its new identity.
func (s *Store) awaitVerdict(disk *diskState) (*diskState, diskidentity.Verdict, error) {
	replaced := map[string]string{}
	for {
		reports := s.peers.attestations()
		verdict, reason := diskidentity.Decide(disk.local, reports.recent)
		s.logReplacedVoters(reason.Replaced, replaced)
		switch {
		case verdict == diskidentity.VerdictRenew:
			s.logVerdict(disk, verdict, reason)
			renewed, err := s.renewDisk(disk, reason.Text)
			return renewed, diskidentity.VerdictJoin, err
		case !reports.allPolled:
			verdict = diskidentity.VerdictWait
		case verdict == diskidentity.VerdictWait:
			s.setAndLogWaitReason(reason)
		default:
			s.logVerdict(disk, verdict, reason)
			return disk, verdict, nil
		}
		select {
		case <-s.ctx.Done():
			return disk, verdict, s.ctx.Err()
		case <-reports.changed:
		case <-time.After(pollInterval): // reports expire
		}
	}
}

func (s *Store) logVerdict(disk *diskState, verdict diskidentity.Verdict, reason diskidentity.Reason) {
	s.log.Info("disk verdict", zap.String("member", disk.local.ID), zap.Stringer("verdict", verdict), zap.Stringer("reason", reason))
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
func (s *Store) renewDisk(disk *diskState, reason string) (*diskState, error) {
	id, err := renewDiskID(disk.storage, s.self.Name)
	if err != nil {
		return disk, err
	}
	s.log.Warn("disk identity renewed", zap.String("previous_member", disk.local.ID), zap.String("member", id), zap.String("reason", reason))
	renewed := *disk // others read the first one
	renewed.local.ID = id
	s.disk.Store(&renewed)
	return &renewed, nil
}
