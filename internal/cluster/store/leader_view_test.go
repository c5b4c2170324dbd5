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
	rc := raft.DefaultConfig()
	rc.LocalID, rc.Logger = "a@1", hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	logs := raft.NewInmemStore()
	addr, wire := raft.NewInmemTransport("")
	require.NoError(t, raft.BootstrapCluster(rc, logs, logs, raft.NewInmemSnapshotStore(), wire,
		raft.Configuration{Servers: []raft.Server{{ID: "a@1", Address: addr}}}))
	r, err := raft.NewRaft(rc, newReplicatedState(), logs, logs, raft.NewInmemSnapshotStore(), wire)
	require.NoError(t, err)
	t.Cleanup(func() { r.Shutdown().Error() })
	require.Eventually(t, func() bool { return r.State() == raft.Leader }, 10*time.Second, 5*time.Millisecond)
	l := &incarnation{raft: r}
	first := r.AddNonvoter("b@1", "b", 0, time.Second)
	require.NoError(t, first.Error())
	conf := r.GetConfiguration().Configuration()
	second := r.AddNonvoter("c@1", "c", first.Index(), time.Second)
	require.NoError(t, second.Error())
	for _, s := range []membership.Step{{Kind: membership.StepRemove, ID: "b@1"}, {Kind: membership.StepPromote, ID: "b@1"}} {
		require.ErrorContains(t, l.applyStep(t.Context(), s, raftstorage.Configuration{Configuration: conf, Index: first.Index()}), "configuration changed")
	}
	require.NoError(t, l.applyStep(t.Context(), membership.Step{Kind: membership.StepRemove, ID: "b@1"}, raftstorage.Configuration{Configuration: conf, Index: second.Index()}))
	require.ErrorIs(t, l.applyStep(t.Context(), membership.Step{Kind: membership.StepRemove, ID: "x@1"}, raftstorage.Configuration{Configuration: conf}), ErrMemberNotFound)
}

// TestLeadersOldDisk checks that a leader reports its own previous disk as lost, although it does not poll
// itself.
func TestLeadersOldDisk(t *testing.T) {
	a := Peer{Name: "a", Raft: "127.0.0.1:1", Admin: "127.0.0.1:2"}
	s, err := New(Config{Node: "a", Dir: t.TempDir(), Peers: []Peer{a}}, zap.NewNop())
	require.NoError(t, err)
	l := &incarnation{store: s, memberID: "a@2"}
	for id, lost := range map[string]bool{"a@1": true, "a@2": false} {
		m := s.observeMember(l, raft.Server{ID: raft.ServerID(id), Address: encodeAddress(a, id)}, time.Now())
		require.Equal(t, lost, m.DiskLost, id)
		require.Equal(t, !lost, m.Up, id)
	}
}
