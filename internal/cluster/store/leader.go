package store

import (
	"context"

	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
)

// IsLeader reports whether this node considers itself the leader. A partitioned leader may do so for some
// time after another leader was elected.
func (s *Store) IsLeader() bool {
	inc := s.current.Load()
	return inc != nil && inc.isLeader()
}

// Leader returns the leader that this node knows of, and the leader's member ID.
func (s *Store) Leader() (p Peer, id string, ok bool) {
	inc := s.current.Load()
	if inc == nil {
		return Peer{}, "", false
	}
	_, leaderID := inc.raft.LeaderWithID()
	if leaderID == "" {
		return Peer{}, "", false
	}
	return s.locate(inc, string(leaderID)), string(leaderID), true
}

// remoteLeader returns the leader if it is another node, and ErrNoLeader otherwise.
func (s *Store) remoteLeader() (Peer, error) {
	p, _, ok := s.Leader()
	if !ok || p.Name == s.self.Name {
		return Peer{}, ErrNoLeader
	}
	return p, nil
}

// StepDown transfers the leadership to another voter if this node is the leader. It is called before a
// shutdown.
func (s *Store) StepDown() {
	inc := s.current.Load()
	if inc == nil || !inc.isLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, stepDownTimeout)
	defer cancel()
	if err := awaitFuture(ctx, inc.raft.LeadershipTransfer()); err != nil {
		s.log.Warn("leadership transfer failed", zap.Error(err))
	}
}

// locate returns a member's addresses. Those in the configuration file take precedence.
func (s *Store) locate(inc *incarnation, id string) Peer {
	name := diskidentity.MemberName(id)
	if name == s.self.Name {
		return s.self
	}
	p := Peer{Name: name}
	conf := inc.configuration()
	if server, ok := findServer(conf, id); ok {
		p = decodePeer(server.ID, server.Address)
	}
	if configured, ok := s.cfg.configuredPeer(name); ok {
		p.Raft, p.Admin = configured.Raft, configured.Admin
	}
	return p
}
