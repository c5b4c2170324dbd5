package durable

import (
	"errors"
	"fmt"
	"strings"
)

var (
	// ErrNotFound means that the key is not there, or has expired.
	ErrNotFound = errors.New("key not found")
	// ErrClosed means that the store, or the snapshot, was closed.
	ErrClosed = errors.New("store is closed")
	// ErrFull means that the batch was not taken for want of space; nothing of it is
	// there. Deletes still work.
	ErrFull = errors.New("store is full")
	// ErrReadOnly means that a write or sync failed, and that nothing more is written.
	// What was in hand then may be there or not after the store is opened again.
	ErrReadOnly = errors.New("store is read-only")
	// ErrDamaged means that what was acknowledged, or may have been, can't be read.
	ErrDamaged = errors.New("store is damaged")
	// ErrHopeless means that no consistent state can be recovered at all.
	ErrUnrecoverable = errors.New("nothing can be recovered")
	// ErrKeyLength, ErrValueLength, ErrBatchLength and ErrOrder are faults of the
	// caller; nothing was written.
	ErrKeyLength   = errors.New("key is empty or too long")
	ErrValueLength = errors.New("value is too long")
	ErrBatchLength = errors.New("batch is empty or too long")
	ErrRangeOrder  = errors.New("range ends before it begins")
	// ErrTooManySnapshots means that Options.Snapshots are open.
	ErrTooManySnapshots = errors.New("too many open snapshots")
)

// DamagedError says why a folder was not opened. It matches ErrDamaged.
type DamagedError struct{ Report *Report }

func (e *DamagedError) Error() string {
	faults := e.Report.Faults
	if len(faults) == 0 {
		faults = []string{"keys were lost in an earlier repair"}
	}
	return fmt.Sprintf("%v: %s", ErrDamaged, strings.Join(faults, "; "))
}

func (e *DamagedError) Is(target error) bool {
	return target == ErrDamaged || target == ErrUnrecoverable && e.Report.Unrecoverable
}

// fault is one thing found wrong in a file.
type fault struct {
	file string
	at   int64
	what string
}

func (f *fault) Error() string { return fmt.Sprintf("%s at byte %d: %s", f.file, f.at, f.what) }

func (f *fault) Is(target error) bool { return target == ErrDamaged }

func faulty(file string, at int64, format string, args ...any) error {
	return &fault{file, at, fmt.Sprintf(format, args...)}
}
