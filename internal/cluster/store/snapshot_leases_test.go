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

// bufSink is a raft.SnapshotSink in memory.
type bufSink struct{ bytes.Buffer }

func (*bufSink) ID() string    { return "x" }
func (*bufSink) Cancel() error { return nil }
func (*bufSink) Close() error  { return nil }

// TestLeasesSurviveSnapshots checks that a state restored from a snapshot assigns the same fencing tokens
// as one that applied every entry, and that a snapshot can be encoded long after it was taken.
func TestLeasesSurviveSnapshots(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a := newReplicatedState()
		var copies []*replicatedState
		var late []raft.FSMSnapshot
		for i := uint64(1); i <= 400; i++ {
			o := lease.Op{Kind: []lease.OpKind{lease.OpAcquire, lease.OpAcquire, lease.OpWithdraw, lease.OpRelease, lease.OpExpire, lease.OpRevoke, lease.OpHandOver}[rng.IntN(7)],
				Name: fmt.Sprint("job", rng.IntN(3)), Holder: fmt.Sprint("h", rng.IntN(5)), TTLMS: 1000, Enqueue: rng.IntN(2) == 0, Priority: rng.IntN(2)}
			o.Token = a.data.Leases.Leases[o.Name].Token
			text, err := json.Marshal(kv.Request{LeaseOps: []lease.Op{o}})
			require.NoError(t, err)
			for _, s := range append(copies, a) {
				s.Apply(&raft.Log{Index: i, Data: text})
			}
			if rng.IntN(40) == 0 {
				snap, err := a.Snapshot()
				require.NoError(t, err)
				late = append(late, snap)
				if rng.IntN(2) == 0 {
					sink := &bufSink{}
					require.NoError(t, snap.Persist(sink))
					b := newReplicatedState()
					require.NoError(t, b.Restore(io.NopCloser(&sink.Buffer)))
					copies = append(copies, b)
				}
			}
		}
		want, _ := json.Marshal(a.data)
		for _, c := range copies {
			got, _ := json.Marshal(c.data)
			require.Equal(t, string(want), string(got), "seed %d", seed)
		}
		for _, l := range late { // a late encoding does not race with later entries
			_, err := json.Marshal(l.(*snapshot).State)
			require.NoError(t, err)
		}
	}
}
