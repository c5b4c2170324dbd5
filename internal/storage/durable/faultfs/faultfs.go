// Package faultfs has implementations of vfs.FS with fault injection, for tests of code
// that uses internal/storage/durable/vfs.
//
// [FS] is a folder in memory. It distinguishes synced data from unsynced writes, so that
// [FS.AfterCrash] can lose, retain or tear unsynced writes, as a disk and its file system
// may do in a power failure. [Injector] adds faults to another folder, such as a real
// one.
//
// Both are safe for concurrent use. Injected errors match syscall.EIO or syscall.ENOSPC.
package faultfs

import (
	"fmt"
	"sync"
	"syscall"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Fault is a fault that is injected into an operation.
type Fault int

// The faults.
const (
	// NoFault lets the operation succeed.
	NoFault Fault = iota
	// Crash fails this operation and all later ones. AfterCrash returns the folder after
	// the crash.
	Crash
	// IOError fails the operation with EIO.
	IOError
	// ShortWrite fails the operation with EIO; a write has then written half of its data.
	ShortWrite
)

// FS is a folder in memory. The zero value is an empty folder without faults.
type FS struct {
	// FaultAt returns the fault for each operation that changes the folder. Operations
	// are counted from 1; op is "create", "write", "truncate", "sync", "rename",
	// "remove" or "syncdir". If FaultAt is nil, no faults are injected.
	FaultAt func(step int, op, name string) Fault
	// Capacity bounds the total length of all files in bytes; a write beyond it fails
	// with ENOSPC. 0 means no bound.
	Capacity int64

	mu      sync.Mutex
	files   map[string]*inode
	synced  map[string]*inode // files at the last SyncDir
	pending []dirChange       // changes since the last SyncDir
	locked  bool
	steps   int // number of operations that changed the folder, including failed ones
	crashed bool
}

var _ vfs.FS = (*FS)(nil)

// dirChange is a change of a file name since the last SyncDir.
type dirChange struct {
	removed string // removed name; "" if none
	added   string
	target  *inode // file of the added name; nil if none
}

// inode is the content of a file.
type inode struct {
	data    []byte
	synced  []byte
	pending []pendingWrite // writes since the last sync of the file
}

// pendingWrite is data written at an offset. If data is nil, it is a truncation to the
// length in offset.
type pendingWrite struct {
	offset int64
	data   []byte
}

var errShortWrite = fmt.Errorf("short: %w", syscall.EIO)

// checkFault counts an operation, and returns the injected error, if any. The caller
// holds the lock.
func (f *FS) checkFault(op, name string) error {
	if f.crashed {
		return fmt.Errorf("%s %s: crashed: %w", op, name, syscall.EIO)
	}
	f.steps++
	if f.FaultAt == nil {
		return nil
	}
	switch f.FaultAt(f.steps, op, name) {
	case Crash:
		f.crashed = true
	case IOError:
	case ShortWrite:
		return errShortWrite
	default:
		return nil
	}
	return fmt.Errorf("%s %s: %w", op, name, syscall.EIO)
}

// Steps returns the number of operations that changed the folder, including failed ones.
func (f *FS) Steps() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.steps
}

// init makes the zero value usable. The caller holds the lock.
func (f *FS) init() {
	if f.files == nil {
		f.files = map[string]*inode{}
		f.synced = map[string]*inode{}
	}
}
