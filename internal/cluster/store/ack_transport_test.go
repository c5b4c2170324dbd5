package store

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAwaitMajority checks that a majority consists only of voters that responded in the current term to
// requests sent since the given time, and that a node that has lost the leadership does not wait.
func TestAwaitMajority(t *testing.T) {
	conf := raft.Configuration{Servers: []raft.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d", Suffrage: raft.Nonvoter}}}
	now := time.Now()
	transport := newAckTransport(nil)
	await := func(isLeader bool) error {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		return transport.awaitMajority(ctx, quorumRequest{leader: "a", conf: conf, term: 7, sentSince: now, isLeader: func() bool { return isLeader }})
	}
	for _, test := range []struct {
		id   raft.ServerID
		ack  peerAck
		want error
	}{{"b", peerAck{7, now.Add(-1)}, context.DeadlineExceeded}, {"b", peerAck{6, now}, context.DeadlineExceeded},
		{"d", peerAck{7, now}, context.DeadlineExceeded}, {"c", peerAck{7, now}, nil}} {
		transport.recordAck(test.id, test.ack)
		assert.True(t, errors.Is(await(true), test.want), test)
	}
	assert.ErrorIs(t, await(false), ErrNoLeader)
}

// TestStaleTerm checks that a node sends no request of a term that it has left, with or without a
// pipeline.
func TestStaleTerm(t *testing.T) {
	a := newAckTransport(nil)
	term := func() uint64 { return 8 }
	a.currentTerm.Store(&term)
	request, response := &raft.AppendEntriesRequest{Term: 7}, &raft.AppendEntriesResponse{}
	assert.ErrorIs(t, a.AppendEntries("b", "", request, response), errStaleTerm)
	_, err := (&ackPipeline{nil, a}).AppendEntries(request, response)
	assert.ErrorIs(t, err, errStaleTerm)
	assert.NoError(t, a.checkTerm(8))
}

// recordingFSM is a raft.FSM that records the data of each applied entry.
type recordingFSM struct {
	mu   sync.Mutex
	data []string
}

func (a *recordingFSM) Apply(l *raft.Log) any {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data = append(a.data, string(l.Data))
	return nil
}

func (a *recordingFSM) appliedData() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.data)
}

func (a *recordingFSM) Snapshot() (raft.FSMSnapshot, error) { return nil, errors.New("none") }
func (a *recordingFSM) Restore(io.ReadCloser) error         { return errors.New("none") }

// TestCommitIndexIsBounded guards against a follower that applies an entry which was never committed. The
// peer's log ends with such an entry of an earlier leader. The new leader has committed another entry at
// that index. Its first request is built late: it covers only the entry before and contains none. If the
// peer applied its own last entry, its state would differ from that of the other nodes permanently.
func TestCommitIndexIsBounded(t *testing.T) {
	transport := func() *raft.NetworkTransport {
		n, err := raft.NewTCPTransport("127.0.0.1:0", nil, 1, 10*time.Second, io.Discard)
		require.NoError(t, err)
		t.Cleanup(func() { n.Close() })
		return n
	}
	peer, leader := transport(), newAckTransport(transport())
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID, raftConfig.LogOutput = "peer", io.Discard
	raftConfig.HeartbeatTimeout, raftConfig.ElectionTimeout, raftConfig.LeaderLeaseTimeout = time.Hour, time.Hour, time.Hour // no elections: the test sends every message
	logStore, fsm := raft.NewInmemStore(), &recordingFSM{}
	snapshots := raft.NewInmemSnapshotStore()
	require.NoError(t, raft.BootstrapCluster(raftConfig, logStore, logStore, snapshots, peer, raft.Configuration{Servers: []raft.Server{
		{ID: "peer", Address: peer.LocalAddr()}, {ID: "leader", Address: leader.LocalAddr()}, {ID: "third", Address: "127.0.0.1:1"}}}))
	require.NoError(t, logStore.StoreLogs([]*raft.Log{{Index: 2, Term: 1, Data: []byte("first")}, {Index: 3, Term: 1, Data: []byte("never committed")}}))
	node, err := raft.NewRaft(raftConfig, fsm, logStore, logStore, snapshots, peer)
	require.NoError(t, err)
	t.Cleanup(func() { node.Shutdown().Error() })

	pipeline, err := leader.AppendEntriesPipeline("peer", peer.LocalAddr())
	require.NoError(t, err)
	defer pipeline.Close()
	request := func(entries ...*raft.Log) *raft.AppendEntriesRequest {
		return &raft.AppendEntriesRequest{RPCHeader: raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("leader"), Addr: []byte(leader.LocalAddr())},
			Term: 3, PrevLogEntry: 2, PrevLogTerm: 1, Entries: entries, LeaderCommitIndex: 3}
	}
	var response raft.AppendEntriesResponse
	require.NoError(t, leader.AppendEntries("peer", peer.LocalAddr(), request(), &response))
	require.True(t, response.Success)
	future, err := pipeline.AppendEntries(request(), &response)
	require.NoError(t, err)
	require.NoError(t, future.Error())
	require.NoError(t, leader.AppendEntries("peer", peer.LocalAddr(), request(&raft.Log{Index: 3, Term: 3, Data: []byte("committed")}), &response))
	require.Eventually(t, func() bool { return len(fsm.appliedData()) >= 2 }, 10*time.Second, time.Millisecond)
	require.Equal(t, []string{"first", "committed"}, fsm.appliedData())
}
