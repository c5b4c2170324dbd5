package store

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/watch"
)

// TestRestoreResetsHistory guards against a watcher that misses revisions. After a snapshot has replaced
// the state, a read of revisions that the node never applied must return a CompactedError.
func TestRestoreResetsHistory(t *testing.T) {
	from, to := newReplicatedState(), newReplicatedState()
	for i := range uint64(5) {
		from.Apply(&raft.Log{Index: i + 1, Data: []byte(`[{"key":"k","value":1}]`)})
	}
	text, err := json.Marshal(from.data)
	require.NoError(t, err)
	to.Apply(&raft.Log{Index: 1, Data: []byte(`[{"key":"k","value":1}]`)})
	require.NoError(t, to.Restore(io.NopCloser(bytes.NewReader(text))))
	var compacted *watch.CompactedError
	_, _, _, err = to.revisionsSince(2, "", watch.PageLimits{MaxRevisions: 512, MaxBytes: 64 << 10})
	require.ErrorAs(t, err, &compacted)
	require.EqualValues(t, 6, compacted.OldestRevision)
	to.Apply(&raft.Log{Index: 6, Data: []byte(`[{"key":"k","value":2}]`)})
	list, next, _, err := to.revisionsSince(6, "", watch.PageLimits{MaxRevisions: 512, MaxBytes: 64 << 10})
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.EqualValues(t, 7, next)
}
