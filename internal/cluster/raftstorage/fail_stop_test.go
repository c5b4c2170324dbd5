package raftstorage

import (
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable/faultfs"
)

// TestFailStop: where Raft would end the process, as it can't keep a term, the goroutine
// ends, and the node is told once; an append that fails comes back as an error.
func TestFailStop(t *testing.T) {
	f := &faultfs.FS{}
	d, _, err := OpenFS(f)
	require.NoError(t, err)
	told := 0
	g := d.FailStop(func(error) { told++ })
	require.NoError(t, g.SetUint64([]byte("CurrentTerm"), 1))
	require.NoError(t, g.StoreLog(entry(1, 1, "a")))
	require.ErrorIs(t, g.GetLog(2, &raft.Log{}), raft.ErrLogNotFound)
	require.Zero(t, told)
	f.FaultAt = func(int, string, string) faultfs.Fault { return faultfs.IOError }
	require.Error(t, g.StoreLog(entry(2, 1, "b")))
	went, ended := false, make(chan struct{})
	go func() {
		defer close(ended)
		g.SetUint64([]byte("CurrentTerm"), 2)
		went = true
	}()
	<-ended
	require.False(t, went)
	require.Equal(t, 1, told)
	require.Error(t, d.ReadOnlyReason())
	m, err := d.Watermark()
	require.NoError(t, err)
	require.EqualValues(t, 1, m.LastIndex)
	require.EqualValues(t, 1, m.Term)
}
