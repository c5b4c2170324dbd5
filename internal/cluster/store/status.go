package store

import (
	"encoding/json"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
)

// Status returns the node's response to GET /status.
func (s *Store) Status() storeapi.Status {
	st := storeapi.Status{Node: s.self.Name, Cluster: s.clusterID.get(), ForeignPeers: s.clusterID.foreignPeerNames(), ID: s.memberID()}
	inc := s.current.Load()
	switch state := nodeStateOf(inc != nil, inc != nil && inc.isMember()); state {
	case nodeWaiting:
		st.State = state.String()
		st.WaitingReason = s.WaitReason()
		if disk := s.currentDisk.Load(); disk != nil {
			st.LastIndex = disk.local.Watermark.LastIndex
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

// PeerStatus returns the node's report to the peer with the member ID requesterID: its own state, and the
// watermark that it has observed of the peer's disk. It returns ErrNotServing until the node has read its
// own disk.
func (s *Store) PeerStatus(requesterID string) (storeapi.PeerStatus, error) {
	disk := s.currentDisk.Load()
	if disk == nil {
		return storeapi.PeerStatus{}, s.notServingError()
	}
	inc := s.current.Load()
	out := storeapi.PeerStatus{RaftAddress: s.self.Raft, AdminAddress: s.self.Admin, Zone: s.self.Zone, SupportsLeases: true}
	out.State = nodeStateOf(inc != nil, inc != nil).peerState()
	s.describeDisk(&out, disk)
	if inc != nil {
		s.describeIncarnation(&out, inc, disk)
	}
	if e, ok := s.state.get(kv.PreviousClustersKey); ok {
		json.Unmarshal(e.Value, &out.PreviousClusters) // always valid JSON written by this package
	}
	out.LastObserved = s.peers.observedWatermark(requesterID)
	return out, nil
}

// describeDisk sets the fields that describe the disk at the start of the incarnation.
func (s *Store) describeDisk(out *storeapi.PeerStatus, disk *diskState) {
	out.ID = disk.local.ID
	out.Cluster = s.clusterID.get()
	out.Watermark = disk.local.Watermark
	out.Fresh = disk.local.Fresh
	out.ConfigIndex = disk.local.ConfigIndex
	out.Members = disk.local.Members
	out.Voters = disk.local.Voters
	out.Addresses = disk.addresses
}

// describeIncarnation updates the fields that change while Raft runs.
func (s *Store) describeIncarnation(out *storeapi.PeerStatus, inc *incarnation, disk *diskState) {
	out.AppliedIndex = inc.raft.AppliedIndex()
	out.Checksums = s.state.recentChecksums()
	if watermark, err := inc.storage.Watermark(); err == nil {
		out.Watermark = watermark.Max(disk.local.Watermark)
	}
	conf := inc.configuration()
	out.ConfigIndex = conf.Index
	out.Members, out.Voters = memberIDs(conf)
	out.Addresses = memberAddresses(conf)
	out.Fresh = disk.local.Fresh && out.Watermark.LastIndex == 0
}
