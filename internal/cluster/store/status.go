package store

import (
	"encoding/json"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
)

// Status is the node's answer to GET /status.
func (s *Store) Status() storeapi.Status {
	st := storeapi.Status{Node: s.self.Name, Cluster: s.clusterID.get(), ForeignPeers: s.clusterID.foreignNames(), ID: s.memberID()}
	inc := s.current.Load()
	switch state := nodeStateOf(inc != nil, inc != nil && inc.isMember()); state {
	case nodeWaiting:
		st.State = state.String()
		st.WaitingReason = s.WaitReason()
		if f := s.disk.Load(); f != nil {
			st.LastIndex = f.local.Watermark.LastIndex
		}
	case nodeJoining:
		st.State = state.String()
		st.WaitingReason = inc.joinWaitReason()
	case nodeServing:
		st.State = inc.raft.State().String()
	}
	if inc != nil {
		st.AppliedIndex = inc.raft.AppliedIndex()
		st.LastIndex = inc.raft.LastIndex()
		if p, _, ok := s.Leader(); ok {
			st.Leader = p.Name
		}
	}
	if s.mirror != nil {
		st.MirroredIndex, st.SQLError = s.mirror.progress()
	}
	return st
}

// PeerStatus is the node's report to a peer, whose member ID is asker: its own state, and what it has
// observed of the asker's disk. It is ErrNotServing until the node knows its own disk.
func (s *Store) PeerStatus(asker string) (storeapi.PeerStatus, error) {
	f := s.disk.Load()
	if f == nil {
		return storeapi.PeerStatus{}, s.notServingError()
	}
	inc := s.current.Load()
	out := storeapi.PeerStatus{RaftAddress: s.self.Raft, AdminAddress: s.self.Admin, Zone: s.self.Zone, SupportsLeases: true}
	out.State = nodeStateOf(inc != nil, inc != nil).peerState()
	s.describeDisk(&out, f)
	if inc != nil {
		s.describeIncarnation(&out, inc, f)
	}
	if e, ok := s.state.get(kv.PreviousClustersKey); ok {
		json.Unmarshal(e.Value, &out.PreviousClusters) // this package wrote it
	}
	out.LastObserved = s.peers.observedWatermark(asker)
	return out, nil
}

// describeDisk fills in what the disk held when the incarnation began.
func (s *Store) describeDisk(out *storeapi.PeerStatus, f *diskState) {
	out.ID = f.local.ID
	out.Cluster = s.clusterID.get()
	out.Watermark = f.local.Watermark
	out.Fresh = f.local.Fresh
	out.ConfigIndex = f.local.ConfigIndex
	out.Members = f.local.Members
	out.Voters = f.local.Voters
	out.Addresses = f.addresses
}

// describeIncarnation replaces what has changed since Raft runs.
func (s *Store) describeIncarnation(out *storeapi.PeerStatus, inc *incarnation, f *diskState) {
	out.AppliedIndex = inc.raft.AppliedIndex()
	out.Checksums = s.state.recentChecksums()
	if mark, err := inc.storage.Watermark(); err == nil {
		out.Watermark = mark.Max(f.local.Watermark)
	}
	conf := inc.configuration()
	out.ConfigIndex = conf.Index
	out.Members, out.Voters = memberIDs(conf)
	out.Addresses = memberAddresses(conf)
	out.Fresh = f.local.Fresh && out.Watermark.LastIndex == 0
}
