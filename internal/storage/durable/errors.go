package durable

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of reads and of the store's state.
var (
	// ErrNotFound means that the key is not there, or has expired.
	ErrNotFound = errors.New("key not found")
	// ErrClosed means that the store, or the snapshot, was closed.
	ErrClosed = errors.New("store is closed")
	// ErrFull means that the batch was rejected for want of space; nothing of it is
	// there. Deletes still work.
	ErrFull = errors.New("store is full")
	// ErrReadOnly means that a write or sync failed, and that nothing more is written.
	// Batches in flight then may be there or not after the store is opened again.
	ErrReadOnly = errors.New("store is read-only")
	// ErrDamaged means that what was acknowledged, or may have been, can't be read.
	ErrDamaged = errors.New("store is damaged")
	// ErrUnrecoverable means that no consistent state can be recovered at all.
	ErrUnrecoverable = errors.New("nothing can be recovered")
	// ErrTooManySnapshots means that Options.MaxSnapshots are open.
	ErrTooManySnapshots = errors.New("too many open snapshots")
)

// Errors of the caller; nothing was written.
var (
	// ErrKeyLength means that a key is empty or above Options.MaxKeyBytes.
	ErrKeyLength = errors.New("key is empty or too long")
	// ErrValueLength means that a value is above Options.MaxValueBytes.
	ErrValueLength = errors.New("value is too long")
	// ErrBatchLength means that a batch is empty or above Options.MaxBatchBytes.
	ErrBatchLength = errors.New("batch is empty or too long")
	// ErrRangeOrder means that a range to delete ends before it begins.
	ErrRangeOrder = errors.New("range ends before it begins")
)

// DamagedError says why a folder was not opened. It matches ErrDamaged, and
// ErrUnrecoverable if the report says so.
type DamagedError struct{ Report *Report }

// Error lists the faults of the report.
func (e *DamagedError) Error() string {
	faults := e.Report.Faults
	if len(faults) == 0 {
		faults = []string{"keys were lost in an earlier repair"}
	}
	return fmt.Sprintf("%v: %s", ErrDamaged, strings.Join(faults, "; "))
}

// Is matches the sentinels that the report stands for.
func (e *DamagedError) Is(target error) bool {
	return target == ErrDamaged || target == ErrUnrecoverable && e.Report.Unrecoverable
}

// fileFault is one thing found wrong in a file. It matches ErrDamaged.
type fileFault struct {
	file   string
	offset int64 // bytes
	reason string
}

func (f *fileFault) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", f.file, f.offset, f.reason)
}

func (f *fileFault) Is(target error) bool { return target == ErrDamaged }

func newFault(file string, offset int64, format string, args ...any) error {
	return &fileFault{file, offset, fmt.Sprintf(format, args...)}
}
