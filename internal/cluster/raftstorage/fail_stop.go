package raftstorage

import (
	"errors"
	"runtime"
	"sync"

	"github.com/hashicorp/raft"
)

// FailStopStorage wraps a Storage for use by Raft. It reports the first failure to write a stable value,
// or to read or write the log, to the node, which then shuts Raft down. Raft would exit the process if
// it could not store its term or read its log; in these cases FailStopStorage exits the calling
// goroutine instead.
//
// The other methods are those of Storage and report no failures: after a failed write of a snapshot or
// of a local value, Storage.ReadOnlyReason returns the reason.
type FailStopStorage struct {
	*Storage
	reportOnce sync.Once
	onFailure  func(error)
}

// WithFailStop returns a FailStopStorage that calls onFailure once, on the first failure.
func (s *Storage) WithFailStop(onFailure func(error)) *FailStopStorage {
	return &FailStopStorage{Storage: s, onFailure: onFailure}
}

// reportFailure calls onFailure if err is the first failure, and returns err.
func (f *FailStopStorage) reportFailure(err error) error {
	if err != nil {
		f.reportOnce.Do(func() { f.onFailure(err) })
	}
	return err
}

// exitGoroutineOn reports err and exits the calling goroutine if err is not nil.
func (f *FailStopStorage) exitGoroutineOn(err error) error {
	if f.reportFailure(err) != nil {
		runtime.Goexit()
	}
	return nil
}

// Set writes a stable value. On a failure it exits the calling goroutine.
func (f *FailStopStorage) Set(key, value []byte) error {
	return f.exitGoroutineOn(f.Storage.Set(key, value))
}

// SetUint64 writes a number as a stable value. On a failure it exits the calling goroutine.
func (f *FailStopStorage) SetUint64(key []byte, n uint64) error {
	return f.exitGoroutineOn(f.Storage.SetUint64(key, n))
}

// GetLog reads a log entry. On a failure it exits the calling goroutine. raft.ErrLogNotFound is returned
// and does not count as a failure.
func (f *FailStopStorage) GetLog(index uint64, to *raft.Log) error {
	err := f.Storage.GetLog(index, to)
	if err == nil || errors.Is(err, raft.ErrLogNotFound) {
		return err
	}
	return f.exitGoroutineOn(err)
}

// StoreLog appends one log entry. On an error Raft steps down.
func (f *FailStopStorage) StoreLog(entry *raft.Log) error {
	return f.reportFailure(f.Storage.StoreLog(entry))
}

// StoreLogs appends log entries. On an error Raft steps down.
func (f *FailStopStorage) StoreLogs(entries []*raft.Log) error {
	return f.reportFailure(f.Storage.StoreLogs(entries))
}

// DeleteRange deletes log entries, like Storage.DeleteRange.
func (f *FailStopStorage) DeleteRange(from, to uint64) error {
	return f.reportFailure(f.Storage.DeleteRange(from, to))
}
