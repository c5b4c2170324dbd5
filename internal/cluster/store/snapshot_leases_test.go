package store

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/lease"
)

// memorySink is a raft.SnapshotSink in memory.
type memorySink struct{ bytes.Buffer }

func (*memorySink) ID() string    { return "x" }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) Close() error  { return nil }

// TestLeasesSurviveSnapshots checks that a state restored from a snapshot assigns the same fencing tokens
// as one that applied every entry, and that a snapshot can be encoded long after it was taken.
func TestLeasesSurviveSnapshots(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		original := newReplicatedState()
		var restoredStates []*replicatedState
		var snapshots []raft.FSMSnapshot
		for i := uint64(1); i <= 400; i++ {
			op := lease.Op{Kind: []lease.OpKind{lease.OpAcquire, lease.OpAcquire, lease.OpWithdraw, lease.OpRelease, lease.OpExpire, lease.OpRevoke, lease.OpHandOver}[rng.IntN(7)],
				Name: fmt.Sprint("job", rng.IntN(3)), Holder: fmt.Sprint("h", rng.IntN(5)), TTLMS: 1000, Enqueue: rng.IntN(2) == 0, Priority: rng.IntN(2)}
			op.Token = original.data.Leases.Leases[op.Name].Token
			encoded, err := json.Marshal(kv.Request{LeaseOps: []lease.Op{op}})
			require.NoError(t, err)
			for _, s := range append(restoredStates, original) {
				s.Apply(&raft.Log{Index: i, Data: encoded})
			}
			if rng.IntN(40) == 0 {
				snap, err := original.Snapshot()
				require.NoError(t, err)
				snapshots = append(snapshots, snap)
				if rng.IntN(2) == 0 {
					sink := &memorySink{}
					require.NoError(t, snap.Persist(sink))
					restored := newReplicatedState()
					require.NoError(t, restored.Restore(io.NopCloser(&sink.Buffer)))
					restoredStates = append(restoredStates, restored)
				}
			}
		}
		want, _ := json.Marshal(original.data)
		for _, restored := range restoredStates {
			got, _ := json.Marshal(restored.data)
			require.Equal(t, string(want), string(got), "seed %d", seed)
		}
		for _, snap := range snapshots { // a snapshot can be encoded after later entries were applied
			_, err := json.Marshal(snap.(*snapshot).State)
			require.NoError(t, err)
		}
	}
}
