package raftstorage

import (
	"testing"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storage/durable/faultfs"
)

// TestFailStop checks that a failed write of the term, for which Raft would exit the process, exits only
// the calling goroutine; that a failed append returns an error; and that only the first failure is
// reported.
func TestFailStop(t *testing.T) {
	fs := &faultfs.FS{}
	storage, _, err := OpenFS(fs)
	require.NoError(t, err)
	reportCount := 0
	failStop := storage.WithFailStop(func(error) { reportCount++ })
	require.NoError(t, failStop.SetUint64([]byte("CurrentTerm"), 1))
	require.NoError(t, failStop.StoreLog(newCommandEntry(1, 1, "a")))
	require.ErrorIs(t, failStop.GetLog(2, &raft.Log{}), raft.ErrLogNotFound)
	require.Zero(t, reportCount)
	fs.FaultAt = func(int, string, string) faultfs.Fault { return faultfs.IOError }
	require.Error(t, failStop.StoreLog(newCommandEntry(2, 1, "b")))
	returned, exited := false, make(chan struct{})
	go func() {
		defer close(exited)
		failStop.SetUint64([]byte("CurrentTerm"), 2)
		returned = true
	}()
	<-exited
	require.False(t, returned)
	require.Equal(t, 1, reportCount)
	require.Error(t, storage.ReadOnlyReason())
	watermark, err := storage.Watermark()
	require.NoError(t, err)
	require.EqualValues(t, 1, watermark.LastIndex)
	require.EqualValues(t, 1, watermark.Term)
}
