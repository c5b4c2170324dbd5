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

// leaderView is what the leader remembers between two views of the members.
type leaderView struct {
	mu          sync.Mutex
	leaderSince time.Time            // since when this node leads without a break; zero while it does not
	configIndex uint64               // of the latest configuration
	changedAt   time.Time            // when that one was first seen
	downSince   map[string]time.Time // by ID, for members without a recent report
}

// manageMembers observes the members again and again, and takes the next step while this node
// leads.
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
		step := s.cfg.policy().NextStep(observed.view)
		if step.Kind == membership.StepNone {
			continue
		}
		s.log.Info("membership change started", zap.Stringer("step", step.Kind), zap.String("member", step.ID), zap.String("reason", step.Reason))
		if err := inc.applyStep(ctx, step, observed.conf); err != nil && ctx.Err() == nil {
			s.log.Warn("membership change failed", zap.Stringer("step", step.Kind), zap.String("member", step.ID), zap.Error(err))
		}
	}
}

// reset begins the view anew when this node leads next.
func (v *leaderView) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaderSince = time.Time{}
}

// noteLeadership begins the view if this node was not leader before. It is called with the lock held.
func (v *leaderView) noteLeadership(index uint64, now time.Time) {
	if !v.leaderSince.IsZero() {
		return
	}
	v.leaderSince = now
	v.changedAt = now
	v.configIndex = index
	v.downSince = map[string]time.Time{}
}

// noteConfiguration notes the index of the latest configuration. It is called with the lock held.
func (v *leaderView) noteConfiguration(index uint64, now time.Time) {
	if index != v.configIndex {
		v.configIndex = index
		v.changedAt = now
	}
}

// markDown notes that a member is down, and returns for how long it has been. It is called with the
// lock held.
func (v *leaderView) markDown(id string, now time.Time) time.Duration {
	since, known := v.downSince[id]
	if !known {
		since = now
		v.downSince[id] = now
	}
	return now.Sub(since)
}

// observedMembers is the leader's view, and the configuration that it is of.
type observedMembers struct {
	view membership.View
	conf raftstorage.Configuration
}

// observeMembers makes the leader's view of the latest configuration.
func (s *Store) observeMembers(inc *incarnation) observedMembers {
	conf := inc.configuration()
	now := time.Now()
	v := &inc.members
	v.mu.Lock()
	defer v.mu.Unlock()
	v.noteLeadership(conf.Index, now)
	v.noteConfiguration(conf.Index, now)
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

// observeMember is one member as the leader sees it. The view's lock is held.
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
	if p.Name == s.self.Name { // no node polls itself: this is its disk, or one that it had before
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
	m.DownFor = inc.members.markDown(id, now)
	return m
}

// reportsOtherDisk reports whether a node reports an ID of the same name and another disk. A change
// from a name alone to the name with a disk counts as one.
func reportsOtherDisk(reported, id string) bool {
	if reported == id || diskidentity.MemberName(reported) != diskidentity.MemberName(id) {
		return false
	}
	return diskidentity.MemberDisk(reported) != "" || diskidentity.MemberDisk(id) != ""
}

// migrateLegacyMembers has members of an earlier version, known by their names alone, leave one by
// one while all members are up to date. Each comes back by itself, under its disk's identity.
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
	if voters >= s.cfg.policy().TargetVoters || members[next].Role == membership.Learner {
		members[next].Leaving = true
	}
}

// reportsLegacy reports whether a member runs an earlier version.
func (s *Store) reportsLegacy(id string) bool {
	report, _ := s.peers.lastReport(diskidentity.MemberName(id))
	return report.legacy
}

// applyStep carries one step out. It takes effect only on the configuration that it was decided on:
// another change, by this leader or another one, makes it fail.
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
