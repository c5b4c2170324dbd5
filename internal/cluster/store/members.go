package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/membership"
	"oxbowbridge/internal/cluster/storeapi"
)

// ErrMemberRejected means that a member is not taken in; nothing was done.
var ErrMemberRejected = errors.New("not taken in")

// ErrMemberNotFound means that no such member is there.
var ErrMemberNotFound = errors.New("no such member")

// leaderView is what the leader made of the members last.
type leaderView struct {
	mu          sync.Mutex
	leaderSince time.Time            // since when this node leads, in one go
	changedAt   time.Time            // when the configuration was last seen to change
	configIndex uint64               // of that configuration
	downSince   map[string]time.Time // since when a member was not heard of
	view        membership.View
}

// manageMembers looks at the members again and again, and takes the next step while this node leads.
func (s *Store) manageMembers(ctx context.Context, l *incarnation) {
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !l.isLeader() {
			l.members.mu.Lock()
			l.members.leaderSince = time.Time{}
			l.members.mu.Unlock()
			continue
		}
		step, conf, index := s.observeMembers(l)
		if step.Kind == membership.StepNone {
			continue
		}
		s.log.Info("members change", zap.Stringer("step", step.Kind), zap.String("member", step.ID), zap.String("why", step.Reason))
		if err := l.applyStep(ctx, step, conf, index); err != nil && ctx.Err() == nil {
			s.log.Warn("members did not change", zap.Stringer("step", step.Kind), zap.String("member", step.ID), zap.Error(err))
		}
	}
}

// observeMembers makes the leader's view, and gives the next step with the configuration that it
// rests on.
func (s *Store) observeMembers(l *incarnation) (membership.Step, raft.Configuration, uint64) {
	conf, index := l.configuration()
	now := time.Now()
	l.members.mu.Lock()
	defer l.members.mu.Unlock()
	v := &l.members
	if v.leaderSince.IsZero() {
		v.leaderSince, v.changedAt, v.configIndex, v.downSince = now, now, index, map[string]time.Time{}
	}
	if index != v.configIndex {
		v.configIndex, v.changedAt = index, now
	}
	// A change must be committed before the next one; Raft sees to that too.
	v.view = membership.View{Leader: l.memberID, ChangePending: l.raft.CommitIndex() < index, SinceChange: now.Sub(v.changedAt)}
	for _, x := range conf.Servers {
		v.view.Members = append(v.view.Members, s.observeMember(l, x, now))
	}
	s.migrateLegacyMembers(l, v.view.Members)
	return s.cfg.policy().Next(v.view), conf, index
}

// observeMember is one member as the leader sees it. The lock of the view is held.
func (s *Store) observeMember(l *incarnation, x raft.Server, now time.Time) membership.Member {
	id := string(x.ID)
	p := decodePeer(x.ID, x.Address)
	m := membership.Member{ID: id, Zone: p.Zone, Role: membership.Learner}
	if own, ok := s.cfg.configuredPeer(p.Name); ok && own.Zone != "" && p.Zone == "" {
		m.Zone = own.Zone
	}
	if x.Suffrage == raft.Voter {
		m.Role = membership.Voter
	}
	_, m.Leaving = s.state.get(kv.RemovedPrefix + p.Name)
	_, m.VotePreferred = s.state.get(kv.PreferredVoterPrefix + p.Name)
	if p.Name == s.self.Name { // nobody asks itself: what bears this node's name is its disk, or one that it had
		m.Up, m.DiskLost = id == l.memberID, id != l.memberID
		return m
	}
	h, heard := s.peers.lastReport(p.Name)
	m.Up = heard && h.ID == id && h.State == peerServing
	m.DiskLost = heard && h.ID != id && (diskidentity.MemberDisk(h.ID) != "" || diskidentity.MemberDisk(id) != "") && diskidentity.MemberName(h.ID) == p.Name
	if m.Up {
		m.Lag = l.raft.LastIndex() - min(l.raft.LastIndex(), h.Mark.LastIndex)
		delete(l.members.downSince, id)
		return m
	}
	since, known := l.members.downSince[id]
	if !known {
		since = now
		l.members.downSince[id] = now
	}
	m.DownFor = now.Sub(since)
	return m
}

// migrateLegacyMembers has members of the version before, known by their names alone, leave one by
// one while all is well: each comes back by itself, under the identity of its disk.
func (s *Store) migrateLegacyMembers(l *incarnation, members []membership.Member) {
	next, voters := -1, 0
	for i, m := range members {
		if h, _ := s.peers.lastReport(diskidentity.MemberName(m.ID)); !m.Up || m.Lag > lagMost || m.ID != l.memberID && h.legacy {
			return
		}
		if m.Role == membership.Voter {
			voters++
		}
		if diskidentity.MemberDisk(m.ID) == "" && (next < 0 || members[next].ID == l.memberID) {
			next = i
		}
	}
	if next >= 0 && (voters >= s.cfg.policy().Voters || members[next].Role == membership.Learner) {
		members[next].Leaving = true
	}
}

// applyStep carries one change out. It takes effect only on the configuration that it was
// decided on: another leader's change makes it fail.
func (l *incarnation) applyStep(ctx context.Context, step membership.Step, conf raft.Configuration, index uint64) error {
	x, ok := findServer(conf, step.ID)
	if !ok {
		return fmt.Errorf("%w: %s", ErrMemberNotFound, step.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, storeapi.CommitTimeout)
	defer cancel()
	switch step.Kind {
	case membership.StepPromote:
		return awaitFuture(ctx, l.raft.AddVoter(x.ID, x.Address, index, storeapi.CommitTimeout))
	case membership.StepDemote:
		return awaitFuture(ctx, l.raft.DemoteVoter(x.ID, index, storeapi.CommitTimeout))
	case membership.StepRemove:
		return awaitFuture(ctx, l.raft.RemoveServer(x.ID, index, storeapi.CommitTimeout))
	case membership.StepTransfer:
		return awaitFuture(ctx, l.raft.LeadershipTransferToServer(x.ID, x.Address))
	}
	return nil
}

// Join takes a node in as a learner; only the leader can.
func (s *Store) Join(ctx context.Context, j storeapi.JoinRequest) error {
	p := Peer{Name: diskidentity.MemberName(j.ID), Raft: j.RaftAddress, Admin: j.AdminAddress, Zone: j.Zone}
	if err := p.check(); err != nil {
		return fmt.Errorf("%w: %w", kv.ErrInvalidRequest, err)
	}
	if disk := diskidentity.MemberDisk(j.ID); disk == "" || strings.ContainsAny(disk+p.Zone, "@|#") || len(j.ID)+len(p.Zone) > kv.MaxKeyBytes {
		return fmt.Errorf("%w: id: want a name, @ and a disk; zone: no |", kv.ErrInvalidRequest)
	}
	l, err := s.running()
	if err != nil {
		return err
	}
	if !l.isLeader() {
		return ErrNoLeader
	}
	if _, err := s.WaitFresh(ctx, Freshness{}); err != nil { // who was removed is known
		return err
	}
	if _, ok := s.state.get(kv.LeasesEnabledKey); ok && !j.SupportsLeases {
		return fmt.Errorf("%w: this cluster has leases, which %s does not know", ErrMemberRejected, j.ID)
	}
	conf, index := l.configuration()
	if _, ok := findServer(conf, j.ID); ok {
		return nil // asked again
	}
	if l.raft.CommitIndex() < index {
		return errors.New("a change of the members is not committed yet")
	}
	members, _ := memberIDs(conf)
	up := func(id string) bool {
		h, now := s.peers.lastReport(diskidentity.MemberName(id))
		return id == l.memberID || now && h.ID == id
	}
	if why := diskidentity.CheckJoin(j.ID, members, s.removedNames(), up, membersMost); why != "" {
		return fmt.Errorf("%w: %s", ErrMemberRejected, why)
	}
	s.log.Info("members change", zap.String("step", "learner"), zap.String("member", j.ID))
	ctx, cancel := context.WithTimeout(ctx, storeapi.CommitTimeout)
	defer cancel()
	return awaitFuture(ctx, l.raft.AddNonvoter(raft.ServerID(j.ID), encodeAddress(p, j.ID), index, storeapi.CommitTimeout))
}

func (s *Store) removedNames() (names []string) {
	all, _ := s.state.entries()
	for key := range all {
		if name, ok := strings.CutPrefix(key, kv.RemovedPrefix); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Members is the leader's view, and what it does next.
func (s *Store) Members(ctx context.Context) (out storeapi.Members, err error) {
	l, err := s.running()
	if err != nil {
		return out, err
	}
	if !l.isLeader() {
		return out, ErrNoLeader
	}
	if _, err := s.WaitFresh(ctx, Freshness{}); err != nil {
		return out, err
	}
	step, conf, index := s.observeMembers(l)
	l.members.mu.Lock()
	view := l.members.view
	l.members.mu.Unlock()
	out = storeapi.Members{Leader: s.self.Name, ConfigIndex: index, WantedVoters: s.cfg.policy().Voters, Removed: s.removedNames()}
	for _, m := range view.Members {
		x, _ := findServer(conf, m.ID)
		row := storeapi.Member{Name: diskidentity.MemberName(m.ID), ID: m.ID, Zone: m.Zone, Role: m.Role.String(), EntriesBehind: m.Lag,
			State: memberStateOf(m, l.memberID), AdminAddress: decodePeer(x.ID, x.Address).Admin}
		if step.ID == m.ID {
			row.NextStep, row.Reason = step.Kind.String(), step.Reason
		}
		out.Members = append(out.Members, row)
	}
	slices.SortFunc(out.Members, func(a, b storeapi.Member) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}

func memberStateOf(m membership.Member, leader string) string {
	switch {
	case m.DiskLost:
		return "lost"
	case m.Leaving:
		return "leaving"
	case m.ID == leader:
		return "leader"
	case m.Up:
		return "up"
	}
	return fmt.Sprintf("down %s", m.DownFor.Round(time.Second))
}

// RemoveMember has a node lose its vote and its place, and not be taken in again. The
// wish is in the log: a leader that dies over it leaves it to the next.
func (s *Store) RemoveMember(name string) error {
	l, err := s.running()
	if err != nil {
		return err
	}
	if !l.isLeader() {
		return ErrNoLeader
	}
	conf, _ := l.configuration()
	members, voters := memberIDs(conf)
	has := func(list []string) bool {
		return slices.ContainsFunc(list, func(id string) bool { return diskidentity.MemberName(id) == name })
	}
	switch {
	case !has(members):
		return fmt.Errorf("%w: %s", ErrMemberNotFound, name)
	case has(voters) && len(voters) == 1:
		return fmt.Errorf("%w: %s is the only voter", ErrMemberRejected, name)
	}
	return s.recordIntent(kv.RemovedPrefix+name, kv.PreferredVoterPrefix+name)
}

// AddMember lets a node that was removed ask for a place again.
func (s *Store) AddMember(name string) error {
	if !nameForm.MatchString(name) {
		return fmt.Errorf("%w: name: %q", kv.ErrInvalidRequest, name)
	}
	return s.recordIntent("", kv.RemovedPrefix+name)
}

// PromoteMember has a node have a vote rather than one that nobody asked for.
func (s *Store) PromoteMember(name string) error {
	l, err := s.running()
	if err != nil {
		return err
	}
	conf, _ := l.configuration()
	members, _ := memberIDs(conf)
	if !slices.ContainsFunc(members, func(id string) bool { return diskidentity.MemberName(id) == name }) {
		return fmt.Errorf("%w: %s", ErrMemberNotFound, name)
	}
	wanted := 0
	all, _ := s.state.entries()
	for key := range all {
		if strings.HasPrefix(key, kv.PreferredVoterPrefix) && key != kv.PreferredVoterPrefix+name {
			wanted++
		}
	}
	if most := s.cfg.policy().Voters; wanted >= most {
		return fmt.Errorf("%w: %d others are wanted as voters already, of %d", ErrMemberRejected, wanted, most)
	}
	return s.recordIntent(kv.PreferredVoterPrefix+name, "")
}

// recordIntent puts one key and deletes another.
func (s *Store) recordIntent(put, del string) error {
	var r kv.Request
	if put != "" {
		text, _ := json.Marshal(time.Now().UTC().Format(time.RFC3339))
		r.Then = append(r.Then, kv.Op{Kind: "put", Key: put, Value: text})
	}
	if del != "" {
		r.Then = append(r.Then, kv.Op{Kind: "delete", Key: del})
	}
	_, err := s.Execute(r)
	return err
}
