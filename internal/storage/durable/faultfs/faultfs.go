// Package faultfs has file systems that fail on demand, for tests of what is built on
// internal/storage/durable/vfs.
//
// [FS] is a folder in memory. It keeps apart what was synced and what was only
// written, so that [FS.AfterCrash] may lose, keep or tear whatever no sync has
// covered, as a disk and its file system may. [Injector] adds faults to another
// folder, such as a real one.
//
// Both may be used from many goroutines. Injected errors match syscall.EIO or
// syscall.ENOSPC.
package faultfs

import (
	"fmt"
	"sync"
	"syscall"

	"oxbowbridge/internal/storage/durable/vfs"
)

// Fault is what an operation does in place of its work.
type Fault int

// The faults.
const (
	// NoFault lets the operation succeed.
	NoFault Fault = iota
	// Crash has this operation and all that follow fail; AfterCrash has the folder then.
	Crash
	// IOError has the operation fail with EIO.
	IOError
	// ShortWrite has a write stop half way with EIO; other operations fail.
	ShortWrite
)

// FS is a folder in memory. Its zero value is empty, and never fails.
type FS struct {
	// FaultAt decides on each operation that changes something, counted from 1; op is
	// "create", "write", "truncate", "sync", "rename", "remove" or "syncdir". Nil
	// injects nothing.
	FaultAt func(step int, op, name string) Fault
	// Capacity is the sum of all files' lengths, in bytes, beyond which writes fail
	// with ENOSPC; 0 is no bound.
	Capacity int64

	mu      sync.Mutex
	files   map[string]*inode
	synced  map[string]*inode // as of the last SyncDir
	pending []dirChange       // since the last SyncDir
	locked  bool
	steps   int // operations that change something
	crashed bool
}

var _ vfs.FS = (*FS)(nil)

// dirChange is one change of the folder's names since the last SyncDir.
type dirChange struct {
	removed string // "" if none
	added   string
	target  *inode // of the added name; nil if none
}

// inode is the content of a file.
type inode struct {
	data    []byte
	synced  []byte
	pending []pendingWrite // since the last sync of the file
}

// pendingWrite is data written at an offset, or a new length if data is nil.
type pendingWrite struct {
	offset int64
	data   []byte
}

var errShortWrite = fmt.Errorf("short: %w", syscall.EIO)

// checkFault counts an operation, and returns the error that is injected. The
// caller holds the lock.
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

// Steps is how many operations that change something were begun.
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
