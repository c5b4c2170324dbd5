package store

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/membership"
	"oxbowbridge/internal/cluster/raftstorage"
)

// TestStepNeedsItsConfiguration checks that a membership change is not carried out if the configuration
// has changed since the change was decided.
func TestStepNeedsItsConfiguration(t *testing.T) {
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID, raftConfig.Logger = "a@1", hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	logs := raft.NewInmemStore()
	addr, transport := raft.NewInmemTransport("")
	require.NoError(t, raft.BootstrapCluster(raftConfig, logs, logs, raft.NewInmemSnapshotStore(), transport,
		raft.Configuration{Servers: []raft.Server{{ID: "a@1", Address: addr}}}))
	node, err := raft.NewRaft(raftConfig, newReplicatedState(), logs, logs, raft.NewInmemSnapshotStore(), transport)
	require.NoError(t, err)
	t.Cleanup(func() { node.Shutdown().Error() })
	require.Eventually(t, func() bool { return node.State() == raft.Leader }, 10*time.Second, 5*time.Millisecond)
	inc := &incarnation{raft: node}
	first := node.AddNonvoter("b@1", "b", 0, time.Second)
	require.NoError(t, first.Error())
	conf := node.GetConfiguration().Configuration()
	second := node.AddNonvoter("c@1", "c", first.Index(), time.Second)
	require.NoError(t, second.Error())
	for _, s := range []membership.Step{{Kind: membership.StepRemove, ID: "b@1"}, {Kind: membership.StepPromote, ID: "b@1"}} {
		require.ErrorContains(t, inc.applyStep(t.Context(), s, raftstorage.Configuration{Configuration: conf, Index: first.Index()}), "configuration changed")
	}
	require.NoError(t, inc.applyStep(t.Context(), membership.Step{Kind: membership.StepRemove, ID: "b@1"}, raftstorage.Configuration{Configuration: conf, Index: second.Index()}))
	require.ErrorIs(t, inc.applyStep(t.Context(), membership.Step{Kind: membership.StepRemove, ID: "x@1"}, raftstorage.Configuration{Configuration: conf}), ErrMemberNotFound)
}

// TestLeadersOldDisk checks that a leader reports its own previous disk as lost, although it does not poll
// itself.
func TestLeadersOldDisk(t *testing.T) {
	a := Peer{Name: "a", Raft: "127.0.0.1:1", Admin: "127.0.0.1:2"}
	s, err := New(Config{Node: "a", Dir: t.TempDir(), Peers: []Peer{a}}, zap.NewNop())
	require.NoError(t, err)
	inc := &incarnation{store: s, memberID: "a@2"}
	for id, lost := range map[string]bool{"a@1": true, "a@2": false} {
		m := s.observeMember(inc, raft.Server{ID: raft.ServerID(id), Address: encodeAddress(a, id)}, time.Now())
		require.Equal(t, lost, m.DiskLost, id)
		require.Equal(t, !lost, m.Up, id)
	}
}
