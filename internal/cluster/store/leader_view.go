package store

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/membership"
	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/cluster/storeapi"
)

// leaderView is the leader's record of the members. The leader updates it at each observation.
type leaderView struct {
	mu          sync.Mutex
	leaderSince time.Time            // when this node became leader; zero while it is not
	configIndex uint64               // log index of the latest configuration
	changedAt   time.Time            // when that configuration was first observed
	downSince   map[string]time.Time // since when members without a recent report are down, by member ID
}

// manageMembers observes the members at each pollInterval, and applies the next membership change while
// this node is the leader.
func (s *Store) manageMembers(ctx context.Context, inc *incarnation) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !inc.isLeader() {
			inc.members.reset()
			continue
		}
		observed := s.observeMembers(inc)
		step := s.cfg.membershipPolicy().NextStep(observed.view)
		if step.Kind == membership.StepNone {
			continue
		}
		s.log.Info("membership change started", zap.Stringer("step", step.Kind), zap.String("member", step.ID), zap.String("reason", step.Reason))
		if err := inc.applyStep(ctx, step, observed.conf); err != nil && ctx.Err() == nil {
			s.log.Warn("membership change failed", zap.Stringer("step", step.Kind), zap.String("member", step.ID), zap.Error(err))
		}
	}
}

// reset marks that this node is not the leader, so that the next leadership starts with a new view.
func (v *leaderView) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaderSince = time.Time{}
}

// recordLeadership initializes the view if this node has become leader since the last observation. The
// caller holds the lock.
func (v *leaderView) recordLeadership(index uint64, now time.Time) {
	if !v.leaderSince.IsZero() {
		return
	}
	v.leaderSince = now
	v.changedAt = now
	v.configIndex = index
	v.downSince = map[string]time.Time{}
}

// recordConfiguration records the index of the latest configuration. The caller holds the lock.
func (v *leaderView) recordConfiguration(index uint64, now time.Time) {
	if index != v.configIndex {
		v.configIndex = index
		v.changedAt = now
	}
}

// recordDown records that a member is down, and returns for how long. The caller holds the lock.
func (v *leaderView) recordDown(id string, now time.Time) time.Duration {
	since, known := v.downSince[id]
	if !known {
		since = now
		v.downSince[id] = now
	}
	return now.Sub(since)
}

// observedMembers is the leader's view of the members, and the configuration that lists them.
type observedMembers struct {
	view membership.View
	conf raftstorage.Configuration
}

// observeMembers returns the leader's view of the members in the latest configuration.
func (s *Store) observeMembers(inc *incarnation) observedMembers {
	conf := inc.configuration()
	now := time.Now()
	v := &inc.members
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordLeadership(conf.Index, now)
	v.recordConfiguration(conf.Index, now)
	view := membership.View{
		Leader:        inc.memberID,
		ChangePending: inc.raft.CommitIndex() < conf.Index,
		SinceChange:   now.Sub(v.changedAt),
	}
	for _, server := range conf.Servers {
		view.Members = append(view.Members, s.observeMember(inc, server, now))
	}
	s.migrateLegacyMembers(inc, view.Members)
	return observedMembers{view: view, conf: conf}
}

// observeMember returns the leader's view of one member. The caller holds the lock of inc.members.
func (s *Store) observeMember(inc *incarnation, server raft.Server, now time.Time) membership.Member {
	id := string(server.ID)
	p := decodePeer(server.ID, server.Address)
	m := membership.Member{ID: id, Zone: p.Zone, Role: membership.Learner}
	if configured, ok := s.cfg.configuredPeer(p.Name); ok && configured.Zone != "" && p.Zone == "" {
		m.Zone = configured.Zone
	}
	if server.Suffrage == raft.Voter {
		m.Role = membership.Voter
	}
	_, m.Leaving = s.state.get(kv.RemovedMemberPrefix + p.Name)
	_, m.VotePreferred = s.state.get(kv.PreferredVoterPrefix + p.Name)
	if p.Name == s.self.Name { // a node does not poll itself: the member is this disk or a previous disk of this node
		m.Up = id == inc.memberID
		m.DiskLost = !m.Up
		return m
	}
	report, recent := s.peers.lastReport(p.Name)
	m.Up = recent && report.ID == id && report.State == peerServing
	m.DiskLost = recent && reportsOtherDisk(report.ID, id)
	if m.Up {
		last := inc.raft.LastIndex()
		m.EntriesBehind = last - min(last, report.Watermark.LastIndex)
		delete(inc.members.downSince, id)
		return m
	}
	m.DownFor = inc.members.recordDown(id, now)
	return m
}

// reportsOtherDisk reports whether a node of the same name reports another disk identity. A change from a
// name without a disk to one with a disk counts as another identity.
func reportsOtherDisk(reported, id string) bool {
	if reported == id || diskidentity.MemberName(reported) != diskidentity.MemberName(id) {
		return false
	}
	return diskidentity.MemberDisk(reported) != "" || diskidentity.MemberDisk(id) != ""
}

// migrateLegacyMembers removes members that are identified by a name alone, as in earlier versions, one at
// a time while all members are up to date. Each rejoins automatically under its disk's identity.
func (s *Store) migrateLegacyMembers(inc *incarnation, members []membership.Member) {
	next := -1
	voters := 0
	for i, m := range members {
		if !m.Up || m.EntriesBehind > maxEntriesBehind || m.ID != inc.memberID && s.reportsLegacy(m.ID) {
			return
		}
		if m.Role == membership.Voter {
			voters++
		}
		if diskidentity.MemberDisk(m.ID) == "" && (next < 0 || members[next].ID == inc.memberID) {
			next = i
		}
	}
	if next < 0 {
		return
	}
	if voters >= s.cfg.membershipPolicy().TargetVoters || members[next].Role == membership.Learner {
		members[next].Leaving = true
	}
}

// reportsLegacy reports whether a member runs an earlier version, which has no GET /self.
func (s *Store) reportsLegacy(id string) bool {
	report, _ := s.peers.lastReport(diskidentity.MemberName(id))
	return report.legacy
}

// applyStep carries out one membership change. It fails if the configuration has changed since the step
// was decided, by this leader or another one.
func (inc *incarnation) applyStep(ctx context.Context, step membership.Step, conf raftstorage.Configuration) error {
	server, ok := findServer(conf, step.ID)
	if !ok {
		return memberNotFound(step.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, storeapi.CommitTimeout)
	defer cancel()
	switch step.Kind {
	case membership.StepPromote:
		return awaitFuture(ctx, inc.raft.AddVoter(server.ID, server.Address, conf.Index, storeapi.CommitTimeout))
	case membership.StepDemote:
		return awaitFuture(ctx, inc.raft.DemoteVoter(server.ID, conf.Index, storeapi.CommitTimeout))
	case membership.StepRemove:
		return awaitFuture(ctx, inc.raft.RemoveServer(server.ID, conf.Index, storeapi.CommitTimeout))
	case membership.StepTransferLeadership:
		return awaitFuture(ctx, inc.raft.LeadershipTransferToServer(server.ID, server.Address))
	}
	return nil
}
