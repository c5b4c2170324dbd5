package raftstorage

import (
	"errors"
	"runtime"
	"sync"

	"github.com/hashicorp/raft"
)

// FailStopStorage is a Storage as Raft is given it. Its first failure to write a stable value, or to
// read or write the log, is reported to the node, which then ends Raft. Where Raft would end the whole
// process, as it can't store its term or read its log, the calling goroutine is ended instead.
//
// The other methods are Storage's own and report nothing: a failed write of a snapshot or of a local
// value shows in Storage.ReadOnlyReason.
type FailStopStorage struct {
	*Storage
	reportOnce sync.Once
	onFailure  func(error)
}

// WithFailStop has onFailed called once, on the first failure.
func (s *Storage) WithFailStop(onFailure func(error)) *FailStopStorage {
	return &FailStopStorage{Storage: s, onFailure: onFailure}
}

// reportFailure reports the first failure, and returns err.
func (f *FailStopStorage) reportFailure(err error) error {
	if err != nil {
		f.reportOnce.Do(func() { f.onFailure(err) })
	}
	return err
}

// exitGoroutineOn ends the goroutine on a failure.
func (f *FailStopStorage) exitGoroutineOn(err error) error {
	if f.reportFailure(err) != nil {
		runtime.Goexit()
	}
	return nil
}

// Set writes a stable key, or ends the goroutine.
func (f *FailStopStorage) Set(key, value []byte) error {
	return f.exitGoroutineOn(f.Storage.Set(key, value))
}

// SetUint64 writes a number under a stable key, or ends the goroutine.
func (f *FailStopStorage) SetUint64(key []byte, n uint64) error {
	return f.exitGoroutineOn(f.Storage.SetUint64(key, n))
}

// GetLog reads an entry, or ends the goroutine if that fails. raft.ErrLogNotFound is no failure.
func (f *FailStopStorage) GetLog(index uint64, to *raft.Log) error {
	err := f.Storage.GetLog(index, to)
	if err == nil || errors.Is(err, raft.ErrLogNotFound) {
		return err
	}
	return f.exitGoroutineOn(err)
}

// StoreLog appends one entry. Raft steps down if that fails.
func (f *FailStopStorage) StoreLog(entry *raft.Log) error {
	return f.reportFailure(f.Storage.StoreLog(entry))
}

// StoreLogs appends entries. Raft steps down if that fails.
func (f *FailStopStorage) StoreLogs(entries []*raft.Log) error {
	return f.reportFailure(f.Storage.StoreLogs(entries))
}

// DeleteRange cuts entries off.
func (f *FailStopStorage) DeleteRange(from, to uint64) error {
	return f.reportFailure(f.Storage.DeleteRange(from, to))
}
