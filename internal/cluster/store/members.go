package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/membership"
	"oxbowbridge/internal/cluster/storeapi"
)

// reservedIDChars must not occur in a disk's identity or a zone: @ and | separate the fields of a member's
// ID and address. # is also rejected, although it is unused.
const reservedIDChars = "@|#"

var errChangePending = errors.New("a change of the members is not committed yet")

func memberNotFound(name string) error { return fmt.Errorf("%w: %s", ErrMemberNotFound, name) }

// Join adds a node as a learner. It returns ErrNoLeader on any node but the leader, and ErrMemberRejected
// if the node may not join. It does nothing if the node is already a member.
func (s *Store) Join(ctx context.Context, request storeapi.JoinRequest) error {
	p, err := peerFromJoinRequest(request)
	if err != nil {
		return err
	}
	inc, err := s.running()
	if err != nil {
		return err
	}
	if !inc.isLeader() {
		return ErrNoLeader
	}
	if _, err := s.WaitFresh(ctx, Freshness{}); err != nil { // CheckJoin needs all committed removals
		return err
	}
	if _, ok := s.state.get(kv.LeasesEnabledKey); ok && !request.SupportsLeases {
		return fmt.Errorf("%w: this cluster has leases, which %s does not know", ErrMemberRejected, request.ID)
	}
	conf := inc.configuration()
	if _, ok := findServer(conf, request.ID); ok {
		return nil
	}
	if inc.raft.CommitIndex() < conf.Index {
		return errChangePending
	}
	members, _ := memberIDs(conf)
	if err := diskidentity.CheckJoin(request.ID, members, s.removedNames(), s.isUp(inc), maxMembers); err != nil {
		return fmt.Errorf("%w: %w", ErrMemberRejected, err)
	}
	s.log.Info("membership change started", zap.String("step", "learner"), zap.String("member", request.ID))
	ctx, cancel := context.WithTimeout(ctx, storeapi.CommitTimeout)
	defer cancel()
	address := encodeAddress(p, request.ID)
	return awaitFuture(ctx, inc.raft.AddNonvoter(raft.ServerID(request.ID), address, conf.Index, storeapi.CommitTimeout))
}

// peerFromJoinRequest validates a join request. Its error is kv.ErrInvalidRequest.
func peerFromJoinRequest(request storeapi.JoinRequest) (Peer, error) {
	p := Peer{
		Name:  diskidentity.MemberName(request.ID),
		Raft:  request.RaftAddress,
		Admin: request.AdminAddress,
		Zone:  request.Zone,
	}
	if err := p.check(); err != nil {
		return p, fmt.Errorf("%w: %w", kv.ErrInvalidRequest, err)
	}
	disk := diskidentity.MemberDisk(request.ID)
	if disk == "" || strings.ContainsAny(disk+p.Zone, reservedIDChars) || len(request.ID)+len(p.Zone) > kv.MaxKeyBytes {
		return p, fmt.Errorf("%w: id: want a name, @ and a disk; zone: no |", kv.ErrInvalidRequest)
	}
	return p, nil
}

// isUp returns a function that reports whether a member is this node or has a recent report.
func (s *Store) isUp(inc *incarnation) func(id string) bool {
	return func(id string) bool {
		report, recent := s.peers.lastReport(diskidentity.MemberName(id))
		return id == inc.memberID || recent && report.ID == id
	}
}

// removedNames returns the names of removed nodes, which may not join, in sorted order.
func (s *Store) removedNames() (names []string) {
	all, _ := s.state.entries()
	for key := range all {
		if name, ok := strings.CutPrefix(key, kv.RemovedMemberPrefix); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Members returns the leader's view of the members and the next membership change. It returns ErrNoLeader
// on any node but the leader.
func (s *Store) Members(ctx context.Context) (out storeapi.Members, err error) {
	inc, err := s.running()
	if err != nil {
		return out, err
	}
	if !inc.isLeader() {
		return out, ErrNoLeader
	}
	if _, err := s.WaitFresh(ctx, Freshness{}); err != nil {
		return out, err
	}
	observed := s.observeMembers(inc)
	step := s.cfg.membershipPolicy().NextStep(observed.view)
	out = storeapi.Members{
		Leader:       s.self.Name,
		ConfigIndex:  observed.conf.Index,
		TargetVoters: s.cfg.membershipPolicy().TargetVoters,
		Removed:      s.removedNames(),
	}
	for _, m := range observed.view.Members {
		server, _ := findServer(observed.conf, m.ID)
		out.Members = append(out.Members, describeMember(m, step, server, inc.memberID))
	}
	slices.SortFunc(out.Members, func(a, b storeapi.Member) int { return strings.Compare(a.ID, b.ID) })
	return out, nil
}

func describeMember(m membership.Member, step membership.Step, server raft.Server, leader string) storeapi.Member {
	row := storeapi.Member{
		Name:          diskidentity.MemberName(m.ID),
		ID:            m.ID,
		Zone:          m.Zone,
		Role:          m.Role.String(),
		EntriesBehind: m.EntriesBehind,
		State:         memberStateOf(m, leader).describe(m.DownFor),
		AdminAddress:  decodePeer(server.ID, server.Address).Admin,
	}
	if step.ID == m.ID {
		row.NextStep = step.Kind.String()
		row.NextStepReason = step.Reason
	}
	return row
}

// RequestRemoval records that a node must be demoted and removed, and may not rejoin until AllowRejoin.
// The request is stored in the log, so that any later leader carries it out. It returns ErrNoLeader on any
// node but the leader.
func (s *Store) RequestRemoval(name string) error {
	inc, err := s.running()
	if err != nil {
		return err
	}
	if !inc.isLeader() {
		return ErrNoLeader
	}
	conf := inc.configuration()
	members, voters := memberIDs(conf)
	switch {
	case !containsMemberName(members, name):
		return memberNotFound(name)
	case containsMemberName(voters, name) && len(voters) == 1:
		return fmt.Errorf("%w: %s is the only voter", ErrMemberRejected, name)
	}
	return s.recordIntent(kv.RemovedMemberPrefix+name, kv.PreferredVoterPrefix+name)
}

// AllowRejoin allows a removed node to join again. It does not add the member: the node itself requests
// that (Join).
func (s *Store) AllowRejoin(name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%w: name: %q", kv.ErrInvalidRequest, name)
	}
	return s.recordIntent("", kv.RemovedMemberPrefix+name)
}

// PreferAsVoter records that a node is promoted to voter before nodes without this preference.
func (s *Store) PreferAsVoter(name string) error {
	inc, err := s.running()
	if err != nil {
		return err
	}
	conf := inc.configuration()
	members, _ := memberIDs(conf)
	if !containsMemberName(members, name) {
		return memberNotFound(name)
	}
	preferred := s.countPreferredVoters(name)
	if limit := s.cfg.membershipPolicy().TargetVoters; preferred >= limit {
		return fmt.Errorf("%w: %d others are wanted as voters already, of %d", ErrMemberRejected, preferred, limit)
	}
	return s.recordIntent(kv.PreferredVoterPrefix+name, "")
}

// countPreferredVoters returns how many nodes other than except are preferred as voters.
func (s *Store) countPreferredVoters(except string) (count int) {
	all, _ := s.state.entries()
	for key := range all {
		if strings.HasPrefix(key, kv.PreferredVoterPrefix) && key != kv.PreferredVoterPrefix+except {
			count++
		}
	}
	return count
}

func containsMemberName(ids []string, name string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return diskidentity.MemberName(id) == name })
}

// recordIntent puts one key with the current time as its value, and deletes another key; "" means none.
func (s *Store) recordIntent(putKey, deleteKey string) error {
	var r kv.Request
	if putKey != "" {
		encoded, err := json.Marshal(time.Now().UTC().Format(time.RFC3339))
		if err != nil {
			return err
		}
		r.Then = append(r.Then, kv.Put(putKey, encoded))
	}
	if deleteKey != "" {
		r.Then = append(r.Then, kv.Delete(deleteKey))
	}
	_, err := s.Execute(r)
	return err
}
