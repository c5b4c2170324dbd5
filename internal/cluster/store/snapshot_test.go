package store

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

// TestSnapshot checks that a snapshot transfers the complete state, including deleted keys, to a member
// that lags behind the log, and that the member's listeners are called for its entries.
func TestSnapshot(t *testing.T) {
	from := newReplicatedState()
	for i, c := range []string{`[{"key":"a","value":1},{"key":"b","value":{"x":2}}]`, `[{"key":"a","value":null}]`} {
		require.NoError(t, from.Apply(&raft.Log{Index: uint64(i + 1), Data: []byte(c)}).(applyResult).err)
	}
	require.Error(t, from.Apply(&raft.Log{Index: 3, Data: []byte("{")}).(applyResult).err)
	snap, err := from.Snapshot()
	require.NoError(t, err)
	snapshots := raft.NewInmemSnapshotStore()
	sink, err := snapshots.Create(raft.SnapshotVersionMax, 2, 1, raft.Configuration{}, 1, nil)
	require.NoError(t, err)
	require.NoError(t, snap.Persist(sink))
	_, reader, err := snapshots.Open(sink.ID())
	require.NoError(t, err)
	to, notified := newReplicatedState(), map[string]string{}
	to.addListener(func(key string, v json.RawMessage) { notified[key] = string(v) })
	require.NoError(t, to.Restore(reader))
	require.Equal(t, from.entriesAfter(0), to.entriesAfter(0))
	require.Equal(t, map[string]string{"a": "", "b": `{"x":2}`}, notified)
	_, ok := to.get("a")
	require.False(t, ok)
}

// TestLegacySnapshot checks that a snapshot of an earlier version, which is a bare map of entries, is
// decoded.
func TestLegacySnapshot(t *testing.T) {
	s := newReplicatedState()
	require.NoError(t, s.Restore(io.NopCloser(strings.NewReader(`{"applied":{"value":1,"index":7,"gone":false},"b":{"index":9,"gone":true}}`))))
	e, ok := s.get("applied")
	require.True(t, ok)
	require.EqualValues(t, 7, e.ModRevision)
	applied, _ := s.progress()
	require.EqualValues(t, 9, applied)
}
