package store

import (
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
)

// followMembers has all members of a configuration polled from now on.
func (s *Store) followMembers(conf raft.Configuration) {
	var list []Peer
	for _, server := range conf.Servers {
		list = append(list, decodePeer(server.ID, server.Address))
	}
	s.peers.follow(list)
}

// awaitVerdict polls the peers until it is known what the disk may do. It carries a VerdictRenew
// out itself, and then returns VerdictJoin with the folder under its new identity.
func (s *Store) awaitVerdict(f *nodeFolder) (*nodeFolder, diskidentity.Verdict, error) {
	for {
		attestations, allPolled, changed := s.peers.attestations()
		verdict, reason := diskidentity.Decide(f.local, attestations)
		if !allPolled && verdict != diskidentity.VerdictRenew {
			verdict = diskidentity.VerdictWait
		}
		if verdict == diskidentity.VerdictWait {
			if allPolled {
				s.setWaitReason(reason)
			}
		} else {
			s.log.Info("disk verdict", zap.String("member", f.local.ID), zap.Stringer("verdict", verdict), zap.String("reason", reason))
			if verdict == diskidentity.VerdictRenew {
				renewed, err := s.renewFolder(f, reason)
				return renewed, diskidentity.VerdictJoin, err
			}
			return f, verdict, nil
		}
		select {
		case <-s.ctx.Done():
			return f, verdict, s.ctx.Err()
		case <-changed:
		case <-time.After(pollInterval): // reports expire
		}
	}
}

// renewFolder gives a disk that can't be trusted with its vote a new identity.
func (s *Store) renewFolder(f *nodeFolder, reason string) (*nodeFolder, error) {
	id, err := renewIdentity(f.storage, s.self.Name)
	if err != nil {
		return f, err
	}
	s.log.Warn("disk identity renewed", zap.String("previous_member", f.local.ID), zap.String("member", id), zap.String("reason", reason))
	renewed := *f // others read the first one
	renewed.local.ID = id
	s.folder.Store(&renewed)
	return &renewed, nil
}
