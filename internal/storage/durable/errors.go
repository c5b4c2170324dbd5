package durable

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of reads, of the store's state and of its files.
var (
	// ErrNotFound means that the key does not exist or has expired.
	ErrNotFound = errors.New("key not found")
	// ErrClosed means that the store or the snapshot is closed.
	ErrClosed = errors.New("store is closed")
	// ErrFull means that the batch was rejected for lack of disk space and nothing of
	// it was stored. Deletes still work.
	ErrFull = errors.New("store is full")
	// ErrReadOnly means that a write or sync failed and the store accepts no more
	// writes. Batches in flight at the failure may or may not exist after the store is
	// reopened.
	ErrReadOnly = errors.New("store is read-only")
	// ErrDamaged means that data which was acknowledged, or may have been, can't be read.
	ErrDamaged = errors.New("store is damaged")
	// ErrUnrecoverable means that no consistent state can be recovered.
	ErrUnrecoverable = errors.New("no consistent state can be recovered")
	// ErrTooManySnapshots means that Options.MaxSnapshots snapshots are open already.
	ErrTooManySnapshots = errors.New("too many open snapshots")
)

// Errors for invalid arguments; nothing was written.
var (
	// ErrKeyLength means that a key is empty or longer than Options.MaxKeyBytes.
	ErrKeyLength = errors.New("key is empty or too long")
	// ErrValueLength means that a value is longer than Options.MaxValueBytes.
	ErrValueLength = errors.New("value is too long")
	// ErrBatchLength means that a batch is empty or longer than Options.MaxBatchBytes.
	ErrBatchLength = errors.New("batch is empty or too long")
	// ErrRangeOrder means that the end of a range to delete is before its start.
	ErrRangeOrder = errors.New("range ends before its start")
)

// DamagedError is the error for a folder that was not opened because of damage. It
// matches ErrDamaged, and ErrUnrecoverable if Report.Unrecoverable is set.
type DamagedError struct{ Report *Report }

// Error lists the faults of the report.
func (e *DamagedError) Error() string {
	faults := e.Report.Faults
	if len(faults) == 0 {
		faults = []string{"keys were lost in an earlier repair"}
	}
	return fmt.Sprintf("%v: %s", ErrDamaged, strings.Join(faults, "; "))
}

// Is matches ErrDamaged, and ErrUnrecoverable if Report.Unrecoverable is set.
func (e *DamagedError) Is(target error) bool {
	return target == ErrDamaged || target == ErrUnrecoverable && e.Report.Unrecoverable
}

// fileFault is a fault found in a file. It matches ErrDamaged.
type fileFault struct {
	file   string
	offset int64 // bytes
	reason string
}

func (f *fileFault) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", f.file, f.offset, f.reason)
}

func (f *fileFault) Is(target error) bool { return target == ErrDamaged }

func newFileFault(file string, offset int64, format string, args ...any) error {
	return &fileFault{file, offset, fmt.Sprintf(format, args...)}
}
