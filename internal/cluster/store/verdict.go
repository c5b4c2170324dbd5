package store

import (
	"time"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

// pollMembers starts polling all members of a configuration.
func (s *Store) pollMembers(conf raftstorage.Configuration) {
	var list []Peer
	for _, server := range conf.Servers {
		list = append(list, decodePeer(server.ID, server.Address))
	}
	s.peers.addTargets(list)
}

// awaitVerdict waits until the peers' reports (peerPoller.pollLoop) determine what the disk may be used
// for. Until each peer has been polled once, it accepts only VerdictNewIdentity, because a peer that has not
// been polled may have observed a higher watermark of this disk. During that time the wait reason remains
// reportsWaitReason. It carries out VerdictNewIdentity itself, and then returns VerdictJoin with the disk under
// its new identity.
func (s *Store) awaitVerdict(disk *diskState) (*diskState, diskidentity.Verdict, error) {
	replaced := map[string]string{}
	for {
		reports := s.peers.attestations()
		verdict, reason := diskidentity.Decide(disk.local, reports.recent)
		s.logReplacedVoters(reason.Replaced, replaced)
		switch {
		case verdict == diskidentity.VerdictNewIdentity:
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
		case <-time.After(pollInterval): // reports may have expired
		}
	}
}

func (s *Store) logVerdict(disk *diskState, verdict diskidentity.Verdict, reason diskidentity.Reason) {
	s.log.Info("disk verdict", zap.String("member", disk.local.ID), zap.Stringer("verdict", verdict), zap.Stringer("reason", reason))
}

// logReplacedVoters logs each voter whose attestation is no longer required, when its node first reports
// another disk. lastSuccessor maps each voter to the last disk that was logged for it.
func (s *Store) logReplacedVoters(voters []diskidentity.ReplacedVoter, lastSuccessor map[string]string) {
	for _, replaced := range voters {
		if lastSuccessor[replaced.Voter] == replaced.Successor {
			continue
		}
		lastSuccessor[replaced.Voter] = replaced.Successor
		s.log.Warn("voter's disk replaced; attestation no longer required", zap.String("member", replaced.Voter), zap.String("new_member", replaced.Successor))
	}
}

// renewDisk gives a new identity to a disk whose earlier votes cannot be trusted.
func (s *Store) renewDisk(disk *diskState, reason string) (*diskState, error) {
	id, err := renewDiskID(disk.storage, s.self.Name)
	if err != nil {
		return disk, err
	}
	s.log.Warn("disk identity renewed", zap.String("previous_member", disk.local.ID), zap.String("member", id), zap.String("reason", reason))
	renewed := *disk // a copy, because other goroutines read the original
	renewed.local.ID = id
	s.currentDisk.Store(&renewed)
	return &renewed, nil
}
